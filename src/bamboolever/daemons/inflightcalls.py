"""Tracks the calls in flight at an entry and applies the dispatchers' decisions.

A call is one caller's request, from its admission to its final outcome; a relay
carries it out. The service's dispatcher places it on an upstream, queues it or rejects
it. This module decides whether a failed call may be retried: not if it is blocked for
crashing upstreams or a part of its prompt is suspected of that, and not if the
service's retry budget is used up.

Load pattern: upstreams that fail many requests at once. Each retry adds load to the
upstreams that are left, so retries are limited to a share of the first attempts. All
entries together must keep to the contract's budget, so each spends the share of its own
first attempts, and the slack is divided by the number of entries.
"""

import itertools
import logging
from dataclasses import replace
from typing import final

from bamboolever._retry import RetryBudget
from bamboolever._task import IoTask, Timer
from bamboolever._telemetry import Telemetry
from bamboolever.calls.dispatcher import (
    Assignment,
    Decision,
    Rejection,
    RejectReason,
)
from bamboolever.calls.eligibility import IneligibleReason
from bamboolever.calls.parts import FREE, SUSPECTED_PART_RETRY_S
from bamboolever.calls.placement import PendingCall, Placement
from bamboolever.calls.regions import RegionInquiry, RegionLookup
from bamboolever.calls.upstream import UpstreamView
from bamboolever.config.model import Configuration
from bamboolever.config.routes import RouteTable
from bamboolever.daemons.calllog import CallLog
from bamboolever.daemons.entryexchange import EntryExchange
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.daemons.hedges import Hedges
from bamboolever.daemons.relay import CallRelay
from bamboolever.daemons.relaycontext import RelayContext
from bamboolever.daemons.settings import InstanceSettings
from bamboolever.net.buffers import BufferBudget
from bamboolever.net.client import ConnectionPool
from bamboolever.net.serverconnection import ServerConnection

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.4
MAX_UPSTREAM_IDLE_S = 3.0
# Changes of the fleet within this time cause one dispatch of the waiting calls.
DISPATCH_DELAY_S = 0.015
# The part of a service's retry ratio that the entries spend.
ENTRY_RETRY_SHARE = 0.6
# The part of a service's retry slack that one entry saves at most, however few others
# it knows.
MAX_ENTRY_RESERVE_SHARE = 0.1
# Further unknown headers are neither logged nor counted.
MAX_UNKNOWN_HEADERS = 32


