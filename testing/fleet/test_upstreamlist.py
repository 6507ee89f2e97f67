"""The list of upstreams during and after outages of the store."""

import pytest
from sitebuilders import make_record

from bamboolever.fleet.upstreams import REMOVAL_DELAY_S, UpstreamList


def _ids(upstreams, now):
    return {record.instance_id for record in upstreams.records(now)}


def _make(*names):
    upstreams = UpstreamList()
    upstreams.apply_listing([make_record(name) for name in names], 0.0)
    return upstreams


def test_removed_upstream_is_dropped_at_once():
    upstreams = _make("a", "b")
    upstreams.remove("a", 1.0)
    assert _ids(upstreams, 1.0) == {"b"}


def test_listing_without_an_upstream_removes_it():
    upstreams = _make("a", "b")
    upstreams.apply_listing([make_record("b")], 1.0)
    assert _ids(upstreams, 1.0) == {"b"}


def test_upstream_that_expired_in_an_outage_may_be_listed_again():
    upstreams = _make("a", "b")
    upstreams.set_store_reachable(False, 1.0)
    upstreams.set_store_reachable(True, 5.0)
    upstreams.apply_listing([make_record("b")], 5.0)
    assert _ids(upstreams, 5.1) == {"a", "b"}
    upstreams.put(make_record("a"))
    assert _ids(upstreams, 5.0 + REMOVAL_DELAY_S) == {"a", "b"}


def test_upstream_still_missing_after_the_delay_is_removed():
    upstreams = _make("a", "b")
    upstreams.set_store_reachable(False, 1.0)
    upstreams.set_store_reachable(True, 5.0)
    upstreams.apply_listing([make_record("b")], 5.0)
    assert _ids(upstreams, 5.0 + REMOVAL_DELAY_S) == {"b"}


def test_draining_upstream_is_removed_at_once_even_after_an_outage():
    upstreams = UpstreamList()
    upstreams.apply_listing([make_record("a", is_draining=True)], 0.0)
    upstreams.set_store_reachable(False, 1.0)
    upstreams.set_store_reachable(True, 5.0)
    upstreams.remove("a", 5.0)
    assert _ids(upstreams, 5.0) == set()


def test_restored_copy_does_not_bring_back_an_older_record():
    """The copy of a restored store lists again what was removed or changed since."""
    upstreams = UpstreamList()
    upstreams.apply_listing(
        [make_record("a", heartbeat=7), make_record("b", heartbeat=7)], 0.0
    )
    upstreams.put(make_record("a", heartbeat=9, is_draining=True))
    upstreams.remove("b", 1.0)
    upstreams.on_store_restored(2.0)
    copy = [make_record("a", heartbeat=8), make_record("b", heartbeat=6)]
    upstreams.apply_listing(copy, 2.0)
    assert _ids(upstreams, 2.1) == {"a"}
    assert upstreams.get("a", 2.1).is_draining
    upstreams.put(make_record("a", heartbeat=12))
    assert upstreams.get("a", 2.1).is_draining


def test_removed_upstream_that_registers_again_is_listed():
    upstreams = UpstreamList()
    upstreams.apply_listing([make_record("a", heartbeat=7)], 0.0)
    upstreams.remove("a", 1.0)
    upstreams.put(make_record("a", heartbeat=8))
    assert _ids(upstreams, 1.0) == {"a"}
    upstreams.remove("a", 2.0)
    upstreams.put(make_record("a", heartbeat=1, started_ms=2))
    assert _ids(upstreams, 2.0) == {"a"}


def test_upstream_that_a_restored_copy_lacks_is_kept_until_it_is_written_again():
    upstreams = _make("a", "b")
    upstreams.on_store_restored(5.0)
    upstreams.apply_listing([make_record("b")], 5.0)
    assert _ids(upstreams, 5.1) == {"a", "b"}
    assert _ids(upstreams, 5.0 + REMOVAL_DELAY_S) == {"b"}


def test_short_loss_of_the_store_defers_no_removal():
    """Guards against requests to an upstream that left as one way was cut."""
    upstreams = _make("a", "b")
    upstreams.set_store_reachable(False, 1.0)
    upstreams.set_store_reachable(True, 1.7)
    upstreams.remove("a", 1.7)
    assert _ids(upstreams, 1.7) == {"b"}


def test_short_losses_in_a_row_do_not_put_a_removal_off_again():
    upstreams = _make("a", "b")
    upstreams.set_store_reachable(False, 1.0)
    upstreams.set_store_reachable(True, 3.0)
    upstreams.remove("a", 3.0)
    for start in (3.2, 4.9):
        upstreams.set_store_reachable(False, start)
        upstreams.set_store_reachable(True, start + 1.6)
    assert _ids(upstreams, 6.5) == {"b"}


def test_long_outage_soon_after_another_puts_a_removal_off_again():
    upstreams = _make("a", "b")
    upstreams.set_store_reachable(False, 1.0)
    upstreams.set_store_reachable(True, 5.0)
    upstreams.remove("a", 5.0)
    upstreams.set_store_reachable(False, 6.0)
    assert _ids(upstreams, 9.0) == {"a", "b"}
    upstreams.set_store_reachable(True, 10.0)
    assert _ids(upstreams, 10.1) == {"a", "b"}
    assert upstreams.deferred_removal_at(10.1) == pytest.approx(10.0 + REMOVAL_DELAY_S)


def test_removal_seen_while_the_store_is_away_waits_for_its_return():
    upstreams = _make("a", "b")
    upstreams.set_store_reachable(False, 1.0)
    upstreams.remove("a", 4.0)
    assert upstreams.is_removal_deferred("a")
    assert upstreams.deferred_removal_at(4.0) == 4.0 + REMOVAL_DELAY_S
    assert _ids(upstreams, 9.0) == {"a", "b"}
    upstreams.set_store_reachable(True, 9.0)
    assert upstreams.deferred_removal_at(9.0) == 9.0 + REMOVAL_DELAY_S
    assert _ids(upstreams, 9.0 + REMOVAL_DELAY_S) == {"b"}


def test_restored_copy_puts_a_removal_off_again():
    upstreams = _make("a", "b")
    upstreams.set_store_reachable(False, 1.0)
    upstreams.set_store_reachable(True, 5.0)
    upstreams.remove("a", 5.0)
    upstreams.on_store_restored(7.0)
    assert _ids(upstreams, 8.0) == {"a", "b"}
    assert _ids(upstreams, 7.0 + REMOVAL_DELAY_S) == {"b"}
