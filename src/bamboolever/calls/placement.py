"""Chooses the upstream of a request.

Takes a queued request and the upstreams that may serve it, each with its load and
its distance from this entry. Decides which upstream to send the request to now, or
that it waits. The setting ``placement`` selects the policy for engines by name.

Load pattern: several entries share upstreams of unequal load, speed and distance. A
request that is sent to a full upstream misses its latency target while another
upstream has a free slot. Upstreams that are equal for all entries are chosen at random,
since all would choose the first one of the list at the same moment.
"""

import copy
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import final

from bamboolever.calls.engine import EngineLoad, predict_first_event_s, slot_time_s
from bamboolever.calls.upstream import UpstreamView
from bamboolever.config.model import EngineProfile

# An upstream in another zone or region is chosen only if its predicted first byte
# is earlier by more than this.
OTHER_ZONE_PENALTY_S = 0.004
OTHER_REGION_PENALTY_S = 0.015
# A request that is already late fills an engine only to this share of its slots; the
# rest is kept for requests that can be on time.
LATE_SLOT_SHARE = 0.75
# Maximum number of requests at an upstream of a plain service, as a multiple of its
# slots.
PLAIN_MAX_LOAD = 1.5
# Added to the load per slot of a plain service's upstream in another region. A shorter
# distance adds proportionally less.
MAX_DISTANCE_LOAD = 0.2


@dataclass
class PendingCall:
    """A request that waits to be placed; times are seconds of the entry's clock.

    To be on time, its first byte has to leave the upstream by ``target_at``. It fails
    at ``timeout_at``. A lower ``priority`` is more urgent. ``first_attempt_age_s`` is
    the seconds since the caller's first attempt, which was rejected; 0 if this is the
    first. ``tried`` holds the instance ids of upstreams that it was sent to before.
    ``is_resumed`` marks a stream that broke after its first event and continues at
    another upstream. It may be sent to ``allowed_regions`` only; None means to all
    regions, and an empty set to none.
    """

    call_id: int
    arrived_at: float
    target_at: float
    timeout_at: float
    prompt_tokens: int = 0
    priority: int = 0
    first_attempt_age_s: float = 0.0
    model: str | None = None
    tried: set[str] = field(default_factory=set)
    is_resumed: bool = False
    allowed_regions: frozenset[str] | None = None

    @property
    def is_caller_retry(self) -> bool:
        """Whether the caller sends the request again after a rejection."""
        return self.first_attempt_age_s > 0


@dataclass(frozen=True)
class Placement:
    """The chosen upstream and the predicted seconds to the first byte.

    ``predicted_s`` is 0 where the policy predicts nothing.
    """

    upstream: UpstreamView
    predicted_s: float


_IDLE = EngineLoad()

# Returns the seconds that an upstream's zone or region adds to its predicted latency.
DistancePenalty = Callable[[UpstreamView], float]

# Maximum number of requests of one entry in flight at one engine, for the baseline.
BASELINE_MAX_IN_FLIGHT = 4


