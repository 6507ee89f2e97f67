"""The entry: takes callers' requests and calls upstreams of its own choice."""

import itertools
import logging
import time
from typing import Any, final

from bamboolever._retry import RetryBudget
from bamboolever._task import IoTask, Timer
from bamboolever._telemetry import Telemetry
from bamboolever.calls.dispatcher import Assignment, Decision, RejectReason
from bamboolever.calls.placement import PendingCall
from bamboolever.calls.poison import request_digest
from bamboolever.calls.split import choose_service
from bamboolever.calls.upstream import UpstreamView
from bamboolever.config.freshness import Freshness
from bamboolever.config.model import Configuration, Route, Workspace
from bamboolever.config.routes import RouteTable, path_of
from bamboolever.config.watch import KindWatch, WatchTiming
from bamboolever.daemons.calllog import CallLog
from bamboolever.daemons.clock import suspended_clock
from bamboolever.daemons.entryexchange import EntryExchange
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.daemons.observers import (
    ConfigurationObserver,
    UpstreamObserver,
    VersionObserver,
)
from bamboolever.daemons.relay import CallRelay, RelayOwner
from bamboolever.daemons.settings import InstanceSettings
from bamboolever.daemons.statusport import StatusHandler
from bamboolever.fleet.records import NamedVersion
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.messages import Request
from bamboolever.net.server import (
    HttpLimits,
    HttpServer,
    RequestHandler,
    ServerConnection,
)
from bamboolever.platform import calls as wire
from bamboolever.platform import names

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.4
UPSTREAM_IDLE_S = 3.0
STORE_IDLE_S = 10.0
CONFIGURATION_WAIT_S = 2.0
LIST_WAIT_S = 20.0
LIST_SETTLE_S = 0.1
METRICS_PORT_OFFSET = 1
FILES_RESERVED = 264
# After a stop is asked for, the balancer still sends new connections this long.
BALANCER_DELAY_S = 3.0
STOP_MARGIN_S = 0.7
# The share of a service's retries that one of several entries may spend alone.
RETRY_SHARE = 0.6
RETRY_RESERVE_SHARE = 0.1


