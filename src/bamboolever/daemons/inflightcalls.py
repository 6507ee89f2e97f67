"""The calls under way at an entry: placed by the dispatchers, logged, budgeted."""

import itertools
import logging
from typing import final

from bamboolever._retry import RetryBudget
from bamboolever._task import IoTask, Timer
from bamboolever._telemetry import Telemetry
from bamboolever.calls.dispatcher import Assignment, Decision
from bamboolever.calls.placement import PendingCall
from bamboolever.calls.upstream import UpstreamView
from bamboolever.daemons.calllog import CallLog
from bamboolever.daemons.entryexchange import EntryExchange
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.daemons.relay import CallRelay
from bamboolever.daemons.relaycontext import RelayContext
from bamboolever.daemons.settings import Bounds
from bamboolever.net.client import ConnectionPool
from bamboolever.net.server import ServerConnection

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.4
UPSTREAM_IDLE_S = 3.0
# The share of a service's retries that one of several entries may spend alone.
RETRY_SHARE = 0.6
RETRY_RESERVE_SHARE = 0.1


@final
class InFlightCalls(RelayContext):
    """Owns the relays of an entry and carries the dispatchers' decisions out."""

    def __init__(
        self,
        task: IoTask,
        telemetry: Telemetry,
        fleet: EntryFleet,
        exchange: EntryExchange,
        bounds: Bounds,
    ):
        self.task = task
        self.log = CallLog(telemetry)
        self.pool = ConnectionPool(
            task, connect_timeout_s=CONNECT_TIMEOUT_S, max_idle_s=UPSTREAM_IDLE_S
        )
        self._telemetry = telemetry
        self._fleet = fleet
        self._exchange = exchange
        self._bounds = bounds
        self._call_ids = itertools.count(1)
        self._relays: dict[ServerConnection, CallRelay] = {}
        self._awaiting_placement: dict[int, CallRelay] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._expiry_timer: Timer | None = None
        self._expires_at: float | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests without a final outcome."""
        return len(self._relays)

    def new_call_id(self) -> int:
        """Return a number that no other call of this process has."""
        return next(self._call_ids)

    def start(self, relay: CallRelay) -> None:
        """Own a new relay and have it placed."""
        self._relays[relay.connection] = relay
        relay.start()

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """End the request of a caller that left."""
        relay = self._relays.get(connection)
        if relay is not None:
            relay.on_caller_gone()

    def enqueue(self, relay: CallRelay, pending: PendingCall) -> None:
        """Place a request now or when there is room."""
        self._awaiting_placement[relay.call_id] = relay
        dispatcher = self._fleet.dispatcher(relay.service)
        now = self.task.now()
        self._apply_decisions(dispatcher.submit(pending, now))

    def cancel_placement(self, relay: CallRelay) -> None:
        """Stop placing a request."""
        if self._awaiting_placement.pop(relay.call_id, None) is not None:
            self._fleet.dispatcher(relay.service).cancel(relay.call_id)

    def on_capacity_changed(self, service: str) -> None:
        """Place what waits for a service; not inside the caller's stack."""
        self._exchange.mark_load_changed()
        if self._fleet.dispatcher(service).waiting:
            self.task.send(lambda: self._dispatch_service(service))

    def on_ended(self, relay: CallRelay) -> None:
        """Log and count a request's outcome."""
        self._relays.pop(relay.connection, None)
        if relay.record.outcome == "rejected":
            first_at = relay.arrived_at - relay.used_s
            self._exchange.remember_rejection(relay.digest, first_at)
        self.log.ended(relay, self.task.now())

    def on_first_attempt(self, service: str) -> None:
        """Let the service's retry budget grow."""
        self._retry_budget(service).on_first_attempt()

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self._bounds
            reserve = bounds.retry_slack * RETRY_RESERVE_SHARE
            budget = RetryBudget(
                bounds.retry_ratio * RETRY_SHARE, reserve=reserve, max_saved=reserve
            )
            self._retry_budgets[service] = budget
        return budget

    def count(self, name: str, **attributes: str) -> None:
        """Count an event."""
        self._telemetry.count(name, 1, **attributes)

    def on_response_broken(self, relay: CallRelay, upstream: UpstreamView) -> None:
        """Remember which requests broke at an upstream."""
        key = self._fleet.key(upstream)
        self._exchange.crashes.on_break(key, relay.digest, self.task.now())

    def on_connect_failed(self, upstream: UpstreamView) -> None:
        """Blame the requests that broke just before, here and at the peers."""
        now = self.task.now()
        digests = self._exchange.crashes.on_down(self._fleet.key(upstream), now)
        if not digests:
            return
        logger.info(
            "upstream down",
            extra={"upstream": upstream.instance_id, "blamed": len(digests)},
        )
        self._exchange.blame(digests)

    def on_completed(self, relay: CallRelay) -> None:
        """Clear a request that ran to its end."""
        self._exchange.crashes.on_completed(relay.digest)

    def acquire_retry(self, relay: CallRelay) -> str | None:
        """Take a retry from the budget; return why it may not be sent, or None."""
        if self._exchange.crashes.is_blocked(relay.digest, self.task.now()):
            return "crashes-upstreams"
        if not self._retry_budget(relay.service).try_take():
            return "budget-used"
        return None

    def _dispatch_service(self, service: str) -> None:
        self._apply_decisions(self._fleet.dispatcher(service).decide(self.task.now()))

    def _apply_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            relay = self._awaiting_placement.pop(decision.call.call_id, None)
            if relay is None:
                continue
            if isinstance(decision, Assignment):
                self._exchange.mark_load_changed()
                self.log.placed(relay, decision.choice, self.task.now())
                relay.on_placed(decision.choice)
                continue
            relay.on_rejected(decision)
        self._arm_expiry_timer()

    def _arm_expiry_timer(self) -> None:
        dispatchers = [self._fleet.dispatcher(name) for name in self._fleet.services()]
        due = [item.next_due() for item in dispatchers]
        at = min((item for item in due if item is not None), default=None)
        if at is None or (self._expires_at is not None and self._expires_at <= at):
            return
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._expires_at = at
        delay_s = max(0.0, at - self.task.now())
        self._expiry_timer = self.task.call_later(delay_s, self._on_expiry)

    def _on_expiry(self) -> None:
        self._expires_at = None
        self.dispatch_waiting()
        self._arm_expiry_timer()

    def dispatch_waiting(self) -> None:
        """Place or reject what waits, after something changed."""
        for service in self._fleet.services():
            if self._fleet.dispatcher(service).waiting:
                self._dispatch_service(service)
