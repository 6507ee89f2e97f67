"""What one agent knows of a transfer: its own pieces and those of its peers."""

import math
from dataclasses import dataclass, field

from bamboolever.net.addresses import Address
from bamboolever.weights.pieces import PieceSet

# An agent that was silent for longer is not selected to import pieces.
PEER_TIMEOUT_S = 1.6


@dataclass(frozen=True)
class Peer:
    """Address and region of an agent, and its group within the region."""

    address: Address
    region: str
    group: int = 0


@dataclass(frozen=True, order=True)
class Group:
    """A group of agents: a region, or one of the parts of a large region."""

    region: str
    number: int

    @classmethod
    def of(cls, peer: Peer) -> "Group":
        """Return the group of an agent."""
        return cls(peer.region, peer.group)


@dataclass
class SwarmView:
    """One agent's view of the transfer of a version.

    Times are seconds of the agent's clock. A source is the address of a peer, or None
    for the origin. ``peer_bitmaps`` maps peers to their verified pieces, ``in_flight``
    pieces to the source they are fetched from, ``backoff_until`` failed sources to
    when they may be used again, ``first_offered_at`` pieces to when any peer first had
    them, ``last_heard_at`` peers to when their pieces were last received, and
    ``uploads`` peers to the number of pieces that they are sending or have queued.
    ``watched`` are the peers that are asked for their pieces, so that their silence
    means something; None stands for all. ``silent_groups`` are the other groups of
    which no agent was heard while some were watched.
    """

    own: Peer
    peers: list[Peer]
    origin_region: str
    pieces: PieceSet
    started_at: float
    peer_bitmaps: dict[Address, int] = field(default_factory=dict)
    in_flight: dict[int, Address | None] = field(default_factory=dict)
    backoff_until: dict[Address | None, float] = field(default_factory=dict)
    first_offered_at: dict[int, float] = field(default_factory=dict)
    last_heard_at: dict[Address, float] = field(default_factory=dict)
    uploads: dict[Address, int] = field(default_factory=dict)
    watched: frozenset[Address] | None = None
    silent_groups: set[Group] = field(default_factory=set)

    def update_peer(
        self, address: Address, bitmap: int, now: float, *, uploads: int = 0
    ) -> None:
        """Record a peer's verified pieces and its number of pending uploads."""
        self.last_heard_at[address] = now
        if self.silent_groups:
            self.silent_groups -= self._groups_with(address)
        self.uploads[address] = uploads
        new = bitmap & ~self.peer_bitmaps.get(address, 0)
        self.peer_bitmaps[address] = bitmap
        number = 0
        while new:
            if new & 1:
                self.first_offered_at.setdefault(number, now)
            new >>= 1
            number += 1

    def mark_inactive(self, address: Address) -> None:
        """Stop selecting a peer as importer, since it transfers another version.

        Pieces of this version that it still has may be fetched from it until they
        are overwritten.
        """
        self.last_heard_at[address] = -math.inf

    def watch(self, watched: frozenset[Address], now: float) -> None:
        """Replace the watched peers.

        One that was silent until now stays inactive until it is heard, and so does a
        group of which all were.
        """
        self._note_silent_groups(now)
        for peer in self.peers:
            if peer.address in watched or peer.address not in (self.watched or ()):
                continue
            if not self.is_active(peer, now):
                self.mark_inactive(peer.address)
        for address in watched - (self.watched or frozenset()):
            heard_at = self.last_heard_at.get(address, self.started_at)
            if heard_at > -math.inf:
                # It was not asked before, so its silence meant nothing.
                self.last_heard_at[address] = now
        self.watched = watched

    def _note_silent_groups(self, now: float) -> None:
        watched = [peer for peer in self.peers if peer.address in (self.watched or ())]
        heard = {Group.of(peer) for peer in watched if self.is_active(peer, now)}
        heard.add(Group.of(self.own))
        self.silent_groups |= {Group.of(peer) for peer in watched} - heard

    def _groups_with(self, address: Address) -> set[Group]:
        return {Group.of(peer) for peer in self.peers if peer.address == address}

    def active_members(self, now: float) -> list[Peer]:
        """Return this agent and the peers that are not known to be silent."""
        return [self.own, *(peer for peer in self.peers if self.is_active(peer, now))]

    def is_active(self, peer: Peer, now: float) -> bool:
        """Return whether a peer was heard within `PEER_TIMEOUT_S`.

        One that is not watched is taken to be active, unless it is known to transfer
        another version.
        """
        heard_at = self.last_heard_at.get(peer.address, self.started_at)
        if self.watched is not None and peer.address not in self.watched:
            return heard_at > -math.inf
        return now - heard_at < PEER_TIMEOUT_S

    def is_available(self, source: Address | None, now: float) -> bool:
        """Return whether a source is not in backoff after a failed fetch."""
        return now >= self.backoff_until.get(source, 0.0)