@final
class Entry(RequestHandler, RelayOwner):
    """One entry process: sockets, watches and the calls under way."""

    def __init__(self, settings: InstanceSettings):
        self._settings = settings
        self.task = IoTask("entry", clock=suspended_clock)
        self.telemetry = Telemetry("entry")
        self.log = CallLog(self.telemetry)
        self.pool = ConnectionPool(
            self.task, connect_timeout_s=CONNECT_TIMEOUT_S, max_idle_s=UPSTREAM_IDLE_S
        )
        self._store_pool = ConnectionPool(
            self.task, connect_timeout_s=CONNECT_TIMEOUT_S, max_idle_s=STORE_IDLE_S
        )
        self._freshness = Freshness(settings.bounds.key_max_age_s)
        self._configuration: Configuration | None = None
        self._routes = RouteTable(Configuration(0))
        self._limits = HttpLimits()
        self._budgets: dict[str, RetryBudget] = {}
        self._relays: dict[ServerConnection, CallRelay] = {}
        self._placing: dict[int, CallRelay] = {}
        self._call_ids = itertools.count(1)
        self._is_stopping = False
        self._stopped_at = 0.0
        self._due_timer: Timer | None = None
        self._due_at: float | None = None
        self.fleet = EntryFleet(settings, int(time.time() * 1000))
        self._open_ports()
        self._watches = self._make_watches()

    @classmethod
    def from_config(cls, settings: InstanceSettings) -> "Entry":
        """Build an entry that listens at once and serves when it is ready."""
        return cls(settings)

    def run(self) -> None:
        """Serve on the calling thread until a stop is complete."""
        for server in (self._server, self._readiness, self._metrics):
            server.start()
        self.exchange.start()
        for watch in self._watches:
            watch.start()
        self.task.run()

    def _open_ports(self) -> None:
        settings = self._settings
        if settings.caller_address is None or settings.readiness_address is None:
            raise ValueError("an entry needs a caller and a readiness address")
        self._server = HttpServer(
            self.task,
            settings.caller_address,
            self,
            self._limits,
            max_connections=max(64, settings.file_descriptors - FILES_RESERVED) // 2,
        )
        status = StatusHandler(
            names.READINESS_PATH, self.is_ready, self.telemetry.render_text
        )
        limits = HttpLimits()
        self._readiness = HttpServer(
            self.task, settings.readiness_address, status, limits, max_connections=32
        )
        metrics = Address(settings.host, settings.internal_port + METRICS_PORT_OFFSET)
        self._metrics = HttpServer(
            self.task, metrics, status, limits, max_connections=32
        )
        own = Address(settings.host, settings.internal_port)
        self.exchange = EntryExchange(
            self.task,
            settings.name,
            own,
            self.fleet,
            self.telemetry,
            self._decide_waiting,
        )

    def _make_watches(self) -> list[KindWatch]:
        def watch(
            kind: str, observer: Any, wait_s: float, settle_s: float
        ) -> KindWatch:
            return KindWatch(
                self.task,
                self._store_pool,
                lambda: self._settings.store_address,
                kind,
                observer,
                WatchTiming(wait_s),
                settle_s=settle_s,
            )

        return [
            watch(
                names.CONFIGURATION_KIND,
                ConfigurationObserver(self._apply_configuration, self._on_confirmed),
                CONFIGURATION_WAIT_S,
                0.0,
            ),
            watch(
                names.UPSTREAM_KIND,
                UpstreamObserver(
                    self.fleet.upstreams, self.task.now, self._on_upstreams
                ),
                LIST_WAIT_S,
                LIST_SETTLE_S,
            ),
            watch(
                names.VERSION_KIND, VersionObserver(self._on_version), LIST_WAIT_S, 0.0
            ),
        ]

    # What the store tells.

    def _apply_configuration(self, configuration: Configuration) -> None:
        known = self._configuration
        if known is not None and configuration.version <= known.version:
            return
        self._configuration = configuration
        self._routes = RouteTable(configuration)
        limits = configuration.limits
        self._limits.max_header_bytes = limits.max_header_bytes
        self._limits.max_body_bytes = limits.max_body_bytes
        self._limits.header_timeout_s = limits.header_timeout_s
        self._limits.idle_timeout_s = limits.idle_timeout_s
        self.fleet.apply_configuration(configuration)
        self.fleet.refresh(self.task.now())
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

    def _on_upstreams(self) -> None:
        is_first = not self.fleet.has_upstreams
        self.fleet.refresh(self.task.now())
        if is_first:
            # Agents tell what a process that just started cannot know.
            self.exchange.greet_agents()
        for service in self.fleet.services():
            self.on_room(service)

    def _on_version(self, named: NamedVersion, is_new: bool) -> None:
        versions = self.fleet.versions
        now = self.task.now()
        if versions.put(named.model, named.version, now, is_new=is_new):
            logger.info(
                "version named",
                extra={
                    "model": named.model,
                    "version": named.version,
                    "is_new": is_new,
                },
            )

    def is_ready(self) -> bool:
        """Whether new connections are welcome."""
        return (
            not self._is_stopping
            and self._configuration is not None
            and self.fleet.upstreams.is_known
            and self._freshness.allows_keys(self.task.now())
        )

    # Requests.

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Check a request and have it placed, or answer it at once."""
        facts = wire.decode_call(request)
        configuration = self._configuration
        if configuration is None:
            self._refuse(connection, facts, 503, RejectReason.NO_CONFIGURATION.value)
            return
        if facts.attempt_id is None:
            self._refuse(connection, facts, 400, "no-attempt-id")
            return
        route = self._routes.find(facts.host, path_of(facts.target))
        if route is None:
            self._refuse(connection, facts, 404, "no-route")
            return
        workspace = self._find_workspace(configuration, facts)
        if configuration.has_workspaces and not route.is_anonymous:
            if not self._freshness.allows_keys(self.task.now()):
                self._refuse(connection, facts, 503, RejectReason.STALE_KEYS.value)
                return
            if workspace is None:
                self._refuse(connection, facts, 401, "unknown-key")
                return
        digest = request_digest(
            request.method, request.target, facts.api_key or "", request.body
        )
        if self.exchange.crashes.is_blocked(digest, self.task.now()):
            self._refuse(connection, facts, 503, RejectReason.POISON.value)
            return
        service = choose_service(route, facts.attempt_id)
        if service is None:
            self._refuse(connection, facts, 503, RejectReason.NO_UPSTREAM.value)
            return
        self._begin(connection, request, facts, route, service, workspace, digest)

    def _find_workspace(
        self, configuration: Configuration, facts: wire.CallFacts
    ) -> Workspace | None:
        if facts.api_key is None:
            return None
        return configuration.workspaces_by_key.get(facts.api_key)

    def _begin(
        self,
        connection: ServerConnection,
        request: Request,
        facts: wire.CallFacts,
        route: Route,
        service: str,
        workspace: Workspace | None,
        digest: int,
    ) -> None:
        relay = CallRelay(
            self,
            connection,
            request,
            facts,
            route,
            service,
            workspace,
            call_id=next(self._call_ids),
            used_s=self.exchange.returns.used_s(digest, self.task.now()),
            digest=digest,
        )
        self._relays[connection] = relay
        self.log.arrived(
            relay,
            configuration=self._configuration.version if self._configuration else 0,
            confirmed_age_s=self._freshness.age_s(self.task.now()),
        )
        relay.start()

    def _refuse(
        self,
        connection: ServerConnection,
        facts: wire.CallFacts,
        status: int,
        reason: str,
    ) -> None:
        self.count("call.refused", reason=reason)
        logger.info(
            "call refused",
            extra={
                "attempt": _text(facts.attempt_id),
                "status": status,
                "reason": reason,
                "host": facts.host,
                "target": facts.target,
                "version": self._configuration.version if self._configuration else 0,
                "confirmed_age_s": self._freshness.age_s(self.task.now()),
            },
        )
        headers = []
        if facts.attempt_id is not None:
            headers.append(wire.attempt_header(facts.attempt_id))
        if status == 503:
            headers.append(wire.retry_after_header(0.5))
        connection.respond(status, headers, reason.encode())

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """End the caller's request."""
        relay = self._relays.get(connection)
        if relay is not None:
            relay.on_caller_gone()

    def on_rejected(self, status: int, reason: str) -> None:
        """Count a request that was not whole."""
        self.count("request.malformed", status=str(status))
        logger.info("request rejected", extra={"status": status, "reason": reason})

    # RelayOwner.

    def enqueue(self, relay: CallRelay, pending: PendingCall) -> None:
        """Place a request now or when there is room."""
        self._placing[relay.call_id] = relay
        dispatcher = self.fleet.dispatcher(relay.service)
        now = self.task.now()
        if self._is_stopping and now - self._stopped_at > self._stop_limit_s():
            self._placing.pop(relay.call_id)
        self._carry_out(dispatcher.submit(pending, now))

    def withdraw(self, relay: CallRelay) -> None:
        """Stop placing a request."""
        if self._placing.pop(relay.call_id, None) is not None:
            self.fleet.dispatcher(relay.service).cancel(relay.call_id)

    def on_room(self, service: str) -> None:
        """Place what waits for a service; not inside the caller's stack."""
        self.exchange.mark_load_changed()
        if self.fleet.dispatcher(service).waiting:
            self.task.send(lambda: self._decide(service))

    def on_ended(self, relay: CallRelay) -> None:
        """Log and count a request's outcome."""
        self._relays.pop(relay.connection, None)
        if relay.record.outcome == "rejected":
            first_at = relay.arrived_at - relay.used_s
            self.exchange.remember_rejection(relay.digest, first_at)
        self.log.ended(relay, self.task.now())

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._settings.bounds
            reserve = bounds.retry_slack * RETRY_RESERVE_SHARE
            budget = RetryBudget(
                bounds.retry_ratio * RETRY_SHARE, reserve=reserve, max_saved=reserve
            )
            self._budgets[service] = budget
        return budget

    def count(self, name: str, **attributes: str) -> None:
        """Count an event."""
        self.telemetry.count(name, 1, **attributes)

    def on_break(self, relay: CallRelay, upstream: UpstreamView) -> None:
        """Remember which requests broke at an upstream."""
        key = self.fleet.key(upstream)
        self.exchange.crashes.on_break(key, relay.digest, self.task.now())

    def on_down(self, upstream: UpstreamView) -> None:
        """Blame the requests that broke just before, here and at the peers."""
        now = self.task.now()
        digests = self.exchange.crashes.on_down(self.fleet.key(upstream), now)
        if not digests:
            return
        logger.info(
            "upstream down",
            extra={"upstream": upstream.instance_id, "blamed": len(digests)},
        )
        self.exchange.blame(digests)

    def on_completed(self, relay: CallRelay) -> None:
        """Clear a request that ran to its end."""
        self.exchange.crashes.on_completed(relay.digest)

    def is_blocked(self, relay: CallRelay) -> bool:
        """Tell whether the request is known to crash upstreams."""
        return self.exchange.crashes.is_blocked(relay.digest, self.task.now())

    def _decide(self, service: str) -> None:
        self._carry_out(self.fleet.dispatcher(service).decide(self.task.now()))

    def _carry_out(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            relay = self._placing.pop(decision.call.call_id, None)
            if relay is None:
                continue
            if isinstance(decision, Assignment):
                self.exchange.mark_load_changed()
                self.log.placed(relay, decision.choice, self.task.now())
                relay.on_placed(decision.choice)
                continue
            relay.on_rejected(decision)
        self._arm_due()

    def _arm_due(self) -> None:
        dispatchers = [self.fleet.dispatcher(name) for name in self.fleet.services()]
        due = [item.next_due() for item in dispatchers]
        at = min((item for item in due if item is not None), default=None)
        if at is None or (self._due_at is not None and self._due_at <= at):
            return
        if self._due_timer is not None:
            self._due_timer.cancel()
        self._due_at = at
        delay_s = max(0.0, at - self.task.now())
        self._due_timer = self.task.call_later(delay_s, self._on_due)

    def _on_due(self) -> None:
        self._due_at = None
        self._decide_waiting()
        self._arm_due()

    def _decide_waiting(self) -> None:
        for service in self.fleet.services():
            if self.fleet.dispatcher(service).waiting:
                self._decide(service)

    # Stop.

    def request_stop(self) -> None:
        """Begin a graceful stop; call on the task's thread."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._stopped_at = self.task.now()
        self._server.announce_stop()
        logger.info("stopping", extra={"calls": len(self._relays)})
        self.task.call_later(BALANCER_DELAY_S, self._finish_stop)

    def _stop_limit_s(self) -> float:
        return self._settings.bounds.grace_period_s - STOP_MARGIN_S

    def _finish_stop(self) -> None:
        self._server.close_idle()
        elapsed_s = self.task.now() - self._stopped_at
        if self._relays and elapsed_s < self._stop_limit_s():
            self.task.call_later(0.1, self._finish_stop)
            return
        logger.info("stopped", extra={"cut": len(self._relays)})
        self.task.stop()

    def apply_settings(self, settings: InstanceSettings) -> None:
        """Use changed settings; addresses of open ports stay."""
        self._settings = settings
        self._freshness.max_age_s = settings.bounds.key_max_age_s
        logger.info("settings reloaded", extra={"store": str(settings.store_address)})


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")
