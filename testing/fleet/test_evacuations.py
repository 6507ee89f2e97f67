"""Since when zones are evacuated, and what that means for their upstreams."""

import pytest

from bamboolever.fleet.evacuations import Evacuations, ZoneUse
from bamboolever.fleet.storetimes import REWRITE_DELAY_S

BOUND_S = 5.0
HALF_S = BOUND_S / 2


def _make(*, confirmed=((1, 10, 100.0),)):
    evacuations = Evacuations(BOUND_S)
    for era, revision, as_of in confirmed:
        evacuations.confirm(era, revision, as_of)
    return evacuations


def test_zone_is_a_last_resort_at_first_and_then_closed():
    evacuations = _make()
    evacuations.put("zone-a", 11, 100.8)
    assert evacuations.use_of("zone-a", 100.8) is ZoneUse.LAST_RESORT
    assert evacuations.use_of("zone-a", 99.99 + HALF_S) is ZoneUse.LAST_RESORT
    assert evacuations.use_of("zone-a", 100.0 + HALF_S) is ZoneUse.CLOSED
    assert evacuations.use_of("zone-b", 200.0) is ZoneUse.FREE


def test_time_counts_from_when_the_evacuation_was_not_in_the_store():
    """Guards against a process that was suspended and counts from its waking."""
    evacuations = _make()
    evacuations.put("zone-a", 11, 108.0)
    assert evacuations.use_of("zone-a", 108.0) is ZoneUse.CLOSED


def test_response_of_another_kind_that_is_read_later_bounds_the_time():
    evacuations = _make()
    evacuations.put("zone-a", 15, 108.0)
    evacuations.confirm(1, 14, 107.0)
    assert evacuations.use_of("zone-a", 108.0) is ZoneUse.LAST_RESORT
    evacuations.confirm(1, 15, 108.0)
    assert evacuations.use_of("zone-a", 107.0 + HALF_S) is ZoneUse.CLOSED


@pytest.mark.parametrize("revision", [9, None])
def test_evacuation_of_unknown_begin_takes_full_effect_at_once(revision):
    evacuations = _make()
    evacuations.put("zone-a", revision, 100.5)
    assert evacuations.use_of("zone-a", 100.5) is ZoneUse.CLOSED


def test_process_that_starts_during_an_evacuation_uses_nothing_of_the_zone():
    evacuations = _make(confirmed=())
    evacuations.apply_listing({"zone-a": 11}, 100.0)
    evacuations.confirm(1, 20, 100.0)
    assert evacuations.use_of("zone-a", 100.0) is ZoneUse.CLOSED


def test_object_that_is_written_again_keeps_its_time():
    """Guards against an evacuation that never closes as it is written each second."""
    evacuations = _make()
    evacuations.put("zone-a", 11, 100.5)
    evacuations.confirm(1, 11, 102.0)
    evacuations.put("zone-a", 12, 102.1)
    assert evacuations.use_of("zone-a", 100.0 + HALF_S) is ZoneUse.CLOSED


def test_removed_and_renewed_within_a_second_begins_again():
    evacuations = _make()
    evacuations.put("zone-a", 11, 100.5)
    evacuations.confirm(1, 11, 110.0)
    evacuations.remove("zone-a", 110.2)
    assert evacuations.use_of("zone-a", 110.2) is ZoneUse.FREE
    evacuations.confirm(1, 12, 110.3)
    evacuations.put("zone-a", 13, 110.5)
    assert evacuations.use_of("zone-a", 110.5) is ZoneUse.LAST_RESORT
    assert evacuations.use_of("zone-a", 110.3 + HALF_S) is ZoneUse.CLOSED


def test_listing_ends_what_it_lacks():
    evacuations = _make()
    evacuations.apply_listing({"zone-a": 11, "zone-b": 12}, 100.5)
    evacuations.apply_listing({"zone-b": 12}, 101.0)
    assert evacuations.zones(101.0) == ["zone-b"]


def test_copy_of_the_store_that_lacks_an_evacuation_does_not_end_it():
    """Guards against a zone that is used until the evacuation is written again."""
    evacuations = _make()
    evacuations.put("zone-a", 11, 100.5)
    evacuations.on_store_restored(2, 110.0)
    evacuations.apply_listing({}, 110.1)
    assert evacuations.use_of("zone-a", 110.1) is ZoneUse.CLOSED
    evacuations.put("zone-a", 9, 111.0)
    assert evacuations.use_of("zone-a", 120.0) is ZoneUse.CLOSED


def test_evacuation_that_is_not_written_again_after_a_restore_ends():
    evacuations = _make()
    evacuations.put("zone-a", 11, 100.5)
    evacuations.on_store_restored(2, 110.0)
    evacuations.apply_listing({}, 110.1)
    assert evacuations.is_any(109.9 + REWRITE_DELAY_S)
    assert evacuations.use_of("zone-a", 110.0 + REWRITE_DELAY_S) is ZoneUse.FREE
    assert not evacuations.is_any(110.0 + REWRITE_DELAY_S)


def test_copy_of_the_store_with_an_evacuation_that_had_ended_closes_the_zone():
    evacuations = _make()
    evacuations.put("zone-a", 11, 100.5)
    evacuations.remove("zone-a", 105.0)
    evacuations.on_store_restored(2, 110.0)
    evacuations.apply_listing({"zone-a": 11}, 110.1)
    assert evacuations.use_of("zone-a", 110.1) is ZoneUse.CLOSED


def test_revisions_before_a_restore_say_nothing_of_what_follows():
    evacuations = _make()
    evacuations.put("zone-a", 11, 100.5)
    evacuations.on_store_restored(2, 101.0)
    evacuations.confirm(2, 5, 110.0)
    assert evacuations.use_of("zone-a", 110.0) is ZoneUse.CLOSED


def test_silent_store_leaves_evacuations_as_they_are():
    evacuations = _make()
    evacuations.put("zone-a", 11, 100.5)
    assert evacuations.use_of("zone-a", 10_000.0) is ZoneUse.CLOSED


def test_begin_and_end_are_told_once():
    evacuations = _make()
    evacuations.put("zone-a", 11, 100.5)
    evacuations.put("zone-a", 11, 100.6)
    evacuations.remove("zone-a", 103.0)
    evacuations.remove("zone-a", 103.0)
    events = evacuations.take_events()
    assert [(each.zone, each.is_begun) for each in events] == [
        ("zone-a", True),
        ("zone-a", False),
    ]
    assert events[0].age_s == pytest.approx(0.5)
    assert evacuations.take_events() == []
