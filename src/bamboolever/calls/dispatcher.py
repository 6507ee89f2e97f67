"""Queues, places and rejects the requests of one service.

Takes the requests, and the upstreams of the service with their load, health and
served versions. Decides whether to send a request to an upstream now, to keep it in
the queue, or to reject it with a Retry-After time.

Load pattern: demand beyond what the upstreams can serve in time. Time in the queue
counts against a request's latency target, so the queue is short. A request is
rejected at once if no upstream can serve it, later when it can no longer be on time,
and after a fixed limit at the latest. The caller can then retry before its deadline.

An upstream that has named a limit takes no request without a permit. Requests that such
upstreams hold back go elsewhere, wait only if a permit may be due in time, and are
otherwise told when one is. The same holds for cold upstreams and this entry's tokens.
Zones whose evacuation has just begun take only requests that find no room elsewhere.
"""

import copy
import math
import random
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

from bamboolever.calls.eligibility import (
    EligibilityRules,
    IneligibleReason,
    RuleStep,
)
from bamboolever.calls.explanation import (
    Explanation,
    RecordingPolicy,
    add_placement_steps,
    copy_state,
    copy_view,
)
from bamboolever.calls.hedging import MAX_HEDGE_LOAD, HedgeRefusal
from bamboolever.calls.placement import PendingCall, Placement, PlacementPolicy
from bamboolever.calls.regionreserve import (
    NOTHING_RESERVED,
    RegionLoad,
    RegionReserve,
    ReservedRegions,
    measure_regions,
)
from bamboolever.calls.upstream import UpstreamView
from bamboolever.fleet.evacuations import Evacuations
from bamboolever.fleet.versions import VersionRollouts

# Longest time in the queue of a caller's first attempt, of a caller's retry, and of a
# broken stream that is resumed.
MAX_QUEUE_WAIT_S = 0.12
MAX_RETRY_QUEUE_WAIT_S = 0.5
# Callers abandon a stream that pauses for longer than two seconds.
MAX_RESUME_QUEUE_WAIT_S = 1.5
MIN_RETRY_AFTER_S = 1.1
RETRY_AFTER_JITTER_S = 0.8
# A caller retries within the first third of the time until its deadline.
MAX_RETRY_AFTER_SHARE = 0.3
# Engines of other cells are filled only to this share of their slots: their load is
# known with a delay, and other cells may send requests there too.
NEIGHBOR_SLOT_SHARE = 0.75
# Number of engines of other cells, chosen at random, that a request chooses from, so
# that entries with the same summary do not all choose the same engine.
NEIGHBOR_CHOICES = 4
# How many engines of other cells are looked at to find these.
NEIGHBOR_SAMPLE = 12
# Engines of other cells count as needed for this long after a request lacked room.
NEIGHBOR_NEED_S = 2.0
# Callers are told to come back for a permit after this time at most.
MAX_PROMISE_S = 30.0


class RejectReason(Enum):
    """Why a request was not sent to any upstream.

    The value is the body of the response and a label of metrics.
    """

    NO_UPSTREAM = "no-upstream"
    NO_ROOM = "no-room"
    LIMITED = "limited-upstreams"
    COLD = "cold-upstreams"
    EVACUATED = "evacuated"
    TIMED_OUT = "timed-out"
    STOPPING = "stopping"
    NO_MEMORY = "no-memory"
    TOO_MANY_CONNECTIONS = "too many connections"
    STALE_KEYS = "stale-keys"
    NO_CONFIGURATION = "no-configuration"
    POISON = "poison"
    BLOCKED_PART = "blocked-part"
    SUSPECTED_PART = "suspected-part"
    NO_ALLOWED_REGION = "no-allowed-region"


