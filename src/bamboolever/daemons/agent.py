"""The agent beside one model engine: brings it to the named version."""

import logging
from typing import Any, final

from bamboolever._task import IoTask, Timer
from bamboolever._telemetry import Telemetry
from bamboolever.config.model import Configuration, EngineProfile, WeightOrigin
from bamboolever.config.watch import KindWatch, WatchTiming
from bamboolever.daemons.clock import suspended_clock
from bamboolever.daemons.observers import (
    ConfigurationObserver,
    UpstreamObserver,
    VersionObserver,
)
from bamboolever.daemons.pieceport import LINK_SHARE, PiecePort
from bamboolever.daemons.settings import InstanceSettings
from bamboolever.daemons.stage import Stage
from bamboolever.daemons.statusport import StatusHandler
from bamboolever.daemons.swarm import Swarm
from bamboolever.fleet import exchange
from bamboolever.fleet.records import EngineReport, NamedVersion
from bamboolever.fleet.upstreams import UpstreamList
from bamboolever.fleet.versions import NamedVersions
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.datagrams import DatagramPort
from bamboolever.net.fetch import Fetch, FetchResult, Response
from bamboolever.net.server import HttpLimits, HttpServer
from bamboolever.platform import names
from bamboolever.platform import weights as wire
from bamboolever.platform.errors import AdapterError
from bamboolever.weights.loading import (
    LoadState,
    LoadStep,
    finishes_first,
    next_step,
    serves_target,
)
from bamboolever.weights.pieces import PieceSet
from bamboolever.weights.plan import Peer, SwarmView, make_piece_policy

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.5
IDLE_S = 4.0
VERSION_WAIT_S = 25.0
REPORT_PERIOD_S = 0.25
BUSY_REPORT_PERIOD_S = 0.1
REPORT_TIMEOUT_S = 0.5
MANIFEST_TIMEOUT_S = 1.0
MANIFEST_RETRY_S = 0.3
ORDER_TIMEOUT_S = 1.0
ORDER_RETRY_S = 0.2
ORDER_PAUSE_S = 5.0
# A verification older than this is repeated before the order is given.
VERIFICATION_AGE_S = 1.5
LIST_REFRESH_S = 2.0
SUBSCRIBER_SILENCE_S = 4.0
STATE_PERIOD_S = 1.0
METRICS_PORT_OFFSET = 1
POLICY = "region-chain"


