"""What one agent knows of a transfer: its own pieces and those of its peers."""

import math
from dataclasses import dataclass, field

from bamboolever.net.addresses import Address
from bamboolever.weights.pieces import PieceSet

# An agent that was silent for longer is not selected to import pieces. It is asked each
# 0.5 s; question and answer may each be 0.45 s late behind eight pieces on a full link.
PEER_TIMEOUT_S = 2.0
# A silent agent's imports are reassigned only after this time. A read that it has begun
# ends within it, and reading the piece again would waste the origin's bandwidth.
IMPORT_TIMEOUT_S = 3.0


# An agent that starts a transfer later than this after the version was named has been
# replaced as importer by then.
LATE_START_S = PEER_TIMEOUT_S


def starts_late(named_at: float | None, now: float) -> bool:
    """Return whether a transfer that starts now does so after the others' transfers.

    ``named_at`` is when the version was named, in seconds of the same clock, or None
    for an agent that looks up the newest version.
    """
    return named_at is None or now - named_at > LATE_START_S


@dataclass(frozen=True)
class Peer:
    """Address and region of an agent, and its group within the region."""

    address: Address
    region: str
    group: int = 0


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
    means something; None stands for all. ``peer_imports`` maps peers to the pieces that
    they are bringing into their groups. ``late`` are the peers that started long after
    the version was named, and ``is_late`` is true if this agent did: they import only
    if nobody else in their group does. ``progressed_at`` is when a piece was last seen
    for the first time, at this agent or a peer. ``is_origin_failing`` is true after a
    read from the origin failed, until one succeeds. ``completed_at`` maps peers that
    have all pieces to when this agent first heard so.
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
    peer_imports: dict[Address, int] = field(default_factory=dict)
    late: set[Address] = field(default_factory=set)
    is_late: bool = False
    progressed_at: float = -math.inf
    is_origin_failing: bool = False
    completed_at: dict[Address, float] = field(default_factory=dict)

    def update_peer(
        self,
        address: Address,
        bitmap: int,
        now: float,
        *,
        uploads: int = 0,
        imports: int = 0,
        is_late: bool = False,
    ) -> None:
        """Record a peer's verified pieces, its imports and its pending uploads."""
        self.last_heard_at[address] = now
        self.uploads[address] = uploads
        self.peer_imports[address] = imports
        (self.late.add if is_late else self.late.discard)(address)
        new = bitmap & ~self.peer_bitmaps.get(address, 0)
        self.peer_bitmaps[address] = bitmap
        if bitmap.bit_count() == self.pieces.count:
            self.completed_at.setdefault(address, now)
        else:
            self.completed_at.pop(address, None)
        number = 0
        while new:
            if new & 1 and number not in self.first_offered_at:
                self.first_offered_at[number] = self.progressed_at = now
            new >>= 1
            number += 1

    def note_heard(self, address: Address, now: float) -> None:
        """Record a sign of life of a peer other than its piece map.

        Ignored for one that transfers another version.
        """
        if self.last_heard_at.get(address, self.started_at) > -math.inf:
            self.last_heard_at[address] = now

    def imports_of_others(self, now: float) -> int:
        """Return the pieces that peers are bringing into their groups, as a bitmap.

        A peer's count until it was silent for `IMPORT_TIMEOUT_S`.
        """
        imports = 0
        for address, bitmap in self.peer_imports.items():
            if now - self.last_heard_at[address] < IMPORT_TIMEOUT_S:
                imports |= bitmap
        return imports

    def mark_inactive(self, address: Address) -> None:
        """Stop selecting a peer as importer, since it transfers another version.

        Pieces of this version that it still has may be fetched from it until they
        are overwritten.
        """
        self.last_heard_at[address] = -math.inf

    def watch(self, watched: frozenset[Address], now: float) -> None:
        """Replace the watched peers.

        One that was silent until now stays inactive until it is heard.
        """
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