@dataclass(frozen=True)
class Assignment:
    """The decision to send a request to an upstream.

    ``has_used_permit`` is set if the upstream has named a limit, ``has_used_token`` if
    it is cold. ``held_back`` are those that could not take the request because they are
    limited or cold. ``left_regions`` are the regions in which it left the last room to
    requests that are bound to them. ``is_last_resort`` is set if there was no
    room outside of zones that are being evacuated.
    """

    call: PendingCall
    placement: Placement
    has_used_permit: bool = False
    has_used_token: bool = False
    held_back: tuple[str, ...] = ()
    left_regions: tuple[str, ...] = ()
    is_last_resort: bool = False


@dataclass(frozen=True)
class Rejection:
    """The decision to reject a request, which has not run.

    ``retry_after_s`` is how long the caller should wait before it retries.
    ``usable_upstreams`` and ``waiting_calls`` are counts at the time of the decision,
    for the log. ``held_back`` are the upstreams that could not take the request because
    they are limited or cold. ``left_regions`` are the regions in which it left the last
    room to requests that are bound to them. ``excluded`` counts, for a bound request,
    the upstreams that each rule excluded, by the rule's reason.
    """

    call: PendingCall
    reason: RejectReason
    retry_after_s: float
    usable_upstreams: int = 0
    waiting_calls: int = 0
    held_back: tuple[str, ...] = ()
    left_regions: tuple[str, ...] = ()
    excluded: Mapping[str, int] = field(default_factory=dict)


Decision = Assignment | Rejection

# The model and the allowed regions of a request.
_CallKind = tuple[str | None, frozenset[str] | None]


