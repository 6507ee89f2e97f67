"""The entry daemon: accepts callers' requests and routes them to upstreams.

It watches the store for the configuration, the upstreams and the model versions,
and exchanges datagrams with agents and other entries. From these it decides:

- Whether this entry is ready: the load balancer may send it connections.
- Whether a request is admitted. A request that crashes upstreams, or that may not
  end before this process exits, is rejected before it reaches an upstream.
- Which Retry-After the caller of a rejected request gets.

Load pattern: callers that still arrive while this entry starts, stops or is cut off
from the store. If another entry is ready, they may retry almost at once, else they
wait longer. An entry that is cut off from the store and from the other entries
assumes that those are ready.

`inflightcalls` and `relay` place, relay and retry the admitted requests.
"""

import logging
import time
from typing import Any, final

from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry
from bamboolever.calls.admission import (
    UNAVAILABLE_STATUS,
    AdmissionRequest,
    AdmissionState,
    Admitted,
    Refused,
    admit,
    can_admit_while_stopping,
)
from bamboolever.calls.buffers import HeldBytes
from bamboolever.calls.dispatcher import RejectReason
from bamboolever.calls.parts import PromptParts
from bamboolever.calls.poison import request_digest
from bamboolever.calls.retryafter import find_retry_after_s
from bamboolever.config import storecalls
from bamboolever.config.freshness import Freshness
from bamboolever.config.model import Configuration, Route
from bamboolever.config.routes import RouteTable
from bamboolever.config.watch import KindWatch, WatchTiming
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.daemons.clock import boottime_clock
from bamboolever.daemons.entryexchange import EntryExchange
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.daemons.gracefulstop import GracefulStop
from bamboolever.daemons.inflightcalls import InFlightCalls
from bamboolever.daemons.observers import (
    ConfigurationObserver,
    EvacuationObserver,
    RevisionObserver,
    UpstreamObserver,
    VersionObserver,
)
from bamboolever.daemons.partshandler import PartsHandler
from bamboolever.daemons.relay import CallRelay
from bamboolever.daemons.settings import InstanceSettings
from bamboolever.daemons.snapshots import SnapshotHandler
from bamboolever.daemons.statushandler import StatusHandler
from bamboolever.daemons.storerelay import WATCH_WAIT_SHARE
from bamboolever.daemons.whereanswers import WhereAnswers
from bamboolever.daemons.wherehandler import WhereHandler
from bamboolever.fleet.records import ModelVersion
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.handlers import (
    MAX_INTERNAL_BODY_BYTES,
    HttpLimits,
    RequestHandler,
    make_plain_rejection,
)
from bamboolever.net.messages import Header, Request
from bamboolever.net.server import HttpServer
from bamboolever.net.serverconnection import ServerConnection
from bamboolever.platform import calls as wire
from bamboolever.platform import names
from bamboolever.platform.where import MAX_QUESTION_BYTES

logger = logging.getLogger(__name__)

MAX_STORE_IDLE_S = 10.0
# How long the store holds a watch request that has no changes to return. The watch of
# the configuration waits less, as its responses confirm the API keys.
LIST_WAIT_S = 20.0
LIST_BATCH_DELAY_S = 0.6
# Share of the evacuation bound for which the store may hold a watch request. A lost
# response is noticed only after that time.
EVACUATION_WAIT_SHARE = 0.3
TIMER_MARGIN_S = 0.05
# File descriptors kept for other uses than calls. A call takes two: one for its
# caller and one for its upstream.
RESERVED_FDS = 328


