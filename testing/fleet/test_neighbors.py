"""Which entry of another cell is asked for its summary."""

from bamboolever.fleet.neighbors import (
    LISTED_MAX_AGE_S,
    REPLY_TIMEOUT_S,
    RETRY_DELAY_S,
    SUMMARY_MAX_AGE_S,
    NeighborCell,
)
from bamboolever.net.addresses import Address

OWN = Address("10.0.0.1", 7000)
ENTRIES = tuple(Address(f"10.0.1.{number}", 7000) for number in range(1, 7))


def _make(*, own=OWN):
    neighbor = NeighborCell("zone-b/0", own)
    neighbor.add_entries(ENTRIES, 0.0)
    return neighbor


def test_askers_spread_over_the_entries_of_a_cell():
    askers = [Address(f"10.0.2.{number}", 7000) for number in range(60)]
    chosen = [_make(own=asker).choose_reporter(0.0) for asker in askers]
    assert set(chosen) == set(ENTRIES)


def test_entry_that_does_not_reply_is_passed_over_for_a_while():
    neighbor = _make()
    first = neighbor.choose_reporter(0.0)
    neighbor.on_asked(first, 0.0)
    assert neighbor.choose_reporter(0.1) == first
    now = REPLY_TIMEOUT_S + 0.1
    second = neighbor.choose_reporter(now)
    assert second not in (None, first)
    neighbor.on_asked(second, now)
    neighbor.on_summary(now)
    neighbor.add_entries(ENTRIES, now + RETRY_DELAY_S)
    assert neighbor.choose_reporter(now + RETRY_DELAY_S + 0.1) == first


def test_entries_that_no_agent_lists_any_more_are_forgotten():
    neighbor = _make()
    assert neighbor.choose_reporter(LISTED_MAX_AGE_S + 0.1) is None
    assert not neighbor.is_known


def test_load_of_a_cell_is_unknown_without_a_recent_summary():
    neighbor = _make()
    assert not neighbor.has_summary(0.0)
    neighbor.on_summary(1.0)
    assert neighbor.has_summary(1.0 + SUMMARY_MAX_AGE_S)
    assert not neighbor.has_summary(1.1 + SUMMARY_MAX_AGE_S)
