"""Decides in which regions the last free slots are reserved for bound requests.

A bound request may be sent to certain regions only. Takes the arrivals of requests at
this entry, the loads of the engines by region, and a request. Returns the regions that
the request may not use.

Load pattern: the engines of one region fill up while others have room. Requests that
may go to several regions take the near slots, and those that may not go elsewhere are
rejected. A request therefore leaves room in a region for requests that reach only a
part of its own regions:

- of the same priority, as long as it finds room in another region. Where all are full,
  it leaves only a little. Without that, bound requests would be served about half as
  often, as they can use the room of fewer regions;
- of a more urgent priority in any case: it is rejected in their favor;
- of a less urgent priority never.

The room follows from the bound demand that this entry sees. Callers are spread evenly
over the entries, so each estimates the total as its own demand times their number.
Slots are freed all the time and go to whoever may take them, so a few free ones are
enough for requests that need less than the region serves.
"""

import copy
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import final

from bamboolever.calls.placement import PendingCall
from bamboolever.calls.upstream import UpstreamView

# Time constant of the average of the arrivals, in seconds. Bursts last a few seconds.
RATE_WINDOW_S = 2.0
# Demand is dropped when its decayed number of arrivals is below this.
MIN_ARRIVALS = 0.05
# Accepted share of bound requests that find no free slot in their region.
MAX_BLOCKED_SHARE = 0.02
# The same against requests of their own priority that find no room elsewhere: where
# all regions are full, neither kind may be served much less often than the other.
MAX_EQUAL_BLOCKED_SHARE = 0.25


@dataclass
class RegionLoad:
    """The slots of a region's engines and how many of them are free.

    Each engine counts with its slots divided by its slowdown.
    """

    slots: float = 0.0
    free: int = 0


@dataclass(frozen=True)
class ReservedRegions:
    """The regions that a request may not use.

    It avoids those in ``preferred`` while another region has room, and those in
    ``required``, a subset of them, in any case.
    """

    preferred: frozenset[str] = frozenset()
    required: frozenset[str] = frozenset()


@dataclass
class _Arrivals:
    count: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        self.count = self.count_at(now) + 1.0
        self.updated_at = now

    def count_at(self, now: float) -> float:
        return self.count * math.exp((self.updated_at - now) / RATE_WINDOW_S)


NOTHING_RESERVED = ReservedRegions()
RegionLoads = Mapping[str | None, RegionLoad]


def measure_regions(views: Iterable[UpstreamView]) -> dict[str | None, RegionLoad]:
    """Return the loads of the regions of the given engines, which take requests now."""
    loads: dict[str | None, RegionLoad] = {}
    for view in views:
        load = loads.setdefault(view.region, RegionLoad())
        slots = view.record.slots
        load.slots += slots / max(1.0, view.slowdown)
        load.free += max(0, slots - view.active)
    return loads


def find_reserve(
    offered: float, slots: float, blocked_share: float = MAX_BLOCKED_SHARE
) -> float:
    """Return how many of ``slots`` to keep free for a demand of ``offered`` slots.

    While other requests stay away, the number of free slots falls with the arrivals
    and rises with the requests that end, at a rate of ``slots`` to ``offered``. The
    probability that the arrivals use up the reserve falls with its size as a power of
    their ratio, and ``blocked_share`` of it is accepted.
    """
    if offered <= 0.0:
        return 0.0
    if offered >= slots:
        return slots
    return min(slots, math.log(blocked_share) / math.log(offered / slots))


@final
class RegionReserve:
    """The bound demand of one service, and the room that is left for it.

    ``entry_count`` is the number of entries that send requests to the same engines,
    with this one. Times are seconds of the entry's clock.
    """

    def __init__(self) -> None:
        self.entry_count = 1
        self._arrivals: dict[tuple[frozenset[str], int], _Arrivals] = {}

    def on_arrival(self, call: PendingCall, now: float) -> None:
        """Count a request that asks for an upstream; only bound ones matter."""
        if call.allowed_regions:
            key = (call.allowed_regions, call.priority)
            self._arrivals.setdefault(key, _Arrivals()).add(now)

    def snapshot(self) -> "RegionReserve":
        """Return a copy; arrivals that it counts are not counted here."""
        copied = copy.copy(self)
        copied._arrivals = {
            key: replace(arrivals) for key, arrivals in self._arrivals.items()
        }
        return copied

    def concerns(self, call: PendingCall, now: float) -> bool:
        """Return whether requests arrived lately that the request may leave room to."""
        if not self._arrivals:
            return False
        self._arrivals = {
            key: arrivals
            for key, arrivals in self._arrivals.items()
            if arrivals.count_at(now) >= MIN_ARRIVALS
        }
        return any(_has_precedence(call, *key) for key in self._arrivals)

    def find_reserved(
        self, call: PendingCall, loads: RegionLoads, slot_time_s: float, now: float
    ) -> ReservedRegions:
        """Return the regions in which the request leaves the last room to others.

        ``loads`` are those of the regions that it may use. A typical request holds a
        slot for ``slot_time_s`` seconds.
        """
        if len(loads) < 2:
            return NOTHING_RESERVED
        offered: dict[str, float] = {}
        urgent: dict[str, float] = {}
        for (allowed, priority), arrivals in self._arrivals.items():
            if not _has_precedence(call, allowed, priority):
                continue
            reached = [region for region in allowed if region in loads]
            if len(reached) == len(loads):
                # No other region has engines: this request cannot go elsewhere.
                continue
            per_s = arrivals.count_at(now) / RATE_WINDOW_S * self.entry_count
            slots = per_s * slot_time_s / max(1, len(reached))
            for region in reached:
                offered[region] = offered.get(region, 0.0) + slots
                if priority < call.priority:
                    urgent[region] = urgent.get(region, 0.0) + slots
        # Where bound demand alone reaches the slots of a region, a reserve would shut
        # out all other requests of the same priority.
        equal = {
            region: slots
            for region, slots in offered.items()
            if slots < loads[region].slots
        }
        return ReservedRegions(
            _find_full(offered, loads),
            _find_full(urgent, loads)
            | _find_full(equal, loads, MAX_EQUAL_BLOCKED_SHARE),
        )


def _has_precedence(call: PendingCall, allowed: frozenset[str], priority: int) -> bool:
    """Return whether requests of this kind reach less and are no less urgent."""
    is_wider = call.allowed_regions is None or allowed < call.allowed_regions
    return is_wider and priority <= call.priority


def _find_full(
    offered: Mapping[str, float],
    loads: RegionLoads,
    blocked_share: float = MAX_BLOCKED_SHARE,
) -> frozenset[str]:
    return frozenset(
        region
        for region, slots in offered.items()
        if loads[region].free <= find_reserve(slots, loads[region].slots, blocked_share)
    )