@final
class Agent:
    """One agent process: its engine, its pieces and its neighbours."""

    def __init__(self, settings: InstanceSettings):
        if settings.upstream_address is None:
            raise ValueError("an agent needs the address of its upstream")
        self._settings = settings
        self._engine = settings.upstream_address
        self.task = IoTask("agent", clock=suspended_clock)
        self.telemetry = Telemetry("agent")
        self._pool = ConnectionPool(
            self.task, connect_timeout_s=CONNECT_TIMEOUT_S, max_idle_s=IDLE_S
        )
        self._stage = Stage(self._pool, self._engine)
        self._configuration: Configuration | None = None
        self._upstreams = UpstreamList()
        self._versions = NamedVersions(settings.bounds.version_timeout_s)
        # The version being brought in, and the newest named: they differ while a
        # transfer that is almost done goes on.
        self._target: NamedVersion | None = None
        self._target_at = 0.0
        self._newest: NamedVersion | None = None
        self._newest_at = 0.0
        self._ordered: NamedVersion | None = None
        self._report: EngineReport | None = None
        self._swarm: Swarm | None = None
        self._held_version: NamedVersion | None = None
        self._held: int = 0
        self._verified_at: float | None = None
        self._is_verifying = False
        self._is_ordering = False
        self._order_timer: Timer | None = None
        self._is_switching = False
        self._is_fetching_manifest = False
        self._is_stopping = False
        self._subscribers: dict[Address, float] = {}
        self._own = Address(settings.host, settings.internal_port)
        self._listed_at = 0.0
        self._open_ports()
        self._make_watches()

    @classmethod
    def from_config(cls, settings: InstanceSettings) -> "Agent":
        """Build an agent that works as soon as it runs."""
        return cls(settings)

    def run(self) -> None:
        """Work on the calling thread until a stop is asked for."""
        self._piece_server.start()
        self._metrics.start()
        self._datagrams.start()
        self._configuration_watch.start()
        self._version_watch.start()
        self._upstream_watch.start()
        self._poll_report()
        self.task.run()

    def request_stop(self) -> None:
        """Stop at once: no caller depends on this process."""
        self._is_stopping = True
        logger.info("stopping")
        if self._swarm is not None:
            self._swarm.stop()
        self.task.stop()

    def apply_settings(self, settings: InstanceSettings) -> None:
        """Use changed settings; addresses of open ports stay."""
        self._settings = settings
        logger.info("settings reloaded", extra={"store": str(settings.store_address)})

    def _open_ports(self) -> None:
        limits = HttpLimits()
        self._piece_port = PiecePort(
            self.task, self._read_piece, self._settings.link_bytes_per_s
        )
        self._piece_server = HttpServer(
            self.task, self._own, self._piece_port, limits, max_connections=128
        )
        status = StatusHandler(
            names.READINESS_PATH,
            lambda: not self._is_stopping,
            self.telemetry.render_text,
        )
        metrics = Address(self._own.host, self._own.port + METRICS_PORT_OFFSET)
        self._metrics = HttpServer(
            self.task, metrics, status, limits, max_connections=16
        )
        self._datagrams = DatagramPort(self.task, self._own, self._on_datagram)

    def _make_watches(self) -> None:
        def watch(kind: str, observer: Any, wait_s: float | None) -> KindWatch:
            return KindWatch(
                self.task,
                self._pool,
                lambda: self._settings.store_address,
                kind,
                observer,
                WatchTiming(wait_s),
            )

        configuration = ConfigurationObserver(
            self._apply_configuration, lambda _as_of: None
        )
        upstreams = UpstreamObserver(self._upstreams, self.task.now, self._update_peers)
        self._configuration_watch = watch(names.CONFIGURATION_KIND, configuration, None)
        self._upstream_watch = watch(names.UPSTREAM_KIND, upstreams, None)
        versions = VersionObserver(self._on_version)
        self._version_watch = watch(names.VERSION_KIND, versions, VERSION_WAIT_S)

    # What the store tells.

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._advance()

    def _on_version(self, named: NamedVersion, is_new: bool) -> None:
        self._versions.put(named.model, named.version, self.task.now(), is_new=is_new)
        profile = self._profile()
        if profile is not None and named.model not in profile.models:
            return
        known = self._newest
        if known is not None and named.version <= known.version:
            return
        now = self.task.now()
        is_kept = self._is_kept(now)
        logger.info(
            "version named",
            extra={
                "model": named.model,
                "version": named.version,
                "finishes_first": is_kept,
            },
        )
        self._newest = named
        self._newest_at = now
        if not is_kept:
            self._take_newest()

    def _is_kept(self, now: float) -> bool:
        swarm, profile = self._swarm, self._profile()
        if swarm is None or self._target is None or profile is None:
            return False
        if serves_target(self._state()) or self._ordered == self._target:
            return False
        link = self._settings.link_bytes_per_s * LINK_SHARE
        transfer_s = profile.weight_bytes / link if link > 0 else 0.0
        return finishes_first(now - self._target_at, transfer_s)

    def _take_newest(self) -> None:
        if self._newest is None or self._newest == self._target:
            return
        self._target = self._newest
        self._target_at = self._newest_at
        self._drop_swarm()
        self._forget_order()
        self._refresh_lists()
        self._advance()

    def _profile(self) -> EngineProfile | None:
        service = self._settings.upstream_service
        if self._configuration is None or service is None:
            return None
        found = self._configuration.services.get(service)
        return found.engine if found is not None else None

    def _model(self) -> str | None:
        if self._target is not None:
            return self._target.model
        profile = self._profile()
        return profile.models[0] if profile is not None and profile.models else None

    def _origin(self) -> WeightOrigin | None:
        if self._configuration is None:
            return None
        origins = (item.origin for item in self._configuration.services.values())
        return next((item for item in origins if item is not None), None)

    def _peers(self) -> list[Peer]:
        service = self._settings.upstream_service
        found = [
            Peer(
                Address(record.address.host, self._own.port),
                self._settings.region_of(record.availability_zone),
            )
            for record in self._upstreams.records(self.task.now())
            if record.service == service
        ]
        return [peer for peer in found if peer.address != self._own]

    def _update_peers(self) -> None:
        if self._swarm is not None:
            self._swarm.view.peers = self._peers()

    # The engine.

    def _poll_report(self) -> None:
        request = wire.report_request(self._engine)
        Fetch.start(
            self._pool,
            self._engine,
            request,
            self._on_report,
            timeout_s=REPORT_TIMEOUT_S,
        )

    def _on_report(self, result: FetchResult) -> None:
        if self._is_stopping:
            return
        period_s = BUSY_REPORT_PERIOD_S if self._is_switching else REPORT_PERIOD_S
        self.task.call_later(period_s, self._poll_report)
        is_due = self.task.now() - self._listed_at > LIST_REFRESH_S
        if self._configuration is None and is_due:
            self._refresh_lists()
        if not isinstance(result, Response) or not result.head.is_success:
            self._set_report(None)
            return
        try:
            self._set_report(wire.decode_report_body(result.body))
        except AdapterError as error:
            logger.warning("report ignored", extra={"reason": str(error)})

    def _set_report(self, report: EngineReport | None) -> None:
        before = self._report
        self._report = report
        if (before is None) != (report is None):
            logger.info("engine reached" if report else "engine lost")
        is_restarted = (
            before is not None
            and report is not None
            and before.born_ms != report.born_ms
        )
        if is_restarted:
            logger.info("engine restarted")
            self._verified_at = None
            self._is_switching = False
            self._ordered = None
            self._forget_order()
        if report is not None:
            self._note_held(report)
        self._advance()

    def _note_held(self, report: EngineReport) -> None:
        if self._held_version is not None or self._swarm is not None:
            return
        for model in report.models:
            named = NamedVersion(model.name, model.version)
            self._held_version = named
            self._stage.list_held(model.name, self._on_held)
            return

    def _on_held(self, held: frozenset[int] | None) -> None:
        if held is None:
            self._held_version = None
            return
        self._held = sum(1 << number for number in held)
        logger.info("staged pieces found", extra={"pieces": len(held)})

    def _state(self) -> LoadState:
        profile = self._profile()
        swarm = self._swarm
        verified_at = self._verified_at
        return LoadState(
            target=self._target,
            report=self._report,
            layers=profile.layers if profile is not None else 0,
            is_staged=swarm is not None and swarm.view.pieces.is_complete,
            is_verified=(
                verified_at is not None
                and self.task.now() - verified_at < VERIFICATION_AGE_S
            ),
        )

    def _advance(self) -> None:
        state = self._state()
        if self._is_switching and self._serves_ordered():
            self._is_switching = False
            logger.info("engine serves the version", extra=self._target_fields())
            self._send_states()
        if serves_target(state):
            self._forget_order()
            self._take_newest()
        step = next_step(state)
        if step is LoadStep.LOOK_UP:
            self._fetch_manifest()
        elif step is LoadStep.FETCH:
            self._fetch()
        elif step is LoadStep.VERIFY:
            self._verify()
        elif step is LoadStep.ORDER:
            self._order()

    def _serves_ordered(self) -> bool:
        ordered, report = self._ordered, self._report
        if ordered is None or report is None:
            return False
        return any(
            model.name == ordered.model and model.version >= ordered.version
            for model in report.models
        )

    def _target_fields(self) -> dict[str, Any]:
        target = self._target
        if target is None:
            return {}
        return {"model": target.model, "version": target.version}

    # Pieces.

    def _fetch(self) -> None:
        if self.task.now() - self._listed_at > LIST_REFRESH_S:
            self._refresh_lists()
        if self._swarm is not None or self._is_fetching_manifest:
            return
        self._fetch_manifest()

    def _fetch_manifest(self) -> None:
        origin, model = self._origin(), self._model()
        if origin is None or model is None or self._is_fetching_manifest:
            return
        self._is_fetching_manifest = True
        version = self._target.version if self._target is not None else None
        request = wire.manifest_request(origin.address, model, version)
        Fetch.start(
            self._pool,
            origin.address,
            request,
            self._on_manifest,
            timeout_s=MANIFEST_TIMEOUT_S,
        )

    def _on_manifest(self, result: FetchResult) -> None:
        try:
            if not isinstance(result, Response) or not result.head.is_success:
                raise AdapterError("the origin did not answer")
            manifest = wire.decode_manifest(result.body)
            if self._target is not None and manifest.version != self._target.version:
                raise AdapterError("the manifest is of another version")
        except AdapterError as error:
            logger.warning("manifest not fetched", extra={"reason": str(error)})
            self.task.call_later(MANIFEST_RETRY_S, self._end_manifest_pause)
            return
        self._is_fetching_manifest = False
        if self._target is None:
            # No version was named yet: the origin's newest is the intended one.
            self._target = NamedVersion(manifest.model, manifest.version)
            self._target_at = self.task.now()
            self._newest = self._target
        self._start_swarm(PieceSet(manifest))

    def _refresh_lists(self) -> None:
        self._listed_at = self.task.now()
        self._upstream_watch.refresh()
        self._configuration_watch.refresh()

    def _end_manifest_pause(self) -> None:
        self._is_fetching_manifest = False
        self._advance()

    def _start_swarm(self, pieces: PieceSet) -> None:
        origin = self._origin()
        zone = origin.availability_zone if origin is not None else ""
        view = SwarmView(
            own=Peer(self._own, self._settings.region),
            peers=self._peers(),
            origin_region=self._settings.region_of(zone),
            pieces=pieces,
            started_at=self.task.now(),
        )
        swarm = Swarm(
            self.task,
            self._pool,
            self._stage,
            self._origin,
            make_piece_policy(POLICY),
            view,
            self._announce,
            self._on_staged,
            lambda: self._piece_port.waiting,
        )
        self._swarm = swarm
        self._held_version = None
        self._verified_at = None
        logger.info("fetching", extra={**self._target_fields(), "pieces": pieces.count})
        self._reuse_staged(swarm)

    def _reuse_staged(self, swarm: Swarm) -> None:
        pieces = swarm.view.pieces

        def on_held(held: frozenset[int] | None) -> None:
            numbers = sorted(n for n in held or () if n < pieces.count)
            self._stage.verify(pieces, numbers, on_piece, on_done)

        def on_piece(number: int, is_good: bool) -> None:
            if is_good:
                pieces.add(number)

        def on_done() -> None:
            if self._swarm is not swarm:
                return
            logger.info(
                "staged pieces kept",
                extra={"pieces": pieces.count - len(pieces.missing())},
            )
            swarm.start()
            if pieces.is_complete:
                self._on_staged()

        self._stage.list_held(pieces.manifest.model, on_held)

    def _drop_swarm(self) -> None:
        if self._swarm is not None:
            self._swarm.stop()
            self._swarm = None
        self._verified_at = None

    def _on_staged(self) -> None:
        swarm = self._swarm
        if swarm is None:
            return
        logger.info(
            "staged",
            extra={
                **self._target_fields(),
                "origin_bytes": swarm.origin_bytes,
                "peer_bytes": swarm.peer_bytes,
                "seconds": round(self.task.now() - swarm.view.started_at, 3),
            },
        )
        self.telemetry.count("weights.origin_bytes", swarm.origin_bytes)
        self.telemetry.count("weights.peer_bytes", swarm.peer_bytes)
        self._advance()

    def _verify(self) -> None:
        swarm = self._swarm
        if swarm is None or self._is_verifying:
            return
        self._is_verifying = True
        pieces = swarm.view.pieces
        started_at = self.task.now()

        def on_piece(number: int, is_good: bool) -> None:
            if not is_good:
                logger.warning("staged piece is bad", extra={"number": number})
                pieces.discard(number)

        def on_done() -> None:
            self._is_verifying = False
            if self._swarm is swarm and pieces.is_complete:
                self._verified_at = started_at
            self._advance()

        self._stage.verify(pieces, list(range(pieces.count)), on_piece, on_done)

    def _order(self) -> None:
        target = self._target
        if self._is_ordering or target is None:
            return
        self._is_ordering = True
        self._is_switching = True
        self._ordered = target
        self._send_states()
        logger.info("ordering the engine", extra=self._target_fields())
        request = wire.start_order_request(self._engine, target.model, target.version)
        Fetch.start(
            self._pool,
            self._engine,
            request,
            self._on_ordered,
            timeout_s=ORDER_TIMEOUT_S,
        )

    def _on_ordered(self, result: FetchResult) -> None:
        status = result.head.status if isinstance(result, Response) else None
        logger.info("order answered", extra={"status": status})
        self._verified_at = None
        is_accepted = status in (wire.ORDER_BEGUN_STATUS, wire.ORDER_IN_EFFECT_STATUS)
        # An accepted order waits for running work; reports tell when it is done.
        pause_s = ORDER_PAUSE_S if is_accepted else ORDER_RETRY_S
        self._order_timer = self.task.call_later(pause_s, self._end_order)
        if is_accepted:
            # What the engine loads is fixed: the staging area is free again.
            self._take_newest()

    def _end_order(self) -> None:
        self._forget_order()
        self._advance()

    def _forget_order(self) -> None:
        self._is_ordering = False
        if self._order_timer is not None:
            self._order_timer.cancel()
            self._order_timer = None

    def _read_piece(self, model: str, version: int, number: int, on_done: Any) -> None:
        swarm = self._swarm
        if swarm is not None:
            manifest = swarm.view.pieces.manifest
            is_same = (manifest.model, manifest.version) == (model, version)
            if not is_same or not swarm.view.pieces.verified >> number & 1:
                on_done(None)
                return
        elif self._held_version != NamedVersion(model, version):
            on_done(None)
            return
        self._stage.get(model, number, on_done)

    # Other instances.

    def _announce(self, piece_map: exchange.PieceMap, addresses: list[Address]) -> None:
        data = exchange.encode(piece_map)
        for address in addresses:
            self._datagrams.send(data, address)

    def _on_datagram(self, data: bytes, sender: Address) -> None:
        try:
            message = exchange.decode(data)
        except exchange.ExchangeError as error:
            logger.warning("datagram ignored", extra={"reason": str(error)})
            return
        if isinstance(message, exchange.Hello):
            self._subscribers[sender] = self.task.now()
            self._send_state(sender)
        elif isinstance(message, exchange.PieceMap):
            self._on_piece_map(sender, message)

    def _on_piece_map(self, sender: Address, message: exchange.PieceMap) -> None:
        swarm = self._swarm
        named = NamedVersion(message.model, message.version)
        if swarm is not None:
            manifest = swarm.view.pieces.manifest
            if (manifest.model, manifest.version) == (named.model, named.version):
                swarm.apply_map(sender, message)
                if message.is_reply_wanted:
                    self._announce(swarm.make_map(), [sender])
            return
        if message.is_reply_wanted and self._held_version == named and self._held:
            reply = exchange.PieceMap(
                named.model,
                named.version,
                self._held,
                uploads=self._piece_port.waiting,
            )
            self._announce(reply, [sender])

    def _send_states(self) -> None:
        now = self.task.now()
        for address, heard_at in list(self._subscribers.items()):
            if now - heard_at > SUBSCRIBER_SILENCE_S:
                del self._subscribers[address]
                continue
            self._send_state(address)

    def _send_state(self, address: Address) -> None:
        report = self._report
        now = self.task.now()
        entries = tuple(
            item
            for item, heard_at in self._subscribers.items()
            if now - heard_at <= SUBSCRIBER_SILENCE_S and item != address
        )
        state = exchange.AgentState(
            upstream=self._engine,
            is_switching=self._is_switching,
            version=max((m.version for m in report.models), default=0) if report else 0,
            pace=report.pace if report is not None else 1.0,
            entries=entries,
            namings=tuple(
                exchange.Naming(*naming) for naming in self._versions.ages(now)
            ),
        )
        self._datagrams.send(exchange.encode(state), address)
