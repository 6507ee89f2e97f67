"""How engines and entries divide into cells."""

import pytest

from bamboolever.fleet.cells import (
    MAX_CELL_ENGINES,
    MAX_NEIGHBOR_CELLS,
    MAX_SHARED_ENGINES,
    SHARED_CELL,
    CellMap,
    EngineLocation,
)


def _make_engines(zones, per_zone):
    return [
        EngineLocation(f"engine-{zone}-{number}", f"zone-{zone}")
        for zone in range(zones)
        for number in range(per_zone)
    ]


def test_small_fleet_is_one_cell():
    cells = CellMap.from_engines(_make_engines(4, MAX_SHARED_ENGINES // 4))
    assert cells.cell_of("entry", "zone-2") == SHARED_CELL
    assert cells.neighbors_of(SHARED_CELL) == []


@pytest.mark.parametrize("per_zone", [12, 30, 120, 860])
def test_cells_stay_small_as_the_fleet_grows(per_zone):
    """What an entry knows in detail must not grow with the number of engines."""
    cells = CellMap.from_engines(_make_engines(14, per_zone))
    sizes = [len(members) for members in cells.members.values()]
    assert max(sizes) <= 2 * MAX_CELL_ENGINES
    assert sum(sizes) == 14 * per_zone
    for cell in cells.members:
        neighbors = cells.neighbors_of(cell)
        assert cell not in neighbors
        assert len(neighbors) <= MAX_NEIGHBOR_CELLS


def test_entries_of_a_zone_spread_over_its_cells():
    cells = CellMap.from_engines(_make_engines(3, 3 * MAX_CELL_ENGINES))
    chosen = [cells.cell_of(f"entry-{number}", "zone-1") for number in range(60)]
    assert set(chosen) == {"zone-1/0", "zone-1/1", "zone-1/2"}
    assert min(chosen.count(cell) for cell in set(chosen)) >= 10


def test_entry_of_a_zone_without_engines_uses_those_of_others():
    cells = CellMap.from_engines(_make_engines(3, 20))
    own = cells.cell_of("entry", "zone-9")
    assert own not in cells.members
    assert set(cells.neighbors_of(own)) == {"zone-0/0", "zone-1/0", "zone-2/0"}


def test_cell_of_the_same_zone_is_the_first_neighbor():
    cells = CellMap.from_engines(_make_engines(8, 2 * MAX_CELL_ENGINES))
    assert cells.neighbors_of("zone-3/0")[0] == "zone-3/1"


REGIONS_BY_ZONE = {f"zone-{zone}": f"region-{zone // 2}" for zone in range(14)}


def _regions_of(cells):
    return {REGIONS_BY_ZONE[cell.rpartition("/")[0]] for cell in cells}


@pytest.mark.parametrize("required", [{"region-5"}, {"region-1", "region-6"}])
@pytest.mark.parametrize("per_zone", [12, 60])
def test_each_region_that_requests_are_bound_to_has_a_neighbor(per_zone, required):
    """Guards against bound requests that find no engine because of a hash."""
    cells = CellMap.from_engines(_make_engines(14, per_zone))
    own_cells = [cells.cell_of("entry", f"zone-{zone}") for zone in range(15)]
    is_missed_by_hash = False
    for own in own_cells:
        known = {own} & set(cells.members)
        chosen = cells.neighbors_of(own, REGIONS_BY_ZONE, frozenset(required))
        assert len(chosen) == len(set(chosen)) == MAX_NEIGHBOR_CELLS
        assert required <= _regions_of(known | set(chosen))
        by_hash = cells.neighbors_of(own)
        is_missed_by_hash |= not required <= _regions_of(known | set(by_hash))
        assert len(set(by_hash) - set(chosen)) <= len(required)
    assert is_missed_by_hash


def test_more_regions_than_neighbors_are_covered_as_far_as_possible():
    cells = CellMap.from_engines(_make_engines(14, 12))
    required = frozenset(REGIONS_BY_ZONE.values())
    chosen = cells.neighbors_of("zone-0/0", REGIONS_BY_ZONE, required)
    assert len(_regions_of(chosen) | {"region-0"}) == 7


@pytest.mark.parametrize("zones", [1, 7, 14])
def test_neighbors_stay_as_they_are_without_bound_requests(zones):
    """Guards against restrictions that change fleets without any."""
    cells = CellMap.from_engines(_make_engines(zones, 40 if zones == 1 else 12))
    required = {"region-0", "region-2"} if zones <= 7 else set()
    for cell in cells.members:
        chosen = cells.neighbors_of(cell, REGIONS_BY_ZONE, frozenset(required))
        assert chosen == cells.neighbors_of(cell)


def test_added_engine_moves_no_other_while_the_number_of_cells_stays():
    engines = _make_engines(3, 30)
    before = CellMap.from_engines(engines)
    after = CellMap.from_engines([*engines, EngineLocation("new", "zone-0")])
    for engine in engines:
        location = (engine.instance_id, engine.availability_zone)
        assert after.cell_of(*location) == before.cell_of(*location)
