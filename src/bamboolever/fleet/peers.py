"""Tracks the load that the other entries have at each upstream.

Takes the load datagrams of other entries and the entry addresses that agents report.
Returns the summed load of the others at an upstream, the addresses to send this
entry's load to, and whether another entry is ready.

Load pattern: several entries share the same engines. Each sends its load at each
upstream to the others of its cell, the peers, so that together they fill the slots
without exceeding them. Entries of other cells, the guests, tell one entry of the cell
the load that they have there; that entry passes it on as a part of its own.

The sums are kept, not recounted: a datagram costs what it names.
"""

from dataclasses import dataclass
from typing import final

from bamboolever.calls.engine import EngineLoad
from bamboolever.fleet.messages import EntryLoad
from bamboolever.net.addresses import Address

# The load of an entry that sent nothing for longer counts as zero.
PEER_TIMEOUT_S = 1.5
# A peer that sent nothing for longer is removed and is sent no more loads.
PEER_REMOVAL_S = 15.0


@dataclass
class _Peer:
    """Another entry; ``is_counted`` while its load is part of the sums."""

    last_heard_at: float
    load: EntryLoad | None = None
    is_counted: bool = False


@dataclass(frozen=True)
class LoadReceipt:
    """The last load received from a peer, by its start and sequence number."""

    started_ms: int
    sequence: int
    received_at: float


class LoadTable:
    """Latest load of each other entry by address, and their sums by upstream.

    Times are seconds of the caller's clock. Upstreams are named by `upstream_key`.
    """

    def __init__(self) -> None:
        self._peers: dict[Address, _Peer] = {}
        self._totals: dict[int, EngineLoad] = {}

    @property
    def loads(self) -> dict[int, EngineLoad]:
        """The summed load at each upstream where there is any."""
        return self._totals

    def load_of(self, address: Address, key: int) -> EngineLoad:
        """Return the load of one entry at an upstream."""
        peer = self._peers.get(address)
        if peer is None or peer.load is None or not peer.is_counted:
            return EngineLoad()
        return peer.load.loads.get(key, EngineLoad())

    def total_load(self, key: int) -> EngineLoad:
        """Return the summed load of all entries at an upstream."""
        return self._totals.get(key, EngineLoad())

    def apply(self, sender: Address, load: EntryLoad, now: float) -> set[int]:
        """Replace an entry's load unless a newer one is known.

        Returns the upstreams whose sum may have changed.
        """
        peer = self._peers.setdefault(sender, _Peer(now))
        known = peer.load
        if known is not None and _is_older(load, known):
            return set()
        old = known.loads if known is not None and peer.is_counted else {}
        new = load.loads
        peer.load = load
        peer.last_heard_at = now
        peer.is_counted = True
        changed = {
            key for key in old.keys() | new.keys() if old.get(key) != new.get(key)
        }
        for key in changed:
            if key in old:
                self._add(key, old[key], -1)
            if key in new:
                self._add(key, new[key], 1)
        return changed

    def expire(self, now: float) -> set[int]:
        """Take silent entries out of the sums; remove those long silent.

        Returns the upstreams whose sum may have changed.
        """
        changed: set[int] = set()
        for address, peer in list(self._peers.items()):
            if now - peer.last_heard_at > PEER_TIMEOUT_S:
                changed |= self._stop_counting(peer)
            if now - peer.last_heard_at > PEER_REMOVAL_S:
                del self._peers[address]
        return changed

    def clear(self) -> None:
        """Forget all entries."""
        self._peers.clear()
        self._totals.clear()

    def remove(self, address: Address) -> set[int]:
        """Forget an entry; return the upstreams whose sum may have changed."""
        peer = self._peers.pop(address, None)
        return set() if peer is None else self._stop_counting(peer)

    def _stop_counting(self, peer: _Peer) -> set[int]:
        if peer.load is None or not peer.is_counted:
            return set()
        peer.is_counted = False
        for key, engine_load in peer.load.loads.items():
            self._add(key, engine_load, -1)
        return set(peer.load.loads)

    def _add(self, key: int, load: EngineLoad, sign: int) -> None:
        known = self._totals.get(key, EngineLoad())
        total = EngineLoad(
            known.writing + sign * load.writing,
            known.waiting + sign * load.waiting,
            known.waiting_tokens + sign * load.waiting_tokens,
        )
        if total.active or total.waiting_tokens:
            self._totals[key] = total
        else:
            self._totals.pop(key, None)


@final
class PeerLoads(LoadTable):
    """Loads of the other entries of this entry's cell.

    ``own_address`` is this entry's.
    """

    def __init__(self, own_address: Address):
        super().__init__()
        self._own_address = own_address

    def on_cell_changed(self) -> None:
        """Forget the loads of all entries, but not their addresses.

        They hear of this entry's new cell, and tell theirs, with the next loads.
        """
        for peer in self._peers.values():
            peer.load = None
            peer.is_counted = False
        self._totals.clear()

    def recipients(self) -> list[Address]:
        """Return the entries to send this entry's load to."""
        return list(self._peers)

    def live_addresses(self, now: float) -> list[Address]:
        """Return the peers that sent a load within `PEER_TIMEOUT_S`."""
        return [
            address
            for address, peer in self._peers.items()
            if peer.load is not None and now - peer.last_heard_at <= PEER_TIMEOUT_S
        ]

    def store_watchers(self, now: float) -> list[Address]:
        """Return the live peers that have not lost the store."""
        return [
            address
            for address in self.live_addresses(now)
            if not self._has_lost_store(address)
        ]

    def lost_watchers(self, now: float) -> frozenset[Address]:
        """Return the live peers that have lost the store."""
        live = self.live_addresses(now)
        return frozenset(each for each in live if self._has_lost_store(each))

    def _has_lost_store(self, address: Address) -> bool:
        load = self._peers[address].load
        return load is not None and load.has_lost_store

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

    def receipt(self, address: Address) -> LoadReceipt | None:
        """Return which load of a peer was received last, and when."""
        peer = self._peers.get(address)
        if peer is None or peer.load is None:
            return None
        load = peer.load
        return LoadReceipt(load.started_ms, load.sequence, peer.last_heard_at)

    def add_addresses(self, addresses: tuple[Address, ...], now: float) -> bool:
        """Add the entries that an agent reports; return whether any is new."""
        new = [
            address
            for address in addresses
            if address not in self._peers and address != self._own_address
        ]
        for address in new:
            self._peers[address] = _Peer(now)
        return bool(new)

    def apply(self, sender: Address, load: EntryLoad, now: float) -> set[int]:
        """Replace a peer's load unless a newer one is known."""
        if sender == self._own_address:
            return set()
        return super().apply(sender, load, now)


def _is_older(load: EntryLoad, known: EntryLoad) -> bool:
    return (load.started_ms, load.sequence) <= (known.started_ms, known.sequence)
