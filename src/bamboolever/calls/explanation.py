"""Answers where a request would go now, by the dispatcher's own decision on a copy.

Takes a copy of a dispatcher's state. Records what each rule leaves of the upstreams,
and what the placement policy chooses from, while the copy decides on the request.

Load pattern: requests that are rejected or sent far away under load, of which an
operator wants to know why. The code that decides on real requests answers, so that the
two agree. It runs on a copy, so that asking costs no permit, token or slot.
"""

import copy
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar, final

from bamboolever.calls.eligibility import RuleStep
from bamboolever.calls.placement import PendingCall, Placement, PlacementPolicy
from bamboolever.calls.upstream import UpstreamView

if TYPE_CHECKING:
    from bamboolever.calls.dispatcher import Decision

# How many upstreams an answer names with their predictions.
BEST_COUNT = 3
# Labels of the steps after the rules: upstreams in regions whose last room is left to
# bound requests, and those without a slot in time.
RESERVED_STEP = "reserved"
ROOM_STEP = "room"

_State = TypeVar("_State")


@dataclass(frozen=True)
class Explanation:
    """Where a request would go now.

    ``steps`` are the rules in their order, then what excluded the others. ``decision``
    is None if the request would be queued. ``best`` are the first choices, the chosen
    one first. A queued request would be rejected after ``waits_s`` seconds at the
    latest, with ``queued_before`` requests of the service before it.
    """

    steps: tuple[RuleStep, ...]
    decision: "Decision | None"
    best: tuple[Placement, ...] = ()
    waits_s: float = 0.0
    queued_before: int = 0


@dataclass(frozen=True)
class Look:
    """One choice of the policy.

    ``candidates`` are the instance ids that it chose from, and ``roomy`` those that it
    would choose if they were the only candidates.
    """

    candidates: frozenset[str]
    roomy: frozenset[str]
    best: tuple[Placement, ...]


@final
class RecordingPolicy(PlacementPolicy):
    """Chooses as another policy, and records the choices for one request.

    ``on_first_look`` is called before the first recorded choice.
    """

    def __init__(
        self,
        policy: PlacementPolicy,
        call_id: int,
        on_first_look: Callable[[], None],
    ):
        self._policy = policy
        self._call_id = call_id
        self._on_first_look = on_first_look
        self.looks: list[Look] = []

    def choose(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> Placement | None:
        """Return what the policy chooses."""
        if call.call_id == self._call_id:
            if not self.looks:
                self._on_first_look()
            self.looks.append(self._look(call, upstreams, now))
        return self._policy.choose(call, upstreams, now)

    def min_first_byte_s(self, call: PendingCall) -> float:
        """Return the policy's predicted seconds on an idle upstream."""
        return self._policy.min_first_byte_s(call)

    def slot_time_s(self) -> float | None:
        """Return the policy's seconds for which a request holds a slot."""
        return self._policy.slot_time_s()

    def _look(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> Look:
        policy = self._policy.snapshot()
        best: list[Placement] = []
        left = list(upstreams)
        while left and len(best) < BEST_COUNT:
            placement = policy.choose(call, left, now)
            if placement is None:
                break
            best.append(placement)
            left = [view for view in left if view is not placement.upstream]
        roomy = (
            view for view in upstreams if policy.choose(call, [view], now) is not None
        )
        return Look(_ids_of(upstreams), _ids_of(roomy), tuple(best))


def add_placement_steps(
    steps: tuple[RuleStep, ...], looks: Sequence[Look], home: frozenset[str]
) -> tuple[RuleStep, ...]:
    """Return the steps with those of the placement, if there was one.

    ``home`` are the upstreams of the own cell. The policy considers only some of the
    others.
    """
    if not looks or not steps:
        return steps
    seen = frozenset().union(*(look.candidates for look in looks))
    roomy = frozenset().union(*(look.roomy for look in looks))
    left = steps[-1].left
    reserved = tuple(each for each in left if each in home and each not in seen)
    if reserved:
        left = tuple(each for each in left if each not in reserved)
        steps = (*steps, RuleStep(RESERVED_STEP, reserved, left))
    full = tuple(each for each in left if each not in roomy)
    left = tuple(each for each in left if each in roomy)
    return (*steps, RuleStep(ROOM_STEP, full, left))


def copy_state(state: _State) -> _State:
    """Return a copy of an object whose own containers are copied too.

    What these contain is shared with the original.
    """
    copied = copy.copy(state)
    for name, value in vars(state).items():
        if isinstance(value, list | dict | set | deque):
            vars(copied)[name] = copy.copy(value)
    return copied


def copy_view(view: UpstreamView) -> UpstreamView:
    """Return a copy of an upstream on which a placement can be simulated."""
    copied = copy_state(view)
    copied.limit = copy_state(view.limit)
    copied.claims = copy_state(view.claims)
    copied.cold = view.cold.snapshot()
    return copied


def _ids_of(views: Iterable[UpstreamView]) -> frozenset[str]:
    return frozenset(view.instance_id for view in views)
