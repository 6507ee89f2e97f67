"""What the other entries have at the upstreams.

Load pattern: several entries share the same engines. Each tells the others its
requests at each upstream, so that together they fill the slots and not more.
"""

from dataclasses import dataclass

from bamboolever.calls.engine import EngineLoad
from bamboolever.fleet.exchange import EntryLoad
from bamboolever.net.addresses import Address

# A peer that was silent for this long is taken to have no requests.
PEER_SILENCE_S = 1.5
# A peer that was silent for this long is no longer told anything.
PEER_FORGET_S = 15.0


@dataclass
class _Peer:
    heard_at: float
    load: EntryLoad | None = None


class PeerLoads:
    """Latest load of each other entry, by address."""

    def __init__(self, own: Address):
        self._own = own
        self._peers: dict[Address, _Peer] = {}

    def recipients(self, now: float) -> list[Address]:
        """Return the entries that are told this entry's load."""
        lost = [
            address
            for address, peer in self._peers.items()
            if now - peer.heard_at > PEER_FORGET_S
        ]
        for address in lost:
            del self._peers[address]
        return list(self._peers)

    def has_ready_peer(self, now: float) -> bool | None:
        """Tell whether another entry is ready; None where none was heard lately."""
        heard = [
            peer.load.is_ready
            for peer in self._peers.values()
            if peer.load is not None and now - peer.heard_at <= PEER_SILENCE_S
        ]
        return any(heard) if heard else None

    def add_addresses(self, addresses: tuple[Address, ...], now: float) -> bool:
        """Note entries that an agent knows; return whether any is new."""
        new = [item for item in addresses if item not in self._peers]
        for address in new:
            if address != self._own:
                self._peers[address] = _Peer(now)
        return any(address != self._own for address in new)

    def apply(self, sender: Address, load: EntryLoad, now: float) -> None:
        """Take over a peer's load unless a newer one is known."""
        if sender == self._own:
            return
        peer = self._peers.setdefault(sender, _Peer(now))
        known = peer.load
        is_older = known is not None and (
            (load.started_ms, load.sequence) <= (known.started_ms, known.sequence)
        )
        if is_older:
            return
        peer.load = load
        peer.heard_at = now

    def load_at(self, key: int, now: float) -> EngineLoad:
        """Return the peers' requests at an upstream, summed."""
        writing = waiting = tokens = 0
        for peer in self._peers.values():
            if peer.load is None or now - peer.heard_at > PEER_SILENCE_S:
                continue
            use = peer.load.loads.get(key)
            if use is not None:
                writing += use.writing
                waiting += use.waiting
                tokens += use.waiting_tokens
        return EngineLoad(writing, waiting, tokens)
