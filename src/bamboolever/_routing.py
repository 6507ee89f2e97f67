"""Routing: what an entry knows of upstreams, and policies that choose one."""

import itertools
from abc import ABC, abstractmethod
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import final

from bamboolever._subset import rank_members

MAX_PREFIXES_PER_UPSTREAM = 512
AFFINITY_LOAD_BOUND = 1.25
EJECT_AFTER_FAILURES = 3
EJECT_S = 5.0
SLOW_START_S = 5.0
SLOW_START_SHARE = 0.25


@dataclass
class UpstreamView:
    """One upstream as this entry sees it."""

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
        """Calls at the upstream: own ones now, others' as last reported."""
        return self.local_in_flight + self.other_in_flight

    def has_room(self, now: float) -> bool:
        """Whether one more call fits; fewer fit just after a return."""
        capacity: float = self.capacity
        if now - self.returned_at < SLOW_START_S:
            capacity = max(1.0, capacity * SLOW_START_SHARE)
        return self.load < capacity

    def apply_report(self, in_flight: int, capacity: int) -> None:
        """Take a lagging report; own calls are known better here."""
        self.other_in_flight = max(0, in_flight - self.local_in_flight)
        self.capacity = capacity

    def on_success(self) -> None:
        """Note an answer."""
        self.failures = 0

    def on_failure(self, now: float) -> None:
        """Note a failure; several in a row eject the upstream for a while."""
        self.failures += 1
        if self.failures >= EJECT_AFTER_FAILURES:
            self.failures = 0
            self.ejected_until = now + EJECT_S
            self.returned_at = self.ejected_until

    def remember_prefix(self, prefix_key: str) -> None:
        """Note that a call with this prefix was sent here."""
        self.prefixes[prefix_key] = None
        self.prefixes.move_to_end(prefix_key)
        if len(self.prefixes) > MAX_PREFIXES_PER_UPSTREAM:
            self.prefixes.popitem(last=False)


@dataclass(frozen=True)
class RoutingRequest:
    """What a policy may know of a call and of its entry."""

    region: str
    availability_zone: str
    prefix_key: str


class RoutingPolicy(ABC):
    """Chooses among upstreams that all may take the call."""

    @abstractmethod
    def choose(
        self, candidates: list[UpstreamView], request: RoutingRequest
    ) -> UpstreamView:
        """Return one of the candidates, of which there is at least one."""


@final
class RoundRobinPolicy(RoutingPolicy):
    """Takes the upstreams in turn."""

    def __init__(self) -> None:
        self._turn = itertools.count()

    def choose(
        self, candidates: list[UpstreamView], request: RoutingRequest
    ) -> UpstreamView:
        """See `RoutingPolicy.choose`."""
        ordered = sorted(candidates, key=lambda view: view.upstream_id)
        return ordered[next(self._turn) % len(ordered)]


@final
class LeastOutstandingPolicy(RoutingPolicy):
    """Takes the upstream with the smallest share of its capacity in use."""

    def choose(
        self, candidates: list[UpstreamView], request: RoutingRequest
    ) -> UpstreamView:
        """See `RoutingPolicy.choose`."""
        return min(candidates, key=lambda view: _order(view, request))


@final
class AffinityPolicy(RoutingPolicy):
    """Keeps a prompt prefix on one upstream while its load stays bounded."""

    def choose(
        self, candidates: list[UpstreamView], request: RoutingRequest
    ) -> UpstreamView:
        """See `RoutingPolicy.choose`."""
        least = min(candidates, key=lambda view: _order(view, request))
        if not request.prefix_key:
            return least
        total = sum(view.load for view in candidates) + 1
        bound = AFFINITY_LOAD_BOUND * total / len(candidates) + 1
        by_id = {view.upstream_id: view for view in candidates}
        ranked = rank_members(request.prefix_key, by_id)
        warm = [uid for uid in ranked if request.prefix_key in by_id[uid].prefixes]
        for upstream_id in [*warm, *ranked[:2]]:
            if by_id[upstream_id].load < bound:
                return by_id[upstream_id]
        return least


def _order(view: UpstreamView, request: RoutingRequest) -> tuple[float, int, int, str]:
    is_far_zone = view.availability_zone != request.availability_zone
    is_far_region = view.region != request.region
    used = view.load / max(1, view.capacity)
    return (
        round(used, 1),
        int(is_far_region),
        int(is_far_zone),
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
    """Return the upstreams that take calls; ejection never empties the list."""
    open_views = [
        view
        for view in views
        if view.is_accepting
        and not view.is_leaving
        and (not required_version or view.version == required_version)
    ]
    kept = [view for view in open_views if view.ejected_until <= now]
    return kept or open_views
