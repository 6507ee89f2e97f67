"""Divides the engines and entries into cells that share their loads.

Takes the listed engines with their zones. Returns the cell of each engine, the cell of
an entry, and the other cells that an entry may send requests to.

Load pattern: a fleet that grows. Each entry tells its load to those that use the same
engines. In one cell for all, an entry would hear from all others; a cell bounds how
many entries and engines one process knows in detail. Every process derives the same
cells from the same list, so nobody has to assign them. Requests may be bound to
regions, so a few neighbors chosen by hash alone would leave some of them unserved.
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import final

from bamboolever._subset import SCORE_BITS, rank_members, score_member

# Up to this number of engines, all zones form one cell. Cells of one zone each cannot
# use the last free slots of each other's engines, which in a small fleet are a large
# share of all slots.
MAX_SHARED_ENGINES = 48
# Engines that a cell of one zone has at most, on average.
MAX_CELL_ENGINES = 24
# Other cells that an entry may send requests to.
MAX_NEIGHBOR_CELLS = 6
SHARED_CELL = "all"
NO_REGIONS: Mapping[str, str] = MappingProxyType({})


@dataclass(frozen=True)
class EngineLocation:
    """An engine's instance id and its availability zone."""

    instance_id: str
    availability_zone: str


@final
@dataclass(frozen=True)
class CellMap:
    """The cells of one list of engines.

    ``cell_counts`` is the number of cells by availability zone; it is empty if all
    zones form one cell. ``members`` are the instance ids of the engines by cell.
    """

    cell_counts: dict[str, int] = field(default_factory=dict)
    members: dict[str, list[str]] = field(default_factory=dict)

    @classmethod
    def from_engines(cls, engines: list[EngineLocation]) -> "CellMap":
        """Return the cells of the listed engines."""
        if len(engines) <= MAX_SHARED_ENGINES:
            return cls({}, {SHARED_CELL: [engine.instance_id for engine in engines]})
        by_zone = Counter(engine.availability_zone for engine in engines)
        counts = {
            zone: math.ceil(count / MAX_CELL_ENGINES) for zone, count in by_zone.items()
        }
        cells = cls(counts)
        for engine in engines:
            cell = cells.cell_of(engine.instance_id, engine.availability_zone)
            cells.members.setdefault(cell, []).append(engine.instance_id)
        return cells

    def cell_of(self, member: str, availability_zone: str) -> str:
        """Return the cell of an engine or entry, by its name and zone."""
        if not self.cell_counts:
            return SHARED_CELL
        count = self.cell_counts.get(availability_zone, 1)
        index = score_member(availability_zone, member) * count >> SCORE_BITS
        return f"{availability_zone}/{index}"

    def neighbors_of(
        self,
        cell: str,
        regions_by_zone: Mapping[str, str] = NO_REGIONS,
        required_regions: frozenset[str] = frozenset(),
    ) -> list[str]:
        """Return the other cells whose engines the entries of ``cell`` may use.

        Cells of the same zone come first; a hash chooses among the others. Of each of
        the ``required_regions``, those that requests are bound to, one cell is chosen
        as far as the number of neighbors allows.
        """
        zone = _zone_of(cell)
        others = [other for other in rank_members(cell, self.members) if other != cell]
        others.sort(key=lambda other: _zone_of(other) != zone)
        if len(others) <= MAX_NEIGHBOR_CELLS or not required_regions:
            return others[:MAX_NEIGHBOR_CELLS]
        own_region = regions_by_zone.get(zone) if cell in self.members else None
        missing = set(required_regions - {own_region})
        first_of_region = []
        for other in others:
            region = regions_by_zone.get(_zone_of(other))
            if region in missing:
                missing.remove(region)
                first_of_region.append(other)
        # The sort is stable: cells keep their order within both parts.
        others.sort(key=lambda other: other not in first_of_region)
        chosen = set(others[:MAX_NEIGHBOR_CELLS])
        ranked = rank_members(cell, chosen)
        return sorted(ranked, key=lambda other: _zone_of(other) != zone)


def _zone_of(cell: str) -> str:
    return cell.rpartition("/")[0]
