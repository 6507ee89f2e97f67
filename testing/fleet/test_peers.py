"""Loads received from other entries."""

from bamboolever.calls.engine import EngineLoad
from bamboolever.fleet.exchange import EntryLoad
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
    assert peers.total_load(9, 0.0).writing == 5


def test_late_datagram_does_not_replace_newer_load():
    peers = PeerLoads(OWN)
    peers.apply(PEER, _load(2, 5), 0.0)
    peers.apply(PEER, _load(1, 1), 0.1)
    assert peers.total_load(9, 0.1).writing == 5


def test_restarted_peer_may_reuse_lower_sequence_numbers():
    peers = PeerLoads(OWN)
    peers.apply(PEER, _load(50, 5), 0.0)
    peers.apply(PEER, _load(1, 1, started_ms=2), 0.1)
    assert peers.total_load(9, 0.1).writing == 1


def test_silent_peer_has_no_load_and_is_removed():
    peers = PeerLoads(OWN)
    peers.apply(PEER, _load(1, 5), 0.0)
    assert peers.total_load(9, PEER_TIMEOUT_S + 0.1).writing == 0
    assert peers.recipients(PEER_REMOVAL_S + 0.1) == []


def test_own_address_is_not_a_peer():
    peers = PeerLoads(OWN)
    assert not peers.add_addresses((OWN,), 0.0)
    assert peers.add_addresses((PEER,), 0.0)
    assert peers.recipients(0.0) == [PEER]


def test_peer_readiness_is_unknown_after_the_timeout():
    peers = PeerLoads(OWN)
    assert peers.has_ready_peer(0.0) is None
    peers.apply(PEER, EntryLoad("peer", 1, 1, {}, is_ready=False), 0.0)
    assert peers.has_ready_peer(0.0) is False
    peers.apply(OTHER, EntryLoad("other", 1, 1, {}, is_ready=True), 0.0)
    assert peers.has_ready_peer(0.0) is True
    assert peers.has_ready_peer(PEER_TIMEOUT_S + 0.1) is None
