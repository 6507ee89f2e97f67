"""The agent daemon of one model engine: its ports, store watches and datagrams."""

import logging
from collections import Counter
from dataclasses import replace
from typing import Any, final

from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry
from bamboolever.config import storecalls
from bamboolever.config.model import EngineProfile, WeightOrigin
from bamboolever.config.sharing import WatchSharing
from bamboolever.config.watch import KindWatch, WatchTiming
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.daemons.agentconfiguration import AgentConfiguration
from bamboolever.daemons.clock import boottime_clock
from bamboolever.daemons.loader import EngineLoader
from bamboolever.daemons.loadercontext import LoaderContext
from bamboolever.daemons.namedversions import NamedVersions
from bamboolever.daemons.observers import (
    RevisionObserver,
    UpstreamObserver,
    VersionObserver,
)
from bamboolever.daemons.piecehandler import PieceHandler
from bamboolever.daemons.settings import InstanceSettings
from bamboolever.daemons.statushandler import StatusHandler
from bamboolever.daemons.subscribers import HelloSharing, Subscribers
from bamboolever.fleet import exchange
from bamboolever.fleet.crashfacts import CrashFacts
from bamboolever.fleet.echoes import Echoes, SentTimes
from bamboolever.fleet.messages import (
    AgentState,
    CrashReport,
    Hello,
    PieceMap,
)
from bamboolever.fleet.storeoutages import StoreOutages
from bamboolever.fleet.upstreams import UpstreamList
from bamboolever.fleet.versions import VersionRollouts
from bamboolever.net.addresses import Address
from bamboolever.net.buffers import BufferBudget
from bamboolever.net.client import ConnectionPool
from bamboolever.net.datagrams import DatagramSocket
from bamboolever.net.exchange import ExchangeFailure
from bamboolever.net.fetch import Fetch, FetchResult, Response
from bamboolever.net.handlers import MAX_INTERNAL_BODY_BYTES, HttpLimits
from bamboolever.net.server import HttpServer
from bamboolever.platform import names
from bamboolever.platform import weights as wire
from bamboolever.platform.errors import AdapterError
from bamboolever.weights.groups import group_number
from bamboolever.weights.plan import make_piece_policy
from bamboolever.weights.view import Peer

logger = logging.getLogger(__name__)

# A lost opening packet is sent again after a second; this outlasts one loss.
CONNECT_TIMEOUT_S = 1.5
# Origin and engines allow few connections, so idle ones are not kept for longer.
MAX_IDLE_S = 4.0
VERSION_WAIT_S = 25.0
REPORT_INTERVAL_S = 0.25
SWITCHING_REPORT_INTERVAL_S = 0.05
# The engine is on the same machine: no response means that it does not run.
REPORT_TIMEOUT_S = 0.5
MAX_REPORT_BYTES = 2**20
LIST_REFRESH_INTERVAL_S = 2.0
# A transfer starts without the list of agents if the store has not sent it by then.
PEER_LIST_TIMEOUT_S = 3.0


