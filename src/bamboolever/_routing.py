"""Decides which upstream takes a call.

An `UpstreamView` holds what an entry knows of one upstream: its own calls there,
what the agent last reported, and its recent failures. `select_usable` leaves out
upstreams that accept no calls and those ejected after several consecutive failures
(outlier ejection). The service's routing policy then chooses among those with free
capacity.

Several entries send calls to one upstream and reports lag behind, so each entry has
only an estimate of the load. It therefore compares the share of capacity in use in
steps of a tenth, and among equals prefers its own region, then its own zone.
"""

import itertools
from abc import ABC, abstractmethod
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import final

from bamboolever._subset import rank_members

MAX_PREFIXES_PER_UPSTREAM = 512
#: An upstream is preferred for its prompt prefixes while its load is at most about
#: this many times the average.
AFFINITY_LOAD_BOUND = 1.25
#: Consecutive failures after which an upstream is ejected.
EJECT_AFTER_FAILURES = 3
EJECTION_S = 5.0
#: Time after an ejection in which only a share of the capacity is used.
SLOW_START_S = 5.0
SLOW_START_SHARE = 0.25


@dataclass
class UpstreamView:
    """What one entry knows of one upstream. Times are seconds of the entry's clock.

    ``local_in_flight`` counts this entry's calls there, ``other_in_flight`` those of
    other entries, and ``failures`` the consecutive failures. ``returned_at`` is the end
    of the last ejection. ``prefixes`` are the prompt prefixes of the calls that were
    sent there, the most recent last.
    """

    upstream_id: str
    service: str
    region: str
    availability_zone: str
    capacity: int
    version: str = ""
    is_accepting: bool = False
    is_leaving: bool = False
    local_in_flight: int = 0
    other_in_flight: int = 0
    failures: int = 0
    ejected_until: float = 0.0
    returned_at: float = float("-inf")
    prefixes: OrderedDict[str, None] = field(default_factory=OrderedDict)

    @property
    def load(self) -> int:
        """Calls at the upstream: this entry's now, other entries' as last reported."""
        return self.local_in_flight + self.other_in_flight

    def has_free_capacity(self, now: float) -> bool:
        """Return whether the upstream can take one more call.

        In the `SLOW_START_S` after an ejection only part of the capacity counts.
        """
        capacity: float = self.capacity
        if now - self.returned_at < SLOW_START_S:
            capacity = max(1.0, capacity * SLOW_START_SHARE)
        return self.load < capacity

    def apply_report(self, in_flight: int, capacity: int) -> None:
        """Apply an agent's report of all calls at its upstream and of its capacity.

        The report lags behind, so this entry's own calls are not taken from it.
        """
        self.other_in_flight = max(0, in_flight - self.local_in_flight)
        self.capacity = capacity

    def on_success(self) -> None:
        """Record a completed call, which resets the count of failures."""
        self.failures = 0

    def on_failure(self, now: float) -> None:
        """Record a failed call, and eject the upstream after `EJECT_AFTER_FAILURES`."""
        self.failures += 1
        if self.failures >= EJECT_AFTER_FAILURES:
            self.failures = 0
            self.ejected_until = now + EJECTION_S
            self.returned_at = self.ejected_until

    def record_prefix(self, prefix_key: str) -> None:
        """Record that a call with this prompt prefix was sent to the upstream."""
        self.prefixes[prefix_key] = None
        self.prefixes.move_to_end(prefix_key)
        if len(self.prefixes) > MAX_PREFIXES_PER_UPSTREAM:
            self.prefixes.popitem(last=False)


@dataclass(frozen=True)
class RoutingRequest:
    """The input of a policy: the entry's location and the call's prompt prefix.

    ``prefix_key`` is empty for a call to a plain service.
    """

    region: str
    availability_zone: str
    prefix_key: str


class RoutingPolicy(ABC):
    """Chooses among upstreams that can all take the call."""

    @abstractmethod
    def choose(
        self, candidates: list[UpstreamView], request: RoutingRequest
    ) -> UpstreamView:
        """Return one of ``candidates``, which are never empty."""


@final
class RoundRobinPolicy(RoutingPolicy):
    """Chooses the upstreams in turn."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def choose(
        self, candidates: list[UpstreamView], request: RoutingRequest
    ) -> UpstreamView:
        """See `RoutingPolicy.choose`."""
        ordered = sorted(candidates, key=lambda view: view.upstream_id)
        return ordered[next(self._counter) % len(ordered)]


@final
class LeastOutstandingPolicy(RoutingPolicy):
    """Chooses the upstream with the smallest share of its capacity in use."""

    def choose(
        self, candidates: list[UpstreamView], request: RoutingRequest
    ) -> UpstreamView:
        """See `RoutingPolicy.choose`."""
        return min(candidates, key=lambda view: _load_order(view, request))


@final
class AffinityPolicy(RoutingPolicy):
    """Sends calls with the same prompt prefix to an upstream that may have it cached.

    Upstreams that were recently sent the prefix come first, then the two that rank
    highest for it by rendezvous hashing. Those with too much load are skipped. If all
    are skipped, or if the call has no prefix, the least loaded upstream is chosen.
    """

    def choose(
        self, candidates: list[UpstreamView], request: RoutingRequest
    ) -> UpstreamView:
        """See `RoutingPolicy.choose`."""
        least_loaded = min(candidates, key=lambda view: _load_order(view, request))
        if not request.prefix_key:
            return least_loaded
        total_load = sum(view.load for view in candidates) + 1
        max_load = AFFINITY_LOAD_BOUND * total_load / len(candidates) + 1
        by_id = {view.upstream_id: view for view in candidates}
        ranked = rank_members(request.prefix_key, by_id)
        with_prefix = [
            uid for uid in ranked if request.prefix_key in by_id[uid].prefixes
        ]
        for upstream_id in [*with_prefix, *ranked[:2]]:
            if by_id[upstream_id].load < max_load:
                return by_id[upstream_id]
        return least_loaded


def _load_order(
    view: UpstreamView, request: RoutingRequest
) -> tuple[float, int, int, str]:
    is_other_zone = view.availability_zone != request.availability_zone
    is_other_region = view.region != request.region
    used_share = view.load / max(1, view.capacity)
    return (
        round(used_share, 1),
        int(is_other_region),
        int(is_other_zone),
        view.upstream_id,
    )


ROUTING_POLICIES: dict[str, type[RoutingPolicy]] = {
    "affinity": AffinityPolicy,
    "least-outstanding": LeastOutstandingPolicy,
    "round-robin": RoundRobinPolicy,
}


def select_usable(
    views: list[UpstreamView], now: float, *, required_version: str = ""
) -> list[UpstreamView]:
    """Return the upstreams that accept calls and are not ejected.

    If all that accept calls are ejected, they are all returned, since an upstream that
    may fail is better than none. ``required_version`` limits them to one version.
    """
    accepting = [
        view
        for view in views
        if view.is_accepting
        and not view.is_leaving
        and (not required_version or view.version == required_version)
    ]
    not_ejected = [view for view in accepting if view.ejected_until <= now]
    return not_ejected or accepting
