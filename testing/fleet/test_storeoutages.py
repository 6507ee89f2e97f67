"""What counts as an outage of the store, and what as a cut of one process's way."""

import pytest

from bamboolever.fleet.storeoutages import Gap, StoreOutages
from bamboolever.net.addresses import Address

HEARTBEAT_INTERVAL_S = 1.2
PEER, OTHER = Address("10.0.0.2", 7700), Address("10.0.0.3", 7700)


def _make(*, has_peers=False):
    outages = StoreOutages(HEARTBEAT_INTERVAL_S, lambda now: has_peers)
    outages.on_answered(10.0)
    return outages


def test_loss_for_longer_than_a_heartbeat_is_an_outage():
    outages = _make()
    outages.on_lost(10.1)
    assert not outages.is_away(11.1)
    assert outages.is_away(11.3)
    assert outages.on_reached(12.0) == Gap(10.0, 12.0)
    assert outages.last_outage(12.0) == Gap(10.0, 12.0)
    assert not outages.is_away(12.5)


def test_shorter_loss_is_no_outage():
    outages = _make()
    outages.on_lost(10.1)
    assert outages.on_reached(11.0) is None
    assert outages.last_outage(11.0) is None


def test_silence_of_a_process_that_was_killed_is_no_outage():
    """Guards against removals that wait whenever another entry takes over."""
    outages = _make(has_peers=True)
    assert outages.on_answered(11.6) is None
    assert not outages.is_away(13.0)


def test_store_that_answers_peers_is_not_away():
    outages = _make(has_peers=True)
    outages.on_lost(10.1)
    for at in (10.5, 11.0, 11.5, 12.0, 12.5):
        assert outages.on_answered(at) is None
        assert not outages.is_away(at + 0.4)
    assert outages.on_reached(12.8) is None


@pytest.mark.parametrize("is_lost_here", [False, True])
def test_loss_of_a_single_process_of_several_is_no_outage(is_lost_here):
    outages = _make(has_peers=True)
    if is_lost_here:
        outages.on_lost(10.1)
    else:
        outages.on_peer_lost(PEER, 10.1)
    assert not outages.is_away(12.0)
    assert outages.on_answered(12.5) is None


def test_loss_of_two_processes_is_an_outage():
    outages = _make(has_peers=True)
    outages.on_peer_lost(PEER, 10.1)
    outages.on_peer_lost(OTHER, 10.2)
    assert outages.is_away(11.5)
    assert outages.on_answered(12.0) == Gap(10.0, 12.0)


def test_loss_that_is_told_after_the_gap_counts_for_it():
    outages = _make(has_peers=True)
    outages.on_lost(10.1)
    outages.on_reached(12.0)
    assert outages.last_outage(12.0) is None
    outages.on_peer_lost(PEER, 12.0)
    assert outages.last_outage(12.1) == Gap(10.0, 12.0)


def test_earlier_loss_says_nothing_of_a_later_gap():
    outages = _make()
    outages.on_lost(10.1)
    outages.on_reached(10.5)
    outages.on_answered(11.0)
    assert not outages.is_away(13.0)
    assert outages.on_answered(13.0) is None


def test_answers_that_are_told_late_change_nothing():
    outages = _make()
    outages.on_lost(10.1)
    assert outages.on_answered(9.0) is None
    assert outages.is_away(11.3)
