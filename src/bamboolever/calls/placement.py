"""Chooses the upstream of a request; policies are swapped by name."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import final

from bamboolever.calls.engine import EngineLoad, predict_first_event_s
from bamboolever.calls.upstream import UpstreamView
from bamboolever.config.model import EngineProfile

# An upstream of another zone or region must be sooner by this to be taken.
OTHER_ZONE_PENALTY_S = 0.004
OTHER_REGION_PENALTY_S = 0.015
# A late answer is sent only where on-time ones leave this share of slots free.
LATE_SLOT_SHARE = 0.75
PLAIN_QUEUE_SHARE = 1.5
FARTHEST_SHARE = 0.2


@dataclass
class PendingCall:
    """A request that waits to be placed; times are absolute seconds.

    ``target_at`` is when its first byte should leave the upstream to be on time.
    """

    call_id: int
    arrived_at: float
    target_at: float
    timeout_at: float
    prompt_tokens: int = 0
    priority: int = 0
    used_s: float = 0.0
    model: str | None = None
    tried: set[str] = field(default_factory=set)
    is_resumed: bool = False

    @property
    def is_caller_retry(self) -> bool:
        """Whether an earlier attempt of the caller used some of its time."""
        return self.used_s > 0


@dataclass(frozen=True)
class Placement:
    """The chosen upstream and the predicted seconds to the first byte."""

    upstream: UpstreamView
    predicted_s: float


_IDLE = EngineLoad()

DistancePenalty = Callable[[UpstreamView], float]

# Requests that an entry has at most at one engine under the baseline.
BASELINE_MAX_IN_FLIGHT = 4


class PlacementPolicy(ABC):
    """Chooses among upstreams that may be sent the request."""

    @abstractmethod
    def choose(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> Placement | None:
        """Return the best upstream now, or None if the request should wait."""

    @abstractmethod
    def min_first_byte_s(self, call: PendingCall) -> float:
        """Return the seconds to the first byte on an idle upstream."""


@final
class LeastOutstandingPolicy(PlacementPolicy):
    """Baseline: the upstream with the fewest own requests, up to a bound."""

    def __init__(self, bound: int, penalty: DistancePenalty):
        self._bound = bound
        self._penalty = penalty

    def choose(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> Placement | None:
        """Return the upstream with the fewest requests of this entry."""
        free = [view for view in upstreams if len(view.calls) < self._bound]
        if not free:
            return None
        best = min(free, key=lambda view: (len(view.calls), self._penalty(view)))
        return Placement(best, 0.0)

    def min_first_byte_s(self, call: PendingCall) -> float:
        """Return 0: this policy predicts nothing."""
        return 0.0


@final
class PlainServicePolicy(PlacementPolicy):
    """For services without engines: least load for its slots, nearest first."""

    def __init__(self, penalty: DistancePenalty):
        self._penalty = penalty

    def choose(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> Placement | None:
        """Return the least loaded upstream that has room."""
        free = [
            view
            for view in upstreams
            if view.load.active < max(1.0, view.record.slots * PLAIN_QUEUE_SHARE)
        ]
        if not free:
            return None
        best = min(free, key=self._score)
        return Placement(best, 0.0)

    def min_first_byte_s(self, call: PendingCall) -> float:
        """Return 0: the work of plain services is not predicted."""
        return 0.0

    def _score(self, view: UpstreamView) -> float:
        # A nearer upstream is taken until it is fuller by this share of its slots.
        share = view.load.active / max(1, view.record.slots)
        distance = min(1.0, self._penalty(view) / OTHER_REGION_PENALTY_S)
        return share + FARTHEST_SHARE * distance


@final
class PredictedLatencyPolicy(PlacementPolicy):
    """For engines: the soonest predicted first event, with a free slot.

    Load pattern: more streams than the engines have slots. A request beyond the
    slots would wait behind a whole stream, so it is not sent.
    """

    def __init__(self, profile: EngineProfile, penalty: DistancePenalty):
        self._profile = profile
        self._penalty = penalty

    def choose(
        self, call: PendingCall, upstreams: Sequence[UpstreamView], now: float
    ) -> Placement | None:
        """Return the upstream with the soonest first event that is in time."""
        # A stream that broke is late in any case; its caller has part of it.
        is_late = call.is_resumed or now + self.min_first_byte_s(call) > call.target_at
        share = LATE_SLOT_SHARE if is_late and not call.is_resumed else 1.0
        best: Placement | None = None
        best_score = 0.0
        for view in upstreams:
            load = view.load
            slots = min(view.record.slots, self._profile.slots)
            if load.active >= slots * share:
                continue
            predicted_s = predict_first_event_s(self._profile, load, call.prompt_tokens)
            if not is_late and now + predicted_s > call.target_at:
                continue
            score = predicted_s + self._penalty(view)
            if best is None or score < best_score:
                best, best_score = Placement(view, predicted_s), score
        return best

    def min_first_byte_s(self, call: PendingCall) -> float:
        """Return the predicted seconds on an idle engine."""
        return predict_first_event_s(self._profile, _IDLE, call.prompt_tokens)


PlacementFactory = Callable[[EngineProfile, DistancePenalty], PlacementPolicy]

_POLICIES: dict[str, PlacementFactory] = {
    "predicted": PredictedLatencyPolicy,
    "least-outstanding": lambda _profile, penalty: LeastOutstandingPolicy(
        BASELINE_MAX_IN_FLIGHT, penalty
    ),
}


def register_placement_factory(name: str, maker: PlacementFactory) -> None:
    """Make a policy known, so that entries can be started with it."""
    _POLICIES[name] = maker


def find_placement_factory(name: str) -> PlacementFactory:
    """Return the maker of the policy with this name.

    Raises `LookupError` naming the known ones.
    """
    if name not in _POLICIES:
        known = ", ".join(sorted(_POLICIES))
        raise LookupError(f"no placement policy is named {name!r}; known: {known}")
    return _POLICIES[name]
