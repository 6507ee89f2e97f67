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


def test_added_engine_moves_no_other_while_the_number_of_cells_stays():
    engines = _make_engines(3, 30)
    before = CellMap.from_engines(engines)
    after = CellMap.from_engines([*engines, EngineLocation("new", "zone-0")])
    for engine in engines:
        location = (engine.instance_id, engine.availability_zone)
        assert after.cell_of(*location) == before.cell_of(*location)
