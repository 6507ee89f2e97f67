"""Loads received from other entries."""

from bamboolever.calls.engine import EngineLoad
from bamboolever.fleet.messages import EntryLoad
from bamboolever.fleet.peers import PEER_REMOVAL_S, PEER_TIMEOUT_S, PeerLoads
from bamboolever.net.addresses import Address

OWN = Address("10.0.0.1", 7000)
PEER = Address("10.0.0.2", 7000)
OTHER = Address("10.0.0.3", 7000)


def _load(sequence, writing, started_ms=1):
    return EntryLoad("peer", started_ms, sequence, {9: EngineLoad(writing, 0, 0)})


def test_loads_of_peers_are_summed():
    peers = PeerLoads(OWN)
    peers.apply(PEER, _load(1, 2), 0.0)
    peers.apply(OTHER, _load(1, 3), 0.0)
    assert peers.total_load(9).writing == 5


def test_late_datagram_does_not_replace_newer_load():
    peers = PeerLoads(OWN)
    peers.apply(PEER, _load(2, 5), 0.0)
    peers.apply(PEER, _load(1, 1), 0.1)
    assert peers.total_load(9).writing == 5


def test_restarted_peer_may_reuse_lower_sequence_numbers():
    peers = PeerLoads(OWN)
    peers.apply(PEER, _load(50, 5), 0.0)
    peers.apply(PEER, _load(1, 1, started_ms=2), 0.1)
    assert peers.total_load(9).writing == 1


def test_silent_peer_has_no_load_and_is_removed():
    peers = PeerLoads(OWN)
    peers.apply(PEER, _load(1, 5), 0.0)
    assert peers.expire(PEER_TIMEOUT_S + 0.1) == {9}
    assert peers.total_load(9).writing == 0
    assert peers.recipients() == [PEER]
    peers.expire(PEER_REMOVAL_S + 0.1)
    assert peers.recipients() == []


def test_peer_that_is_heard_again_counts_once():
    peers = PeerLoads(OWN)
    peers.apply(PEER, _load(1, 5), 0.0)
    peers.expire(PEER_TIMEOUT_S + 0.1)
    peers.apply(PEER, _load(2, 3), 2.0)
    assert peers.total_load(9).writing == 3


def test_load_touches_only_the_upstreams_that_it_names():
    """Guards against a cost of a datagram that grows with the fleet.

    Each datagram once summed the loads of all entries at all upstreams: one core at 36
    entries and 65 upstreams.
    """
    peers = PeerLoads(OWN)
    for number in range(500):
        sender = Address("10.1.0.1", number)
        loads = {1000 + number: EngineLoad(1, 0, 0)}
        peers.apply(sender, EntryLoad(f"entry-{number}", 1, 1, loads), 0.0)
    update = EntryLoad("peer", 1, 1, {9: EngineLoad(2, 0, 0)})
    assert peers.apply(PEER, update, 0.0) == {9}
    update = EntryLoad("peer", 1, 2, {7: EngineLoad(2, 0, 0)})
    assert peers.apply(PEER, update, 0.0) == {7, 9}
    assert peers.total_load(9).active == 0


def test_own_address_is_not_a_peer():
    peers = PeerLoads(OWN)
    assert not peers.add_addresses((OWN,), 0.0)
    assert peers.add_addresses((PEER,), 0.0)
    assert peers.recipients() == [PEER]


def test_peer_readiness_is_unknown_after_the_timeout():
    peers = PeerLoads(OWN)
    assert peers.has_ready_peer(0.0) is None
    peers.apply(PEER, EntryLoad("peer", 1, 1, {}, is_ready=False), 0.0)
    assert peers.has_ready_peer(0.0) is False
    peers.apply(OTHER, EntryLoad("other", 1, 1, {}, is_ready=True), 0.0)
    assert peers.has_ready_peer(0.0) is True
    assert peers.has_ready_peer(PEER_TIMEOUT_S + 0.1) is None


def test_peers_are_told_of_a_new_cell_before_they_are_dropped():
    """Guards against entries that knew no peer for seconds after their cell changed."""
    peers = PeerLoads(OWN)
    peers.apply(PEER, _load(1, 5), 0.0)
    peers.apply(OTHER, _load(1, 3), 0.0)
    peers.on_cell_changed()
    assert peers.recipients() == [PEER, OTHER]
    assert peers.total_load(9).writing == 0
    assert peers.live_addresses(0.1) == []
    assert peers.apply(PEER, _load(2, 4), 0.1) == {9}
    assert peers.remove(OTHER) == set()
    assert peers.remove(PEER) == {9}
    assert peers.recipients() == []