@final
class Entry(RequestHandler):
    """One entry process: its sockets, its watches and the calls in flight.

    All methods run on the thread that calls `run`, which runs ``task``.
    """

    def __init__(self, settings: InstanceSettings):
        self._settings = settings
        self.task = IoTask("entry", clock=boottime_clock)
        self.telemetry = Telemetry("entry")
        # The first request would wait for the import otherwise.
        self.telemetry.prepare()
        self._store_pool = ConnectionPool(
            self.task,
            connect_timeout_s=storecalls.CONNECT_TIMEOUT_S,
            max_idle_s=MAX_STORE_IDLE_S,
        )
        self._freshness = Freshness(settings.bounds.key_max_age_s)
        self._configuration: Configuration | None = None
        self._route_table = RouteTable(Configuration(0))
        self._limits = HttpLimits()
        self._held_bytes: HeldBytes[ServerConnection] = HeldBytes.from_memory(
            settings.memory_bytes
        )
        self._received_bytes: HeldBytes[ServerConnection] = HeldBytes.for_requests(
            settings.memory_bytes
        )
        self._created_at = self.task.now()
        self._known_rollouts = 0
        self.fleet = EntryFleet(settings, int(time.time() * 1000))
        self._watches: list[KindWatch] = []
        self._open_ports()
        self._watches = self._create_watches()

    @classmethod
    def from_config(cls, settings: InstanceSettings) -> "Entry":
        """Return an entry with open ports that serves once `run` is called.

        Raises `ValueError` when the caller or the readiness address is missing.
        """
        return cls(settings)

    def run(self) -> None:
        """Serve on the calling thread until a graceful stop is complete."""
        for server in (
            self._caller_server,
            self._readiness_server,
            self._metrics_server,
            self._snapshot_server,
        ):
            server.start()
        self.exchange.start()
        for watch in self._watches:
            watch.start()
        self.task.run()

    def _open_ports(self) -> None:
        settings = self._settings
        if settings.caller_address is None or settings.readiness_address is None:
            raise ValueError("an entry needs a caller and a readiness address")
        self._caller_server = HttpServer(
            self.task,
            settings.caller_address,
            self,
            self._limits,
            max_connections=max(64, settings.file_descriptors - RESERVED_FDS) // 2,
            make_rejection=self._make_incomplete_rejection,
        )
        status = StatusHandler(
            names.READINESS_PATH, self.is_ready, self.telemetry.render_text
        )
        limits = HttpLimits(max_body_bytes=MAX_INTERNAL_BODY_BYTES)
        self._readiness_server = HttpServer(
            self.task, settings.readiness_address, status, limits, max_connections=32
        )
        own_address = Address(settings.host, settings.internal_port)
        self.exchange = EntryExchange(
            self.task,
            settings.name,
            own_address,
            self.fleet,
            self.telemetry,
            self._on_fleet_changed,
            self.is_ready,
            settings.bounds.configuration_timeout_s,
        )
        parts = PartsHandler(self.exchange.crashes, status)
        answers = WhereAnswers(
            settings.name,
            self.fleet,
            self._admission_state,
            self._stops_before,
            self.task.now,
        )
        self._metrics_server = HttpServer(
            self.task,
            settings.metrics_address,
            WhereHandler(answers.answer, self.task.now, parts),
            HttpLimits(max_body_bytes=MAX_QUESTION_BYTES),
            max_connections=32,
        )
        snapshots = SnapshotHandler(
            self.task.now, self.exchange.store_relay.snapshot_of
        )
        self._snapshot_server = HttpServer(
            self.task, own_address, snapshots, limits, max_connections=64
        )
        self.calls = InFlightCalls(
            self.task, self.telemetry, self.fleet, self.exchange, settings
        )
        self._graceful_stop = GracefulStop(
            self.task, self._caller_server, self.calls, settings.bounds.grace_period_s
        )

    def _create_watches(self) -> list[KindWatch]:
        group = WatchGroup()

        def watch(
            kind: str, observer: Any, wait_s: float, batch_delay_s: float
        ) -> KindWatch:
            created = KindWatch(
                self.task,
                self._store_pool,
                lambda: self._settings.store_address,
                kind,
                RevisionObserver(
                    observer, lambda as_of: self._on_revision(created, as_of)
                ),
                WatchTiming(wait_s),
                group=group,
                batch_delay_s=batch_delay_s,
                sharing=self.exchange.store_relay,
            )
            return created

        watches = [
            watch(
                names.CONFIGURATION_KIND,
                ConfigurationObserver(
                    self._apply_configuration,
                    self._on_confirmed,
                    self._on_store_restored,
                ),
                WATCH_WAIT_SHARE * self._settings.bounds.configuration_timeout_s,
                0.0,
            ),
            watch(
                names.UPSTREAM_KIND,
                UpstreamObserver(
                    self.fleet.upstreams, self.task.now, self._on_upstreams
                ),
                LIST_WAIT_S,
                LIST_BATCH_DELAY_S,
            ),
            watch(
                names.VERSION_KIND, VersionObserver(self._on_version), LIST_WAIT_S, 0.0
            ),
        ]
        timeout_s = self._settings.bounds.evacuation_timeout_s
        if timeout_s is not None:
            # It comes last: entries name the revisions of all kinds in this order.
            watches.append(
                watch(
                    names.EVACUATION_KIND,
                    EvacuationObserver(
                        self.fleet.evacuations,
                        self.task.now,
                        lambda: self.exchange.store_relay.era,
                        self._on_evacuations,
                    ),
                    EVACUATION_WAIT_SHARE * timeout_s,
                    0.0,
                )
            )
        for each in watches:
            self.exchange.store_relay.add_watch(each)
        return watches

    # Updates from the store.

    def _apply_configuration(self, configuration: Configuration) -> None:
        known = self._configuration
        if known is not None and configuration.version <= known.version:
            return
        self._configuration = configuration
        self._route_table = RouteTable(configuration)
        limits = configuration.limits
        self._limits.max_header_bytes = limits.max_header_bytes
        self._limits.max_body_bytes = limits.max_body_bytes
        self._limits.header_timeout_s = limits.header_timeout_s
        self._limits.idle_timeout_s = limits.idle_timeout_s
        self._received_bytes.allow(limits.max_body_bytes)
        self.fleet.apply_configuration(configuration)
        self._refresh_views()
        self.calls.apply_configuration(configuration, self._route_table)
        logger.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "routes": len(configuration.routes),
                "services": len(configuration.services),
            },
        )

    def _on_confirmed(self, as_of: float) -> None:
        self._freshness.confirm(as_of)

    def _on_fleet_changed(self) -> None:
        if self.fleet.version_rollouts.rollout_count != self._known_rollouts:
            self._on_rollouts_changed()
        if self.fleet.has_waiting_calls:
            self.calls.on_fleet_changed()

    def _on_rollouts_changed(self) -> None:
        self._known_rollouts = self.fleet.version_rollouts.rollout_count
        self.calls.on_version_added()

    def _on_store_restored(self) -> None:
        now = self.task.now()
        self._freshness.on_store_restored(now)
        self.fleet.version_rollouts.on_store_restored(
            self.exchange.store_relay.era, now
        )

    def _refresh_views(self) -> None:
        known = set(self.fleet.agent_addresses())
        former_cell = self.fleet.own_cell
        ended = self.fleet.refresh_views(self.task.now())
        self.calls.on_upstreams_ended(ended)
        if self.fleet.own_cell != former_cell:
            self.exchange.on_cell_changed()
            return
        new = [each for each in self.fleet.agent_addresses() if each not in known]
        if not known and new:
            # Agents respond with the ages of rollouts and the addresses of the other
            # entries. An entry that has just started cannot know these.
            self.exchange.send_hello_to_agents()
        else:
            # An agent that has just started waits for a hello, too.
            self.exchange.send_hello(new)

    def _on_upstreams(self) -> None:
        self._refresh_views()
        for service in self.fleet.services():
            self.calls.on_capacity_changed(service)
        removal_at = self.fleet.upstreams.deferred_removal_at()
        if removal_at is not None:
            delay_s = removal_at - self.task.now() + TIMER_MARGIN_S
            self.task.call_later(max(TIMER_MARGIN_S, delay_s), self._on_upstreams)

    def _on_revision(self, watch: KindWatch, as_of: float) -> None:
        if watch.revision is not None:
            rollouts = self.fleet.version_rollouts
            rollouts.confirm(watch.era, watch.revision, as_of)
            self.fleet.evacuations.confirm(watch.era, watch.revision, as_of)
            if self._is_list_at(watch.era, watch.revision):
                self.fleet.note_list_current(as_of)

    def _is_list_at(self, era: int, revision: int) -> bool:
        """Return whether the list of upstreams holds all changes up to a revision."""
        for watch in self._watches:
            if watch.kind == names.UPSTREAM_KIND:
                known = watch.revision
                return watch.era == era and known is not None and known >= revision
        return False

    def _on_evacuations(self) -> None:
        self.fleet.log_evacuations(self.telemetry)
        if self.fleet.has_waiting_calls:
            self.calls.on_fleet_changed()

    def _on_version(self, model_version: ModelVersion, revision: int | None) -> None:
        rollouts = self.fleet.version_rollouts
        model, version = model_version.model, model_version.version
        if rollouts.add(model, version, revision=revision):
            logger.info(
                "version named",
                extra={
                    "model": model,
                    "version": version,
                    "age_s": rollouts.age_s(model, version, self.task.now()),
                },
            )
            self.exchange.send_hello_to_agents()
            self._on_rollouts_changed()

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new connections.

        Needs a configuration, a list of upstreams, trusted API keys and, where the
        deployment has them, the evacuations.
        """
        return (
            not self._graceful_stop.is_requested
            and self._configuration is not None
            and self.fleet.upstreams.is_known
            and self._knows_evacuations()
            and self._freshness.can_trust_keys(self.task.now())
        )

    def _knows_evacuations(self) -> bool:
        """Return whether the evacuations are known, or were waited for long enough.

        A store that serves all other kinds must not keep this entry out for good.
        """
        timeout_s = self._settings.bounds.evacuation_timeout_s
        if timeout_s is None or self.task.now() - self._created_at > timeout_s:
            return True
        return any(
            watch.kind == names.EVACUATION_KIND and watch.revision is not None
            for watch in self._watches
        )

    # Requests from callers.

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Admit a complete request and start its call, or reject it at once."""
        self._received_bytes.keep(connection)
        metadata = wire.decode_call(request)
        admission_request = AdmissionRequest(
            metadata.attempt_id, metadata.host, metadata.target, metadata.api_key
        )
        admitted = admit(admission_request, self._admission_state())
        if isinstance(admitted, Refused):
            self._reject(connection, metadata, admitted.status, admitted.reason)
            return
        digest = request_digest(
            request.method, request.target, metadata.api_key or "", request.body
        )
        prompt = PromptParts.from_ids(metadata.model, metadata.shared_parts)
        reason = self._find_reject_reason(
            admitted, metadata.remaining_s, digest, prompt
        )
        if reason is not None:
            self._reject(connection, metadata, UNAVAILABLE_STATUS, reason.value)
            return
        self._start_call(connection, request, metadata, admitted, digest, prompt)

    def _admission_state(self) -> AdmissionState:
        can_trust_keys = self._freshness.can_trust_keys(self.task.now())
        return AdmissionState(self._configuration, self._route_table, can_trust_keys)

    def _stops_before(self, route: Route, remaining_s: float | None) -> bool:
        """Return whether a stop may interrupt a request of the route.

        ``remaining_s`` is the time for which its caller waits; None if unknown.
        """
        return self._graceful_stop.is_requested and not can_admit_while_stopping(
            self._graceful_stop.remaining_s, route, remaining_s
        )

    def _find_reject_reason(
        self,
        admitted: Admitted,
        remaining_s: float | None,
        digest: int,
        prompt: PromptParts,
    ) -> RejectReason | None:
        """Return why an admitted request must not be sent now, or None."""
        if self._stops_before(admitted.route, remaining_s):
            return RejectReason.STOPPING
        if self.exchange.crashes.tracker.is_blocked(digest, self.task.now()):
            return RejectReason.POISON
        return self.exchange.crashes.decide(prompt).reject_reason

    def _start_call(
        self,
        connection: ServerConnection,
        request: Request,
        metadata: wire.CallMetadata,
        admitted: Admitted,
        digest: int,
        prompt: PromptParts,
    ) -> None:
        relay = CallRelay(
            self.calls,
            connection,
            request,
            metadata,
            admitted.route,
            admitted.service,
            admitted.workspace,
            call_id=self.calls.new_call_id(),
            first_attempt_age_s=self.exchange.rejection_history.first_attempt_age_s(
                digest, self.task.now()
            ),
            digest=digest,
            prompt=prompt,
        )
        self.calls.log.record_admission(
            relay,
            configuration=self._configuration.version if self._configuration else 0,
            confirmed_age_s=self._freshness.age_s(self.task.now()),
        )
        self.calls.start(relay)

    def _reject(
        self,
        connection: ServerConnection,
        metadata: wire.CallMetadata,
        status: int,
        reason: str,
    ) -> None:
        self.telemetry.count("call.refused", 1, reason=reason)
        logger.info(
            "call refused",
            extra={
                "attempt": _decode_latin1(metadata.attempt_id),
                "status": status,
                "reason": reason,
                "host": metadata.host,
                "target": metadata.target,
                "version": self._configuration.version if self._configuration else 0,
                "confirmed_age_s": self._freshness.age_s(self.task.now()),
            },
        )
        headers: list[Header] = []
        if metadata.attempt_id is not None:
            headers.append(wire.attempt_header(metadata.attempt_id))
        if status == UNAVAILABLE_STATUS:
            headers += self._make_retry_after(RejectReason(reason))
        connection.respond(status, headers, reason.encode())

    def _make_incomplete_rejection(
        self, status: int, reason: str
    ) -> tuple[list[Header], bytes]:
        """Return headers and body for a request that is rejected while it arrives."""
        if status != UNAVAILABLE_STATUS:
            return make_plain_rejection(status, reason)
        return self._make_retry_after(RejectReason(reason)), reason.encode()

    def _make_retry_after(self, reason: RejectReason) -> list[Header]:
        is_peer_ready = self.fleet.peers.has_ready_peer(self.task.now())
        delay_s = find_retry_after_s(reason, is_peer_ready=is_peer_ready)
        return [] if delay_s is None else [wire.retry_after_header(delay_s)]

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Cancel the call of a caller that closed before its response was complete."""
        self.calls.on_caller_gone(connection)

    def on_received_bytes(self, connection: ServerConnection, size_bytes: int) -> None:
        """Reject the largest incomplete requests if all together hold too much."""
        for largest in self._received_bytes.resize(connection, size_bytes):
            largest.reject_incomplete(UNAVAILABLE_STATUS, RejectReason.NO_MEMORY.value)

    def on_queued_bytes(self, connection: ServerConnection, size_bytes: int) -> None:
        """Cut the responses of the slowest callers if all together hold too much."""
        for slowest in self._held_bytes.resize(connection, size_bytes):
            slowest.cut_later()

    def on_cut(self, connection: ServerConnection, size_bytes: int) -> None:
        """Count and log a response that is cut as its caller does not read it."""
        self.telemetry.count("caller.cut")
        logger.warning(
            "slow caller cut",
            extra={
                "unread_bytes": size_bytes,
                "held_bytes": self._held_bytes.used_bytes,
            },
        )

    def on_rejected(self, status: int, reason: str) -> None:
        """Count and log a request that was rejected before it was complete."""
        self.telemetry.count("request.malformed", 1, status=str(status))
        logger.info("request rejected", extra={"status": status, "reason": reason})

    # Graceful stop.

    def request_stop(self) -> None:
        """Start a graceful stop; call on the task's thread.

        The entry is unready at once. It stops when no call is in flight and callers
        have read their responses, or when the grace period ends.
        """
        self._graceful_stop.request()

    def apply_settings(self, settings: InstanceSettings) -> None:
        """Apply changed settings; call on the task's thread.

        Open ports keep their addresses.
        """
        known_zones = self._settings.regions_by_zone
        self._settings = settings
        self._graceful_stop.grace_period_s = settings.bounds.grace_period_s
        self._freshness.max_age_s = settings.bounds.key_max_age_s
        if settings.regions_by_zone != known_zones:
            self.fleet.apply_zones(settings.regions_by_zone)
            self._refresh_views()
        logger.info("settings reloaded", extra={"store": str(settings.store_address)})


def _decode_latin1(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")
