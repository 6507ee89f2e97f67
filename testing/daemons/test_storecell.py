"""The entries of a cell follow one store over a narrow link, on a manual clock."""

import pytest
from storecell import CONFIGURATION_TIMEOUT_S, LARGE_BYTES, Cell

# From the store's answer that an upstream drains until it gets no request any more.
DRAIN_TIMEOUT_S = 2.0


def test_one_entry_of_a_cell_reads_each_version_of_a_large_configuration():
    """Guards against a link that is full of copies of the same configuration."""
    cell = Cell(5)
    cell.change(8)
    cell.task.advance(CONFIGURATION_TIMEOUT_S)
    assert {each.recorder.revision for each in cell.entries} == {cell.store.revision}
    assert cell.store.sent_bytes < 2 * 8 * LARGE_BYTES


@pytest.mark.parametrize("refused", [1, 4])
def test_entries_that_the_store_refuses_stay_current_through_their_peers(refused):
    cell = Cell(5, refused)
    cell.change(8)
    cell.task.advance(CONFIGURATION_TIMEOUT_S)
    now = cell.task.now()
    for entry in cell.refused:
        assert entry.recorder.revision == cell.store.revision
        assert now - entry.recorder.confirmed_at < CONFIGURATION_TIMEOUT_S


def _make_cell_with_list():
    """Return a cell of which one entry watches the list of upstreams for all."""
    cell = Cell(3, kinds=("config", "servers"))
    # Ends the calls that each entry sent before it knew of the others.
    cell.store.put("earlier")
    cell.task.advance(CONFIGURATION_TIMEOUT_S)
    return cell


@pytest.mark.parametrize("down_s", [0.2, 0.5, 0.9, 1.4])
def test_peers_hear_of_a_change_that_a_restarted_entry_learnt_by_its_listing(down_s):
    """Guards against requests to an upstream that has left.

    The entry that watched for the others started again before they took over, and told
    them nothing of what had changed meanwhile.
    """
    cell = _make_cell_with_list()
    watching = cell.watching_entry("servers")
    watching.kill()
    cell.task.advance(0.1)
    cell.store.put("upstream")
    cell.task.advance(down_s)
    cell.restart(watching)
    cell.task.advance(DRAIN_TIMEOUT_S - down_s)
    for entry in cell.entries:
        assert entry.recorders["servers"].revision == cell.store.revision


def test_peers_ask_an_entry_that_started_for_its_listing_once():
    """Guards against copies of all objects for as long as an entry runs."""
    cell = _make_cell_with_list()
    watching = cell.watching_entry("servers")
    starting = next(each for each in cell.entries if each is not watching)
    starting.kill()
    # A change of an object of another kind.
    cell.store.revision += 1
    asked = cell.snapshot_count
    cell.restart(starting)
    cell.task.advance(CONFIGURATION_TIMEOUT_S)
    peers = len(cell.entries) - 1
    assert cell.snapshot_count - asked <= peers * len(cell.kinds)
    asked = cell.snapshot_count
    cell.task.advance(10.0)
    assert cell.snapshot_count == asked