class PlacementPolicy(ABC):
    """Chooses one of the upstreams that may serve a request."""

    @abstractmethod
    def choose(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> Placement | None:
        """Return the best upstream at the time ``now``.

        Returns None if the request should wait in the queue.
        """

    @abstractmethod
    def min_first_byte_s(self, call: PendingCall) -> float:
        """Return the predicted seconds to the first byte on an idle upstream."""

    def slot_time_s(self) -> float | None:
        """Return the seconds for which a typical request holds a slot.

        None if that is unknown.
        """
        return None

    def snapshot(self) -> "PlacementPolicy":
        """Return a policy that chooses the same, for questions without effect.

        Choices of the copy must not change this one. A policy that keeps state beside
        the upstreams' views has to copy that state, too.
        """
        return copy.copy(self)


@final
class LeastOutstandingPolicy(PlacementPolicy):
    """Baseline: the upstream with the fewest requests of this entry in flight.

    An upstream with ``max_in_flight`` of them gets no more. Requests of other entries
    do not count.
    """

    def __init__(self, max_in_flight: int, penalty: DistancePenalty):
        self._max_in_flight = max_in_flight
        self._penalty = penalty

    def choose(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> Placement | None:
        """Return the upstream with the fewest requests; the nearest of equal ones."""
        free = [view for view in upstreams if len(view.calls) < self._max_in_flight]
        if not free:
            return None
        best = min(free, key=lambda view: (len(view.calls), self._penalty(view)))
        return Placement(best, 0.0)

    def min_first_byte_s(self, call: PendingCall) -> float:
        """Return 0, as this policy predicts no latency."""
        return 0.0


@final
class PlainServicePolicy(PlacementPolicy):
    """For services without engines: the lowest load per slot, adjusted by distance.

    The load of an upstream that states its slowness is multiplied by it.
    """

    def __init__(self, penalty: DistancePenalty, *, seed: int | str = 0):
        self._penalty = penalty
        self._random = random.Random(seed)

    def choose(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> Placement | None:
        """Return the upstream with the lowest adjusted load.

        Upstreams whose load has reached `PLAIN_MAX_LOAD` are left out; a stated load is
        not counted for that, as it may have changed. Of equal ones, the nearest is
        chosen, and of equally near ones any.
        """
        free = [
            view
            for view in upstreams
            if view.load.active < max(1.0, view.record.slots * PLAIN_MAX_LOAD)
        ]
        if not free:
            return None
        best = min(free, key=lambda view: self._rank(view, now))
        return Placement(best, 0.0)

    def min_first_byte_s(self, call: PendingCall) -> float:
        """Return 0, as the latency of plain services is not predicted."""
        return 0.0

    def snapshot(self) -> "PlainServicePolicy":
        """Return a copy with its own random source in the same state."""
        copied = copy.copy(self)
        copied._random = copy.copy(self._random)
        return copied

    def _rank(self, view: UpstreamView, now: float) -> tuple[float, float, float]:
        # A near upstream is preferred until its load per slot exceeds that of a far
        # one by the distance term. The request itself is multiplied by the slowness
        # too, as an idle upstream would otherwise never count as slow.
        slowness = view.slowness_at(now)
        load = view.active_at(now) * slowness + (slowness - 1.0)
        penalty_s = self._penalty(view)
        distance = min(1.0, penalty_s / OTHER_REGION_PENALTY_S)
        score = load / max(1, view.record.slots) + MAX_DISTANCE_LOAD * distance
        return score, penalty_s, self._random.random()


@final
class PredictedLatencyPolicy(PlacementPolicy):
    """For engines: the earliest predicted first event among those with a free slot.

    Load pattern: more streams than the engines have slots. A request beyond the
    slots would wait at the engine until another stream ends, so it is not sent.
    """

    def __init__(self, profile: EngineProfile, penalty: DistancePenalty):
        self._profile = profile
        self._penalty = penalty

    def choose(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> Placement | None:
        """Return the upstream with the earliest predicted first event.

        Upstreams that would miss the latency target are left out, unless the request
        is late even on an idle engine, and those on which it would begin after the
        version's end.
        """
        # A resumed stream is late in any case, but its caller already has a part of
        # it: it may use all slots.
        is_late = call.is_resumed or now + self.min_first_byte_s(call) > call.target_at
        slot_share = LATE_SLOT_SHARE if is_late and not call.is_resumed else 1.0
        best: Placement | None = None
        best_score = 0.0
        for view in upstreams:
            load = view.load_at(now)
            slots = min(view.record.slots, self._profile.slots)
            if load.active >= slots * slot_share or not view.can_claim_slot(slots, now):
                continue
            predicted_s = predict_first_event_s(self._profile, load, call.prompt_tokens)
            if not is_late and now + predicted_s > call.target_at:
                continue
            if now + predicted_s > view.begin_by:
                continue
            score = predicted_s + self._penalty(view)
            if best is None or score < best_score:
                best, best_score = Placement(view, predicted_s), score
        return best

    def min_first_byte_s(self, call: PendingCall) -> float:
        """Return the predicted seconds to the first event on an idle engine."""
        return predict_first_event_s(self._profile, _IDLE, call.prompt_tokens)

    def slot_time_s(self) -> float | None:
        """Return the seconds for which a typical request holds a slot when all do."""
        return slot_time_s(self._profile)


PlacementFactory = Callable[[EngineProfile, DistancePenalty], PlacementPolicy]

_FACTORIES: dict[str, PlacementFactory] = {
    "predicted": PredictedLatencyPolicy,
    "least-outstanding": lambda _profile, penalty: LeastOutstandingPolicy(
        BASELINE_MAX_IN_FLIGHT, penalty
    ),
}


def register_placement_factory(name: str, factory: PlacementFactory) -> None:
    """Register a policy under the name that the setting ``placement`` selects."""
    _FACTORIES[name] = factory


def find_placement_factory(name: str) -> PlacementFactory:
    """Return the factory of the policy with this name.

    Raises `LookupError`, which lists the registered names, if there is none.
    """
    if name not in _FACTORIES:
        known = ", ".join(sorted(_FACTORIES))
        raise LookupError(f"no placement policy is named {name!r}; known: {known}")
    return _FACTORIES[name]