@final
class Agent(LoaderContext):
    """Connects an `EngineLoader` to its engine, the store, entries and agents."""

    def __init__(self, settings: InstanceSettings):
        if settings.upstream_address is None:
            raise ValueError("an agent needs the address of its upstream")
        self._settings = settings
        self._engine_address = settings.upstream_address
        self.task = IoTask("agent", clock=boottime_clock)
        self.telemetry = Telemetry("agent")
        self.pool = ConnectionPool(
            self.task,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_idle_s=MAX_IDLE_S,
            buffers=BufferBudget.from_memory(settings.memory_bytes),
        )
        self._store_pool = ConnectionPool(
            self.task,
            connect_timeout_s=storecalls.CONNECT_TIMEOUT_S,
            max_idle_s=MAX_IDLE_S,
        )
        self._own_address = Address(settings.host, settings.internal_port)
        self._upstreams = UpstreamList(StoreOutages(settings.heartbeat_interval_s))
        self._rollouts = VersionRollouts(settings.bounds.version_timeout_s)
        self._loader = EngineLoader(
            self,
            self._engine_address,
            self._rollouts,
            settings.link_bytes_per_s,
            make_piece_policy(settings.piece_policy),
        )
        self._named_versions = NamedVersions(
            self._rollouts, self.task.now, self._loader.start_rollout
        )
        self._subscribers = Subscribers(self.task.now())
        self._state_times = SentTimes()
        self._hello_echoes = Echoes()
        self._crash_facts = CrashFacts()
        self._started_at = self.task.now()
        self._refreshed_at = 0.0
        self._is_stopping = False
        self._engine_started_ms = 0
        self._is_engine_down = False
        self._open_ports()
        self._make_watches()

    @classmethod
    def from_config(cls, settings: InstanceSettings) -> "Agent":
        """Return an agent with open ports; it starts when `run` is called.

        Raises `ValueError` when the address of its upstream is missing.
        """
        return cls(settings)

    def run(self) -> None:
        """Run on the calling thread until `request_stop` is called."""
        self._piece_server.start()
        self._metrics_server.start()
        self._datagrams.start()
        self._version_watch.start()
        self._upstream_watch.start()
        self._poll_report()
        self.task.run()

    def request_stop(self) -> None:
        """Stop at once, without draining: no caller is connected to this process."""
        self._is_stopping = True
        logger.info("stopping")
        self._loader.stop()
        self.task.stop()

    def apply_settings(self, settings: InstanceSettings) -> None:
        """Apply changed settings; open ports keep their addresses."""
        self._settings = settings
        logger.info("settings reloaded", extra={"store": str(settings.store_address)})

    def _open_ports(self) -> None:
        limits = HttpLimits(max_body_bytes=MAX_INTERNAL_BODY_BYTES)
        self._piece_handler = PieceHandler(
            self.task,
            self._loader.transfer,
            self._settings.link_bytes_per_s,
            lambda: self._loader.served_version() is not None,
        )
        self._piece_server = HttpServer(
            self.task,
            self._own_address,
            self._piece_handler,
            limits,
            max_connections=128,
        )
        status = StatusHandler(
            names.READINESS_PATH,
            lambda: not self._is_stopping,
            self.telemetry.render_text,
        )
        metrics = self._settings.metrics_address
        self._metrics_server = HttpServer(
            self.task, metrics, status, limits, max_connections=16
        )
        self._datagrams = DatagramSocket(
            self.task, self._own_address, self._on_datagram
        )

    def _make_watches(self) -> None:
        group = WatchGroup()

        def watch(
            kind: str,
            observer: Any,
            wait_s: float | None,
            sharing: WatchSharing | None = None,
        ) -> KindWatch:
            return KindWatch(
                self.task,
                self._store_pool,
                lambda: self._settings.store_address,
                kind,
                observer,
                WatchTiming(wait_s),
                group=group,
                sharing=sharing,
            )

        upstreams = UpstreamObserver(
            self._upstreams, self.task.now, self._loader.transfer.update_peers
        )
        # The other watches list objects that may be seconds old, which says nothing of
        # the store's revision.
        versions = RevisionObserver(
            VersionObserver(self._named_versions.on_written), self._on_version_revision
        )
        self._configuration = AgentConfiguration(
            self.task,
            self.pool,
            self._settings.upstream_service,
            lambda observer: watch(names.CONFIGURATION_KIND, observer, None),
            self._loader.advance,
        )
        self._upstream_watch = watch(names.UPSTREAM_KIND, upstreams, None)
        self._version_watch = watch(
            names.VERSION_KIND,
            versions,
            VERSION_WAIT_S,
            HelloSharing(self._subscribers),
        )

    # Updates from the store.

    def _on_version_revision(self, as_of: float) -> None:
        watch = self._version_watch
        if watch.revision is not None:
            self._rollouts.confirm(watch.era, watch.revision, as_of)

    def _on_hello(self, hello: Hello, sender: Address) -> None:
        now = self.task.now()
        self._subscribers.add(sender, hello.cell, now)
        is_same_cell = hello.cell == hello.agent_cell
        self._configuration.on_hello(sender, is_same_cell=is_same_cell)
        self._hello_echoes.on_received(sender, hello.sequence, now)
        said_after = self._state_times.said_after(hello.echo)
        for rollout in hello.rollouts:
            self._named_versions.on_reported(rollout, said_after)
        self._send_state(sender, hello.agent_cell)
        if not hello.echo.sequence:
            self._send_crash_facts(sender)

    def _send_crash_facts(self, address: Address) -> None:
        """Tell an entry that has just started what the entries reported before."""
        for report in self._crash_facts.known(self.task.now()):
            self._datagrams.send(exchange.encode(report), address)

    def _on_crash_report(self, report: CrashReport) -> None:
        now = self.task.now()
        self._crash_facts.merge_requests(report, now)
        self._crash_facts.merge_parts(report, now)

    def _on_piece_map(self, piece_map: PieceMap, sender: Address) -> None:
        if any(peer.address == sender for peer in self.peers()):
            self._named_versions.on_piece_map(piece_map)
        self._loader.transfer.apply_piece_map(sender, piece_map)

    # LoaderContext.

    def profile(self) -> EngineProfile | None:
        """Return the engine profile of the upstream's service, or None if unknown."""
        return self._configuration.profile

    def origin(self) -> WeightOrigin | None:
        """Return the origin of the weights, or None if unknown."""
        return self._configuration.origin

    def own_peer(self) -> Peer:
        """Return this agent's address, region and group."""
        own = Peer(self._own_address, self._settings.region)
        return next(
            (peer for peer in self._members() if peer.address == own.address), own
        )

    def peers(self) -> list[Peer]:
        """Return the other agents of the service."""
        return [peer for peer in self._members() if peer.address != self._own_address]

    def _members(self) -> list[Peer]:
        service = self._settings.upstream_service
        addresses = {
            Address(record.address.host, self._own_address.port): (
                self._settings.region_of(record.availability_zone)
            )
            for record in self._upstreams.records(self.task.now())
            if record.service == service
        }
        sizes = Counter(addresses.values())
        return [
            Peer(address, region, group_number(str(address), sizes[region]))
            for address, region in addresses.items()
        ]

    def can_plan_transfer(self) -> bool:
        """Return whether the list of other agents is known, or is overdue."""
        waited_s = self.task.now() - self._started_at
        return self._upstreams.is_known or waited_s >= PEER_LIST_TIMEOUT_S

    def region_of(self, availability_zone: str) -> str:
        """Return the region of an availability zone."""
        return self._settings.region_of(availability_zone)

    def can_interrupt_requests(self) -> bool:
        """Return whether every request of the service can be resumed elsewhere."""
        return self._configuration.can_interrupt_requests

    def refresh_lists(self) -> None:
        """Read the list of upstreams from the store again."""
        self._refreshed_at = self.task.now()
        self._upstream_watch.refresh(is_stale_ok=self._upstreams.is_known)

    def announce_pieces(self, piece_map: PieceMap, addresses: list[Address]) -> None:
        """Send a piece map to the agents at these addresses."""
        model, version = piece_map.model, piece_map.version
        is_named = self._rollouts.is_known(model, version)
        data = exchange.encode(replace(piece_map, is_named=is_named))
        for address in addresses:
            self._datagrams.send(data, address)

    def on_serving_changed(self) -> None:
        """Called when the engine serves another version, drains or stops draining.

        Sends the agent's state to the entries that subscribed.
        """
        for address, cell in self._subscribers.known(self.task.now()):
            self._send_state(address, cell)

    def upload_count(self) -> int:
        """Return how many pieces this agent is sending or has queued."""
        return self._piece_handler.upload_count

    # Engine reports.

    def _poll_report(self) -> None:
        Fetch.start(
            self.pool,
            self._engine_address,
            wire.report_request(self._engine_address),
            self._on_report,
            timeout_s=REPORT_TIMEOUT_S,
            max_bytes=MAX_REPORT_BYTES,
        )

    def _on_report(self, result: FetchResult) -> None:
        if self._is_stopping:
            return
        is_busy = self._loader.is_switching
        interval_s = SWITCHING_REPORT_INTERVAL_S if is_busy else REPORT_INTERVAL_S
        self.task.call_later(interval_s, self._poll_report)
        self._refresh_if_needed()
        report = None
        if isinstance(result, Response) and result.head.is_success:
            try:
                report = wire.decode_report_body(result.body)
            except AdapterError as error:
                logger.warning("report ignored", extra={"reason": str(error)})
                return
        known = (self._engine_started_ms, self._is_engine_down)
        if report is not None and report.started_ms is not None:
            self._engine_started_ms = report.started_ms
        self._is_engine_down = isinstance(result, ExchangeFailure) and result.is_refused
        self._loader.set_report(report)
        if known != (self._engine_started_ms, self._is_engine_down):
            # Calls may have crashed the engine: the entries count that at once.
            self.on_serving_changed()

    def _refresh_if_needed(self) -> None:
        self._configuration.list_if_needed()
        is_due = self.task.now() - self._refreshed_at > LIST_REFRESH_INTERVAL_S
        if is_due and self._loader.transfer.needs_pieces:
            self.refresh_lists()

    # Datagrams.

    def _on_datagram(self, data: bytes, sender: Address) -> None:
        try:
            message = exchange.decode(data)
        except exchange.ExchangeError as error:
            logger.warning("datagram ignored", extra={"reason": str(error)})
            return
        if isinstance(message, Hello):
            self._on_hello(message, sender)
        elif isinstance(message, CrashReport):
            self._on_crash_report(message)
        elif isinstance(message, PieceMap):
            self._on_piece_map(message, sender)

    def _reported_version(self) -> int | None:
        if self._loader.report is not None and self.profile() is None:
            # The layers of a complete model are unknown until the configuration is.
            return None
        served = self._loader.served_version()
        return served.version if served is not None else 0

    def _send_state(self, address: Address, cell: str) -> None:
        report, served = self._loader.report, self._loader.served_version()
        now = self.task.now()
        entries = tuple(
            known
            for known, known_cell in self._subscribers.known(now)
            if known_cell == cell and known != address
        )
        state = AgentState(
            upstream=self._engine_address,
            is_switching=self._loader.is_switching,
            version=self._reported_version(),
            model=served.model if served is not None else "",
            slowdown=report.slowdown if report is not None else 1.0,
            entries=entries,
            rollouts=self._rollouts.ages(now),
            cell=cell,
            active=report.running + report.queued if report is not None else 0,
            started_ms=self._engine_started_ms,
            is_down=self._is_engine_down,
            sequence=self._state_times.next_sequence(now),
            echo=self._hello_echoes.echo_to(address, now),
        )
        self._datagrams.send(exchange.encode(state), address)
