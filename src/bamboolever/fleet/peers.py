"""Tracks the load that the other entries have at each upstream.

Takes the load datagrams of the other entries, the peers, and the entry addresses that
agents report. Returns the peers' summed load at an upstream, the addresses to send
this entry's load to, and whether another entry is ready.

Load pattern: several entries share the same engines. Each sends its load at each
upstream to the others, so that together they fill the slots without exceeding them.
"""

from dataclasses import dataclass

from bamboolever.calls.engine import EngineLoad
from bamboolever.fleet.exchange import EntryLoad
from bamboolever.net.addresses import Address

# The load of a peer that sent nothing for longer counts as zero.
PEER_TIMEOUT_S = 1.5
# A peer that sent nothing for longer is removed and is sent no more loads.
PEER_REMOVAL_S = 15.0


@dataclass
class _Peer:
    last_heard_at: float
    load: EntryLoad | None = None


class PeerLoads:
    """Latest load of each other entry, by address.

    Times are seconds of the caller's clock. ``own_address`` is this entry's.
    """

    def __init__(self, own_address: Address):
        self._own_address = own_address
        self._peers: dict[Address, _Peer] = {}

    def recipients(self, now: float) -> list[Address]:
        """Return the entries to send this entry's load to.

        Removes those that sent nothing for longer than `PEER_REMOVAL_S`.
        """
        expired = [
            address
            for address, peer in self._peers.items()
            if now - peer.last_heard_at > PEER_REMOVAL_S
        ]
        for address in expired:
            del self._peers[address]
        return list(self._peers)

    def has_ready_peer(self, now: float) -> bool | None:
        """Return whether another entry is ready.

        Returns None if no peer sent a load within `PEER_TIMEOUT_S`.
        """
        readiness = [
            peer.load.is_ready
            for peer in self._peers.values()
            if peer.load is not None and now - peer.last_heard_at <= PEER_TIMEOUT_S
        ]
        return any(readiness) if readiness else None

    def add_addresses(self, addresses: tuple[Address, ...], now: float) -> bool:
        """Add the entries that an agent reports; return whether any is new."""
        new = [reported for reported in addresses if reported not in self._peers]
        for address in new:
            if address != self._own_address:
                self._peers[address] = _Peer(now)
        return any(address != self._own_address for address in new)

    def apply(self, sender: Address, load: EntryLoad, now: float) -> None:
        """Replace a peer's load unless a newer one is known."""
        if sender == self._own_address:
            return
        peer = self._peers.setdefault(sender, _Peer(now))
        known = peer.load
        is_older = known is not None and (
            (load.started_ms, load.sequence) <= (known.started_ms, known.sequence)
        )
        if is_older:
            return
        peer.load = load
        peer.last_heard_at = now

    def total_load(self, key: int, now: float) -> EngineLoad:
        """Return the peers' summed load at the upstream with this `upstream_key`.

        Leaves out peers that sent nothing for longer than `PEER_TIMEOUT_S`.
        """
        writing = waiting = tokens = 0
        for peer in self._peers.values():
            if peer.load is None or now - peer.last_heard_at > PEER_TIMEOUT_S:
                continue
            engine_load = peer.load.loads.get(key)
            if engine_load is not None:
                writing += engine_load.writing
                waiting += engine_load.waiting
                tokens += engine_load.waiting_tokens
        return EngineLoad(writing, waiting, tokens)