class ServiceDispatcher:
    """Queues and places the requests of one service.

    Resumed streams come first in the queue, then requests by priority and by target
    time. Does no I/O: the calling code carries out the returned decisions. ``now`` and
    all other times are seconds of one monotonic clock.
    """

    def __init__(
        self,
        policy: PlacementPolicy,
        versions: VersionRollouts,
        *,
        evacuations: Evacuations | None = None,
        seed: int = 0,
    ):
        self.policy = policy
        self.region_reserve = RegionReserve()
        self._versions = versions
        self._evacuations = evacuations or Evacuations(None)
        self._make_rules()
        self._upstreams: list[UpstreamView] = []
        self._home: list[UpstreamView] = []
        self._neighbors: list[UpstreamView] = []
        self._neighbors_by_regions: dict[frozenset[str], list[UpstreamView]] = {}
        self._neighbors_needed_until = 0.0
        self._queue: list[PendingCall] = []
        self._lacking_permits: dict[str, UpstreamView] = {}
        self._next_token_at = math.inf
        self._random = random.Random(seed)

    @property
    def upstreams(self) -> list[UpstreamView]:
        """Upstreams of the service, including those that take no requests now."""
        return self._upstreams

    @property
    def queued_calls(self) -> list[PendingCall]:
        """The requests in the queue, in the order in which they are placed."""
        return list(self._queue)

    @property
    def queue_length(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    def uses_neighbors(self, now: float) -> bool:
        """Return whether requests are at engines of other cells, or lacked room."""
        if now < self._neighbors_needed_until:
            return True
        return any(view.calls for view in self._neighbors)

    def set_upstreams(self, upstreams: list[UpstreamView]) -> None:
        """Replace the upstreams of the service; queued requests stay."""
        self._upstreams = upstreams
        self._home = [view for view in upstreams if view.is_home]
        self._neighbors = [view for view in upstreams if not view.is_home]
        self._neighbors_by_regions = {}
        self._rules.set_upstreams(upstreams)
        self._last_resort_rules.set_upstreams(upstreams)

    def _make_rules(self) -> None:
        self._rules = EligibilityRules.from_versions(self._versions, self._evacuations)
        self._last_resort_rules = EligibilityRules.from_versions(
            self._versions, self._evacuations, takes_last_resort=True
        )

    def take_lacking_permits(self) -> list[UpstreamView]:
        """Return the upstreams whose permits were lacking since the last call."""
        lacking = list(self._lacking_permits.values())
        self._lacking_permits = {}
        return lacking

    def submit(self, call: PendingCall, now: float) -> list[Decision]:
        """Add a request to the queue and return the decisions that can be made.

        Decisions may concern other queued requests too. A request that no upstream
        can serve is rejected at once, unless it is a resumed stream or a caller's
        retry.
        """
        self.region_reserve.on_arrival(call, now)
        if call.allowed_regions == frozenset():
            return [self._reject(call, [], now)]
        if not self._can_wait(call) and not self._has_eligible(call, now):
            held_back = self._find_held_back(call, now)
            if not self._may_get_permit(call, held_back, now):
                self._want_permits(held_back, now, is_waiting=False)
                return [self._reject(call, held_back, now)]
        self._queue.append(call)
        self._queue.sort(key=_queue_order)
        return self.place_waiting(now)

    def explain(self, call: PendingCall, now: float) -> Explanation:
        """Return what `submit` would decide on a request, without any effect.

        A copy of this dispatcher decides. ``call.call_id`` must be that of no other
        request.
        """
        trial = self._copy()
        # Ends those whose removal is due, so that all upstreams get the same rules.
        trial._evacuations.is_any(now)
        home = frozenset(view.instance_id for view in trial._home)
        is_last_resort = trial._evacuations.has_last_resort(now)
        steps: list[tuple[RuleStep, ...]] = []

        def note_steps() -> None:
            steps.append(trial._find_steps(trial._rules, call, now))
            if is_last_resort:
                steps.append(trial._find_steps(trial._last_resort_rules, call, now))

        # Records the steps at the policy's first choice for this request, since those
        # that wait before it are placed first.
        policy = RecordingPolicy(trial.policy, call.call_id, note_steps)
        trial.policy = policy
        decisions = [
            each
            for each in trial.submit(call, now)
            if each.call.call_id == call.call_id
        ]
        decision = decisions[0] if decisions else None
        if not policy.looks:
            # It was rejected before any request was placed.
            note_steps()
        if isinstance(decision, Assignment):
            is_last_resort = decision.is_last_resort
        best = next((look.best for look in reversed(policy.looks) if look.best), ())
        waiting = [each.call_id for each in trial._queue]
        is_queued = decision is None
        return Explanation(
            add_placement_steps(steps[is_last_resort], policy.looks, home),
            decision,
            best,
            waits_s=max(0.0, trial._expires_at(call) - now) if is_queued else 0.0,
            queued_before=waiting.index(call.call_id) if is_queued else 0,
        )

    def _copy(self) -> "ServiceDispatcher":
        """Return a copy on which requests can be placed without effect on this one."""
        trial = copy.copy(self)
        trial.policy = self.policy.snapshot()
        trial.region_reserve = self.region_reserve.snapshot()
        trial._evacuations = copy_state(self._evacuations)
        trial._make_rules()
        trial.set_upstreams([copy_view(view) for view in self._upstreams])
        trial._queue = list(self._queue)
        trial._lacking_permits = {}
        trial._random = copy.copy(self._random)
        return trial

    def _find_steps(
        self, rules: EligibilityRules, call: PendingCall, now: float
    ) -> tuple[RuleStep, ...]:
        # A rule may be waived for the engines of one's own cell or for the others.
        home = rules.find_steps(call, self._home, now)
        if not self._neighbors:
            return home
        others = rules.find_steps(call, self._neighbors, now)
        return tuple(
            RuleStep(
                own.reason,
                own.excluded + other.excluded,
                own.left + other.left,
                own.is_waived or other.is_waived,
            )
            for own, other in zip(home, others, strict=True)
        )

    def choose_hedge(self, call: PendingCall, now: float) -> Placement | HedgeRefusal:
        """Return where to send a second attempt of a request, or why to send none.

        ``call.tried`` has the upstream of the first attempt. Another zone than its is
        used if an upstream there has room. The request is never queued, and is counted
        at the upstream only by `assign_chosen`.
        """
        if self._queue:
            return HedgeRefusal.WAITING
        eligible = [
            view
            for view in self._eligible(call, self._home, now)
            if not view.is_ejected(now)
        ]
        if not eligible:
            return HedgeRefusal.NO_UPSTREAM
        slots = sum(view.record.slots for view in eligible)
        if sum(view.active_at(now) for view in eligible) > MAX_HEDGE_LOAD * slots:
            return HedgeRefusal.NO_ROOM
        free = [
            view
            for view in eligible
            if view.active_at(now) < MAX_HEDGE_LOAD * view.record.slots
        ]
        slow_zones = {
            view.record.availability_zone
            for view in self._upstreams
            if view.instance_id in call.tried
        }
        elsewhere = [
            view for view in free if view.record.availability_zone not in slow_zones
        ]
        placement = self.policy.choose(call, elsewhere or free, now)
        return HedgeRefusal.NO_ROOM if placement is None else placement

    def choose_replacement(self, call: PendingCall, now: float) -> Placement | None:
        """Return where a stream could go on at once whose upstream is silent, or None.

        ``call.tried`` has the silent upstream. The stream is never queued, and is
        counted at the upstream only by `assign_chosen`. Streams that wait to be resumed
        go first.
        """
        if any(each.is_resumed for each in self._queue):
            return None
        home = self._eligible(call, self._home, now)
        reserved = self._find_reserved(call, home, {}, now)
        placement, _left = self._choose(call, home, reserved, self._rules, now)
        if placement is None or placement.upstream.instance_id in call.tried:
            return None
        return placement

    def assign_chosen(
        self, call: PendingCall, placement: Placement, now: float
    ) -> Assignment:
        """Count a request where `choose_hedge` or `choose_replacement` placed it."""
        return self._assign(call, placement, [], frozenset(), now)

    def cancel(self, call_id: int) -> None:
        """Remove a request from the queue after its caller disconnected."""
        self._queue = [call for call in self._queue if call.call_id != call_id]

    def place_waiting(self, now: float) -> list[Decision]:
        """Place queued requests where there is room and reject expired ones.

        Each assigned request is counted at its upstream at once, so that the next one
        in the queue is placed by the new load.
        """
        decisions: list[Decision] = []
        still_queued: list[PendingCall] = []
        home: dict[_CallKind, Sequence[UpstreamView]] = {}
        loads: dict[_CallKind, dict[str | None, RegionLoad]] = {}
        has_limits = self._has_limits(now)
        self._next_token_at = math.inf
        for call in self._queue:
            candidates = self._home_for(call, home, now)
            reserved = self._find_reserved(call, candidates, loads, now)
            placement, left = self._choose(call, candidates, reserved, self._rules, now)
            is_last_resort = placement is None and self._evacuations.has_last_resort(
                now
            )
            if is_last_resort:
                placement, left = self._choose_last_resort(call, reserved, now)
            held_back = self._find_held_back(call, now) if has_limits else []
            if placement is not None:
                decision = self._assign(call, placement, held_back, left, now)
                decision = replace(decision, is_last_resort=is_last_resort)
                decisions.append(decision)
                for known in loads.values():
                    _take_slot(known, placement.upstream)
                if decision.has_used_permit or decision.has_used_token:
                    # It may have been the last one.
                    home.clear()
            elif (
                now >= self._expires_at(call)
                or call.allowed_regions == frozenset()
                or self._is_hopeless(call, held_back, now)
                or self._is_all_evacuated(call, now)
            ):
                decisions.append(self._reject(call, held_back, now, left))
            else:
                still_queued.append(call)
            is_waiting = still_queued[-1:] == [call]
            self._want_permits(held_back, now, is_waiting=is_waiting)
            if is_waiting:
                self._note_tokens(held_back, now)
        self._queue = still_queued
        return decisions

    def next_expiry_at(self) -> float | None:
        """Return when the next queued request expires; None with an empty queue.

        Earlier if a token is due before that for which a request waits.
        """
        if not self._queue:
            return None
        expires_at = min(self._expires_at(call) for call in self._queue)
        return min(expires_at, self._next_token_at)

    def _assign(
        self,
        call: PendingCall,
        placement: Placement,
        held_back: list[UpstreamView],
        left_regions: frozenset[str],
        now: float,
    ) -> Assignment:
        upstream = placement.upstream
        has_used_permit = upstream.limit.take_permit(now)
        upstream.claims.on_placed(now)
        has_used_token = upstream.cold.take_token(now)
        upstream.add_call(call.call_id, call.prompt_tokens)
        return Assignment(
            call,
            placement,
            has_used_permit,
            has_used_token,
            _ids_of(held_back),
            tuple(sorted(left_regions)),
        )

    def _can_wait(self, call: PendingCall) -> bool:
        # A caller retries only once, and an engine may load the model meanwhile.
        return call.is_resumed or (call.is_caller_retry and bool(self._upstreams))

    def _home_for(
        self,
        call: PendingCall,
        known: dict[_CallKind, Sequence[UpstreamView]],
        now: float,
    ) -> Sequence[UpstreamView]:
        if call.tried:
            return self._eligible(call, self._home, now)
        # Without earlier attempts the answer is the same for all calls of a model that
        # are bound to the same regions.
        kind = (call.model, call.allowed_regions)
        if kind not in known:
            known[kind] = self._eligible(call, self._home, now)
        return known[kind]

    def _find_reserved(
        self,
        call: PendingCall,
        home: Sequence[UpstreamView],
        known: dict[_CallKind, dict[str | None, RegionLoad]],
        now: float,
    ) -> ReservedRegions:
        """Return the regions in which the request leaves room to bound ones."""
        slot_time_s = self.policy.slot_time_s()
        if slot_time_s is None or not self.region_reserve.concerns(call, now):
            return NOTHING_RESERVED
        kind = (call.model, call.allowed_regions)
        if kind not in known:
            neighbors = self._eligible(call, self._neighbors_for(call), now)
            known[kind] = measure_regions((*home, *neighbors))
        return self.region_reserve.find_reserved(call, known[kind], slot_time_s, now)

    def _choose(
        self,
        call: PendingCall,
        home: Sequence[UpstreamView],
        reserved: ReservedRegions,
        rules: EligibilityRules,
        now: float,
    ) -> tuple[Placement | None, frozenset[str]]:
        """Return the placement, and the regions in which it leaves room to others."""
        placement = self._choose_outside(call, home, reserved.preferred, rules, now)
        if placement is not None or reserved.required == reserved.preferred:
            return placement, reserved.preferred
        # No other region has room: only the required reserve still applies.
        placement = self._choose_outside(call, home, reserved.required, rules, now)
        return placement, reserved.required

    def _choose_outside(
        self,
        call: PendingCall,
        home: Sequence[UpstreamView],
        left_regions: frozenset[str],
        rules: EligibilityRules,
        now: float,
    ) -> Placement | None:
        if left_regions:
            home = [view for view in home if view.region not in left_regions]
        placement = self.policy.choose(call, home, now)
        if placement is not None or not self._neighbors:
            return placement
        self._neighbors_needed_until = now + NEIGHBOR_NEED_S
        sample = self._neighbors_for(call)
        if left_regions:
            sample = [view for view in sample if view.region not in left_regions]
        if len(sample) > NEIGHBOR_SAMPLE:
            sample = self._random.sample(sample, NEIGHBOR_SAMPLE)
        free = [
            view
            for view in rules.find_eligible(call, sample, now)
            if view.active < NEIGHBOR_SLOT_SHARE * view.record.slots
        ]
        return self.policy.choose(call, free[:NEIGHBOR_CHOICES], now)

    def _neighbors_for(self, call: PendingCall) -> list[UpstreamView]:
        """Return the engines of other cells in the regions that the request allows.

        The sample is drawn from these, so that a request bound to few regions finds
        their engines however many others there are.
        """
        regions = call.allowed_regions
        if regions is None:
            return self._neighbors
        if regions not in self._neighbors_by_regions:
            self._neighbors_by_regions[regions] = [
                view for view in self._neighbors if view.region in regions
            ]
        return self._neighbors_by_regions[regions]

    def _choose_last_resort(
        self, call: PendingCall, reserved: ReservedRegions, now: float
    ) -> tuple[Placement | None, frozenset[str]]:
        """Choose also among the zones whose evacuation has just begun."""
        rules = self._last_resort_rules
        home = rules.find_eligible(call, self._home, now)
        return self._choose(call, home, reserved, rules, now)

    def _is_all_evacuated(self, call: PendingCall, now: float) -> bool:
        """Return whether all upstreams that the request was not sent to are evacuated.

        Zones that may be used as a last resort do not count as evacuated.
        """
        if not self._evacuations.is_any(now) or self._has_eligible(call, now):
            return False
        reasons = self._last_resort_rules.explain(call, self._upstreams, now)
        others = set(reasons.values()) - {IneligibleReason.TRIED}
        return others == {IneligibleReason.EVACUATED}

    def _find_held_back(self, call: PendingCall, now: float) -> list[UpstreamView]:
        """Return the upstreams that could serve the request but for a limit or cold.

        Those of other cells are left out: this cell has no permits or tokens for them.
        """
        return self._rules.find_held_back(call, self._home, now)

    def _has_limits(self, now: float) -> bool:
        return any(
            view.limit.is_limited(now) or view.cold.is_cold(now) for view in self._home
        )

    def _note_tokens(self, held_back: list[UpstreamView], now: float) -> None:
        due_at = (
            view.cold.next_token_at(now)
            for view in held_back
            if not view.cold.may_send(now)
        )
        self._next_token_at = min(self._next_token_at, *due_at, math.inf)

    def _want_permits(
        self, held_back: list[UpstreamView], now: float, *, is_waiting: bool
    ) -> None:
        for view in held_back:
            if view.limit.may_send(now):
                continue
            # A request that waits is looked at again and again, but wants one permit.
            if not is_waiting or not view.limit.wanted:
                view.limit.want_permit()
            self._lacking_permits[view.instance_id] = view

    def _may_get_permit(
        self, call: PendingCall, held_back: list[UpstreamView], now: float
    ) -> bool:
        expires_at = self._expires_at(call)
        return any(_may_take_by(view, expires_at, now) for view in held_back)

    def _is_hopeless(
        self, call: PendingCall, held_back: list[UpstreamView], now: float
    ) -> bool:
        """Return whether a request waits for permits and tokens that come too late."""
        if not held_back or self._can_wait(call) or self._has_eligible(call, now):
            return False
        return not self._may_get_permit(call, held_back, now)

    def _has_eligible(self, call: PendingCall, now: float) -> bool:
        if self._eligible(call, self._home, now):
            return True
        if self._eligible(call, self._neighbors, now):
            return True
        return self._evacuations.has_last_resort(now) and bool(
            self._last_resort_rules.find_eligible(call, self._upstreams, now)
        )

    def _reject_reason(
        self, call: PendingCall, held_back: list[UpstreamView], now: float
    ) -> RejectReason:
        if call.allowed_regions == frozenset():
            return RejectReason.NO_ALLOWED_REGION
        if self._has_eligible(call, now):
            return RejectReason.NO_ROOM
        if not held_back:
            return self._unusable_reason(call, now)
        is_limited = any(not view.limit.may_send(now) for view in held_back)
        return RejectReason.LIMITED if is_limited else RejectReason.COLD

    def _unusable_reason(self, call: PendingCall, now: float) -> RejectReason:
        if self._evacuations.is_any(now):
            reasons = self._rules.explain(call, self._upstreams, now)
            if IneligibleReason.EVACUATED in reasons.values():
                return RejectReason.EVACUATED
        return RejectReason.NO_UPSTREAM

    def _expires_at(self, call: PendingCall) -> float:
        latest_start = call.target_at - self.policy.min_first_byte_s(call)
        if call.is_resumed:
            return min(call.arrived_at + MAX_RESUME_QUEUE_WAIT_S, call.timeout_at)
        if call.is_caller_retry:
            # Its first attempt used up the latency target. Only a second rejection
            # can still be avoided.
            return min(call.arrived_at + MAX_RETRY_QUEUE_WAIT_S, call.timeout_at)
        return min(call.arrived_at + MAX_QUEUE_WAIT_S, latest_start, call.timeout_at)

    def _eligible(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> Sequence[UpstreamView]:
        return self._rules.find_eligible(call, upstreams, now)

    def _reject(
        self,
        call: PendingCall,
        held_back: list[UpstreamView],
        now: float,
        left_regions: frozenset[str] = frozenset(),
    ) -> Rejection:
        reason = self._reject_reason(call, held_back, now)
        delay_s = MIN_RETRY_AFTER_S + RETRY_AFTER_JITTER_S * self._random.random()
        remaining_s = max(0.0, call.timeout_at - now)
        delay_s = min(delay_s, remaining_s * MAX_RETRY_AFTER_SHARE)
        if reason in (RejectReason.LIMITED, RejectReason.COLD):
            delay_s = max(delay_s, _promise_turn(held_back, now))
        return Rejection(
            call,
            reason,
            delay_s,
            usable_upstreams=len(self._eligible(call, self._upstreams, now)),
            waiting_calls=len(self._queue),
            held_back=_ids_of(held_back),
            left_regions=tuple(sorted(left_regions)),
            excluded=self._count_excluded(call, now),
        )

    def _count_excluded(self, call: PendingCall, now: float) -> Mapping[str, int]:
        # Counted for bound requests only, as it looks at all upstreams once more.
        if call.allowed_regions is None:
            return {}
        reasons = self._rules.explain(call, self._upstreams, now)
        return Counter(reason.value for reason in reasons.values())


def _may_take_by(view: UpstreamView, time: float, now: float) -> bool:
    """Return whether a held-back upstream may take a request until ``time``."""
    limit = view.limit
    if not limit.may_send(now) and not limit.may_be_due_by(time, now):
        return False
    return view.cold.next_token_at(now) <= time


def _promise_turn(held_back: list[UpstreamView], now: float) -> float:
    """Return the seconds until an upstream takes a request that no other was promised.

    Promises its permit and its token.
    """
    view = min(held_back, key=lambda each: _next_turn_at(each, now))
    turn_at = _next_turn_at(view, now)
    if not view.limit.may_send(now):
        view.limit.promise_permit(now)
    if not view.cold.may_send(now):
        view.cold.promise_token(now)
    return min(MAX_PROMISE_S, turn_at - now)


def _next_turn_at(view: UpstreamView, now: float) -> float:
    turn_at = now
    if not view.limit.may_send(now):
        turn_at = view.limit.next_permit_at(now)
    if not view.cold.may_send(now):
        turn_at = max(turn_at, view.cold.next_promise_at(now))
    return turn_at


def _take_slot(loads: dict[str | None, RegionLoad], view: UpstreamView) -> None:
    load = loads.get(view.region)
    if load is not None:
        load.free = max(0, load.free - 1)


def _ids_of(views: list[UpstreamView]) -> tuple[str, ...]:
    return tuple(view.instance_id for view in views)


def _queue_order(call: PendingCall) -> tuple[bool, int, float]:
    return (not call.is_resumed, call.priority, call.target_at)