@final
class InFlightCalls(RelayContext):
    """The relays of an entry, by connection.

    They share the connection pool to upstreams, the call log and the retry budgets.
    Methods are called on the task's thread.
    """

    def __init__(
        self,
        task: IoTask,
        telemetry: Telemetry,
        fleet: EntryFleet,
        exchange: EntryExchange,
        settings: InstanceSettings,
    ):
        self.task = task
        self.log = CallLog(telemetry)
        self.pool = ConnectionPool(
            task, connect_timeout_s=CONNECT_TIMEOUT_S, max_idle_s=MAX_UPSTREAM_IDLE_S
        )
        self.buffers = BufferBudget.from_memory(settings.memory_bytes)
        self._telemetry = telemetry
        self._fleet = fleet
        self._exchange = exchange
        self._bounds = settings.bounds
        self._call_ids = itertools.count(1)
        self._relays: dict[ServerConnection, CallRelay] = {}
        self._awaiting_placement: dict[int, CallRelay] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}
        self.hedges = Hedges(settings.hedge_share, task, telemetry, fleet, self)
        self._expiry_timer: Timer | None = None
        self._next_expiry_at: float | None = None
        self._is_dispatch_scheduled = False
        self._unknown_headers: set[str] = set()
        self._regions = RegionLookup()

    @property
    def in_flight(self) -> int:
        """Number of calls without a final outcome."""
        return len(self._relays)

    def new_call_id(self) -> int:
        """Return a call id that is unique within this process."""
        return next(self._call_ids)

    def start(self, relay: CallRelay) -> None:
        """Track a new relay until it ends, and start it."""
        self._relays[relay.caller_connection] = relay
        relay.start()

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Cancel the call on a connection that its caller closed, if there is one."""
        relay = self._relays.get(connection)
        if relay is not None:
            relay.on_caller_gone()

    def log_cut_by_stop(self) -> None:
        """Log each call that the end of the process leaves without an outcome."""
        for relay in self._relays.values():
            self.log.cut_by_stop(relay, self.task.now())

    def enqueue(self, relay: CallRelay, pending: PendingCall) -> None:
        """Submit a call to its dispatcher, which places, queues or rejects it."""
        self._awaiting_placement[relay.call_id] = relay
        pending.allowed_regions = self.find_regions(relay)
        dispatcher = self._fleet.dispatcher(relay.service)
        now = self.task.now()
        self._fleet.note_awake(now)
        self._apply_decisions(dispatcher.submit(pending, now))
        self._exchange.limits.ask(dispatcher.take_lacking_permits())

    def find_regions(self, relay: CallRelay) -> frozenset[str] | None:
        """Return the regions that the configuration in force allows a call, or None."""
        metadata = relay.metadata
        inquiry = RegionInquiry(
            metadata.host,
            metadata.target,
            metadata.api_key,
            relay.route,
            relay.workspace,
        )
        return self._regions.find(inquiry)

    def apply_configuration(
        self, configuration: Configuration, route_table: RouteTable
    ) -> None:
        """Bind the calls that wait to the regions that the configuration allows.

        Calls that are at an upstream follow it from their next attempt.
        """
        self._regions.apply_configuration(configuration, route_table)
        for service in self._fleet.services():
            for pending in self._fleet.dispatcher(service).queued_calls:
                relay = self._awaiting_placement.get(pending.call_id)
                if relay is not None:
                    pending.allowed_regions = self.find_regions(relay)
        if self._fleet.has_waiting_calls:
            self.on_fleet_changed()

    def cancel_placement(self, relay: CallRelay) -> None:
        """Remove a call from its dispatcher's queue, if it is waiting there."""
        if self._awaiting_placement.pop(relay.call_id, None) is not None:
            self._fleet.dispatcher(relay.service).cancel(relay.call_id)

    def on_capacity_changed(self, service: str) -> None:
        """Dispatch the waiting calls of a service after the current callback returns.

        Called when a call of the service leaves an upstream, or the list of upstreams
        changes. The delay keeps a relay that ends from re-entering the dispatcher.
        """
        self._exchange.schedule_load_update()
        if self._fleet.dispatcher(service).queue_length:
            self.task.send(lambda: self._dispatch_service(service))

    def on_ended(self, relay: CallRelay) -> None:
        """Stop tracking a call that has its final outcome, and log it.

        A rejection is sent to the peers, as the caller may retry at any entry.
        """
        self._relays.pop(relay.caller_connection, None)
        self._exchange.crashes.end_trial(relay.prompt)
        if relay.record.outcome == "rejected":
            first_at = relay.arrived_at - relay.first_attempt_age_s
            self._exchange.record_rejection(relay.digest, first_at)
        self.log.ended(relay, self.task.now())

    def on_first_attempt(self, service: str) -> None:
        """Credit the service's retry budget for the first attempt of a call."""
        self._retry_budget(service).on_first_attempt()

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            reserve = self._find_reserve()
            budget = self._retry_budgets[service] = RetryBudget(
                self._bounds.retry_ratio * ENTRY_RETRY_SHARE,
                reserve=reserve,
                max_saved=reserve,
            )
        return budget

    def _find_reserve(self) -> float:
        share = min(MAX_ENTRY_RESERVE_SHARE, 1 / self._fleet.entry_count)
        return self._bounds.retry_slack * share

    def begin_by(self, relay: CallRelay) -> float | None:
        """Return by when the relay's attempt must have begun; None without a limit."""
        view, model = relay.upstream, relay.metadata.model
        if view is None or model is None:
            return None
        now, rollouts = self.task.now(), self._fleet.version_rollouts
        version = view.served_version(model, now)
        if version is None:
            return None
        if version < rollouts.min_version(model, now):
            return now
        expires_at = rollouts.expires_at(model, version)
        return None if expires_at is None else expires_at - view.withdrawal_lead_s

    def on_version_added(self) -> None:
        """Withdraw attempts that have not begun before an older version's end."""
        for relay in list(self._relays.values()):
            relay.on_version_added()

    def count(self, name: str, **attributes: str) -> None:
        """Add 1 to the counter ``name`` with these attributes."""
        self._telemetry.count(name, 1, **attributes)

    def on_broken_response(
        self, relay: CallRelay, upstream: UpstreamView, sent_at: float
    ) -> None:
        """Record that ``upstream`` broke off a response; the call may be the cause.

        A part of its prompt may be, too. If the response was well begun, that voids it.
        """
        crashes = self._exchange.crashes
        crashes.part_log.learn_upstream(upstream.key, upstream.instance_id)
        crashes.on_broken_response(upstream.key, relay.digest, sent_at, relay.prompt)

    def on_connection_refused(self, upstream: UpstreamView) -> None:
        """Count a crash against the calls whose responses ``upstream`` broke off.

        One that had announced its end was not crashed.
        """
        crashes = self._exchange.crashes
        if upstream.is_ending:
            crashes.on_upstream_left(upstream.key)
            return
        crashes.on_connection_refused(upstream.key)

    def on_upstreams_ended(self, upstreams: list[UpstreamView]) -> None:
        """Count the crashes of upstreams that are listed no more.

        One that had announced its end was not crashed.
        """
        crashes = self._exchange.crashes
        for upstream in upstreams:
            if upstream.is_ending:
                crashes.on_upstream_left(upstream.key)
            else:
                crashes.on_upstream_ended(upstream.key, "list")

    def on_upstream_closed(
        self, upstream: UpstreamView, reason: str, delay_s: float | None
    ) -> None:
        """Log that an upstream wants no more requests, and tell the other entries."""
        self._telemetry.count("upstream.closed", 1, reason=reason)
        logger.info(
            "upstream closed",
            extra={
                "upstream": upstream.instance_id,
                "reason": reason,
                "seconds": delay_s,
            },
        )
        self._exchange.schedule_load_update()

    def on_limit_stated(
        self, upstream: UpstreamView, per_s: float | None, sent_at: float
    ) -> None:
        """Take what a response says of its upstream's limit."""
        self._exchange.limits.on_response(upstream, per_s, sent_at)

    def on_malformed_limit(self, upstream: UpstreamView, error: Exception) -> None:
        """Count a limit that cannot be read, and log the first of each upstream."""
        self._exchange.limits.on_malformed(upstream, error)

    def on_unknown_header(self, upstream: UpstreamView, name: str, value: str) -> None:
        """Count a header that this version does not know, and log its first value."""
        if name not in self._unknown_headers:
            if len(self._unknown_headers) >= MAX_UNKNOWN_HEADERS:
                return
            self._unknown_headers.add(name)
            logger.warning(
                "unknown header",
                extra={
                    "upstream": upstream.instance_id,
                    "header": name,
                    "value": value,
                },
            )
        self._telemetry.count("upstream.unknown_header", header=name)

    def on_completed(
        self, relay: CallRelay, upstream: UpstreamView, sent_at: float
    ) -> None:
        """Void the crashes counted against a call that an upstream completed."""
        crashes = self._exchange.crashes
        crashes.on_completed(relay.digest, upstream.key, sent_at, relay.prompt)

    def on_well_begun(self, relay: CallRelay) -> None:
        """Void the crashes counted against the parts of a call's prompt."""
        self._exchange.crashes.clear_parts(relay.prompt.digests)

    def on_unproven_end(
        self, relay: CallRelay, upstream: UpstreamView, sent_at: float
    ) -> None:
        """Record that ``upstream`` responded, and may have crashed at the end."""
        self._exchange.crashes.on_response(upstream.key, sent_at)
        self.on_broken_response(relay, upstream, sent_at)

    def acquire_replacement(
        self, relay: CallRelay, pending: PendingCall
    ) -> Placement | None:
        """Return where a call goes on whose attempt is silent; None if nowhere now."""
        pending.allowed_regions = self.find_regions(relay)
        dispatcher = self._fleet.dispatcher(relay.service)
        now = self.task.now()
        placement = dispatcher.choose_replacement(pending, now)
        if placement is None:
            return None
        if self.acquire_retry(relay, is_under_way=True) is not None:
            return None
        assignment = dispatcher.assign_chosen(pending, placement, now)
        self._note_limits(relay, assignment)
        self._exchange.schedule_load_update()
        self.log.placed(relay, placement, now)
        return placement

    def acquire_retry(
        self, relay: CallRelay, *, is_under_way: bool = False
    ) -> str | None:
        """Take one retry of a call from its service's budget.

        Returns None if the call may be sent again, else the reason why not. With
        ``is_under_way``, an attempt has not ended and counts as one that may have run.
        """
        crashes = self._exchange.crashes
        now = self.task.now()
        is_blocked = crashes.tracker.is_blocked(relay.digest, now)
        if relay.may_have_run or is_under_way:
            is_blocked = not crashes.tracker.may_retry(relay.digest, now)
        if is_blocked:
            return "crashes-upstreams"
        if relay.prompt.tried:
            return "trial"
        if crashes.parts.decide(relay.prompt.digests, now) != FREE:
            return "suspected-part"
        budget = self._retry_budget(relay.service)
        budget.set_max_saved(self._find_reserve())
        if not budget.try_take():
            return "budget-used"
        return None

    def _dispatch_service(self, service: str) -> None:
        dispatcher = self._fleet.dispatcher(service)
        now = self.task.now()
        self._fleet.note_awake(now)
        self._apply_decisions(dispatcher.place_waiting(now))
        self._exchange.limits.ask(dispatcher.take_lacking_permits())

    def _apply_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            relay = self._awaiting_placement.pop(decision.call.call_id, None)
            if relay is None:
                continue
            self._note_limits(relay, decision)
            self._note_regions(relay, decision)
            if isinstance(decision, Assignment):
                reason = self._find_part_rejection(relay)
                if reason is not None:
                    self._reject_placed(relay, decision, reason)
                    continue
                self._exchange.schedule_load_update()
                self.log.placed(relay, decision.placement, self.task.now())
                relay.on_placed(decision.placement)
                continue
            relay.on_rejected(decision)
        self._arm_expiry_timer()

    def _note_limits(self, relay: CallRelay, decision: Decision) -> None:
        relay.record.held_back = decision.held_back
        if decision.held_back:
            self._telemetry.count("limit.held_back", service=relay.service)
        if isinstance(decision, Assignment) and decision.has_used_permit:
            self._telemetry.count("permit.used", service=relay.service)
        if isinstance(decision, Assignment) and decision.has_used_token:
            self._telemetry.count("cold.token_used", service=relay.service)
        if isinstance(decision, Assignment) and decision.is_last_resort:
            self._telemetry.count("evacuation.last_resort", service=relay.service)

    def _note_regions(self, relay: CallRelay, decision: Decision) -> None:
        record, service = relay.record, relay.service
        record.regions = tuple(sorted(decision.call.allowed_regions or ()))
        record.left_regions = decision.left_regions
        if decision.left_regions:
            self._telemetry.count("region.left_room", service=service)
        if isinstance(decision, Rejection):
            record.excluded = decision.excluded
            if IneligibleReason.REGION.value in decision.excluded:
                self._telemetry.count("region.rejected", service=service)

    def _find_part_rejection(self, relay: CallRelay) -> RejectReason | None:
        """Return why a call must not be sent now, else make it a trial if it is one."""
        crashes = self._exchange.crashes
        decision = crashes.decide(relay.prompt)
        if decision.reject_reason is None:
            relay.prompt = replace(relay.prompt, tried=decision.parts)
            crashes.begin_trial(relay.prompt)
        return decision.reject_reason

    def _reject_placed(
        self, relay: CallRelay, assignment: Assignment, reason: RejectReason
    ) -> None:
        assignment.placement.upstream.remove_call(relay.call_id)
        relay.on_rejected(Rejection(assignment.call, reason, SUSPECTED_PART_RETRY_S))

    def _arm_expiry_timer(self) -> None:
        dispatchers = [self._fleet.dispatcher(name) for name in self._fleet.services()]
        expiry_times = [each.next_expiry_at() for each in dispatchers]
        earliest_at = min(
            (expiry for expiry in expiry_times if expiry is not None), default=None
        )
        if earliest_at is None or (
            self._next_expiry_at is not None and self._next_expiry_at <= earliest_at
        ):
            return
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._next_expiry_at = earliest_at
        delay_s = max(0.0, earliest_at - self.task.now())
        self._expiry_timer = self.task.call_later(delay_s, self._on_expiry)

    def _on_expiry(self) -> None:
        self._next_expiry_at = None
        self.dispatch_waiting()
        self._arm_expiry_timer()

    def on_fleet_changed(self) -> None:
        """Dispatch the waiting calls of all services soon.

        Called for each datagram. Many arrive while calls wait, and one dispatch serves
        those of `DISPATCH_DELAY_S`.
        """
        if self._is_dispatch_scheduled:
            return
        self._is_dispatch_scheduled = True
        self.task.call_later(DISPATCH_DELAY_S, self._on_dispatch_due)

    def _on_dispatch_due(self) -> None:
        self._is_dispatch_scheduled = False
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Dispatch the waiting calls of all services now."""
        for service in self._fleet.services():
            if self._fleet.dispatcher(service).queue_length:
                self._dispatch_service(service)
