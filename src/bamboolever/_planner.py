"""What one agent knows of a burst, and the interface of its policies.

Sets of chunks are integers used as bitmaps: bit ``i`` stands for chunk ``i``.
"""

import itertools
from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import final

from bamboolever._grants import SegmentGrants, count_segments, segment_of
from bamboolever._manifest import Manifest
from bamboolever._subset import score_member

SMOOTHING = 0.3


@dataclass(frozen=True)
class PeerLocation:
    """Where an instance is."""

    instance_id: str
    region: str
    availability_zone: str


@dataclass
class PeerView:
    """An open connection to a peer and what the peer said it holds."""

    location: PeerLocation
    held_chunks: int = 0
    uploads: int = 0
    in_flight: int = 0
    is_banned: bool = False
    retry_at: float = 0.0


@dataclass(frozen=True)
class FetchFromPeer:
    """Ask a peer for one chunk."""

    index: int
    peer_id: str


@dataclass(frozen=True)
class FetchFromOrigin:
    """Read one chunk from the origin."""

    index: int


@dataclass(frozen=True)
class RequestGrant:
    """Ask the platform for leave to bring a segment into this region."""

    segment: int
    missing: tuple[int, ...]
    dead_holders: frozenset[str]
    is_origin_copy_wanted: bool = True


Action = FetchFromPeer | FetchFromOrigin | RequestGrant


@dataclass
class GrantState:
    """What this agent knows of one segment's grants."""

    grants: SegmentGrants = field(default_factory=SegmentGrants)
    is_pending: bool = False
    retry_at: float = 0.0
    # Whether the origin's cap leaves no further copy of this segment.
    is_copy_refused: bool = False
    # Chunk indexes that this agent may still read from the origin, once each.
    origin_budget: set[int] = field(default_factory=set)


@final
class TransferView:
    """Everything a policy may look at; changed only by its owner."""

    def __init__(
        self,
        location: PeerLocation,
        manifest: Manifest,
        *,
        aim: str = "time-to-n",
        origin_copies: int = 4,
        started_at: float = 0.0,
    ):
        self.location = location
        self.manifest = manifest
        self.aim = aim
        self.origin_copies = origin_copies
        self.started_at = started_at
        #: Smoothed seconds from asking for a chunk to having it, by source.
        self.origin_fetch_s: float | None = None
        self.import_fetch_s: float | None = None
        self.held_chunks = 0
        self.in_flight: dict[int, str] = {}
        self.peers: dict[str, PeerView] = {}
        self.fleet: dict[str, PeerLocation] = {location.instance_id: location}
        #: Grows with each change of the fleet, so that policies may cache.
        self.fleet_version = 0
        self._own_ranks: dict[str, int] = {}
        self._region_members: list[str] | None = None
        #: Members that were in the fleet once and are no longer.
        self.departed: set[str] = set()
        self.chunk_count = len(manifest.chunks)
        self.segment_count = count_segments(self.chunk_count)
        self.segment_masks = [0] * self.segment_count
        for index in range(self.chunk_count):
            segment = segment_of(index, self.chunk_count)
            self.segment_masks[segment] |= 1 << index
        self.grants = [GrantState() for _ in range(self.segment_count)]
        self.progress_at = [started_at] * self.segment_count
        self.all_chunks = (1 << self.chunk_count) - 1

    @property
    def is_complete(self) -> bool:
        """Whether every chunk is held."""
        return self.held_chunks == self.all_chunks

    @property
    def missing(self) -> int:
        """Bitmap of the chunks neither held nor being fetched."""
        busy = 0
        for index in self.in_flight:
            busy |= 1 << index
        return self.all_chunks & ~self.held_chunks & ~busy

    def set_fleet(self, fleet: dict[str, PeerLocation]) -> None:
        """Take the fleet as it is seen now, this agent included."""
        if fleet == self.fleet:
            return
        self._own_ranks.clear()
        self._region_members = None
        self.fleet_version += 1
        self.departed |= set(self.fleet)
        self.departed -= set(fleet)
        self.fleet = fleet

    def add_chunk(self, index: int, now: float) -> None:
        """Note a verified chunk."""
        self.held_chunks |= 1 << index
        self.progress_at[segment_of(index, self.chunk_count)] = now

    def copy_fetch_times(self, previous: "TransferView") -> None:
        """Begin with what an earlier burst measured of the links."""
        self.origin_fetch_s = previous.origin_fetch_s
        self.import_fetch_s = previous.import_fetch_s

    def on_origin_fetched(self, seconds: float) -> None:
        """Note how long a read from the origin took."""
        self.origin_fetch_s = _smooth(self.origin_fetch_s, seconds)

    def on_imported(self, seconds: float) -> None:
        """Note how long a fetch from another region took."""
        self.import_fetch_s = _smooth(self.import_fetch_s, seconds)

    def region_members(self) -> list[str]:
        """Return the ids of the fleet's members in this region."""
        if self._region_members is None:
            self._region_members = [
                location.instance_id
                for location in self.fleet.values()
                if location.region == self.location.region
            ]
        return self._region_members

    def own_rank(self, key: str) -> int:
        """Return this agent's rank for ``key`` in its region, 0 the first."""
        rank = self._own_ranks.get(key)
        if rank is None:
            own = (
                score_member(key, self.location.instance_id),
                self.location.instance_id,
            )
            rank = sum(
                (score_member(key, member), member) > own
                for member in self.region_members()
            )
            self._own_ranks[key] = rank
        return rank

    def local_peers(self) -> list[PeerView]:
        """Return the connected peers of this region that are not banned."""
        return [
            peer
            for peer in self.peers.values()
            if peer.location.region == self.location.region and not peer.is_banned
        ]


def _smooth(known: float | None, sample: float) -> float:
    if known is None:
        return sample
    return known + SMOOTHING * (sample - known)


def iterate_bits(bitmap: int) -> Iterator[int]:
    """Yield the indexes of the set bits, lowest first."""
    while bitmap:
        lowest = bitmap & -bitmap
        yield lowest.bit_length() - 1
        bitmap ^= lowest


def take_bits(bitmap: int, start: int, limit: int) -> list[int]:
    """Return up to ``limit`` set bits, from ``start`` on and then from 0."""
    upper = bitmap >> start << start
    taken = list(itertools.islice(iterate_bits(upper), limit))
    lower = bitmap ^ upper
    return taken + list(itertools.islice(iterate_bits(lower), limit - len(taken)))


class DistributionPolicy(ABC):
    """Decides where an agent gets its chunks; pure, so easy to replace."""

    def __init__(self, seed: int = 0):
        """Take the seed of the policy's random choices."""
        self._seed = seed

    @abstractmethod
    def wanted_peers(self, view: TransferView) -> list[str]:
        """Return the ids of the instances to hold connections to."""

    @abstractmethod
    def plan(self, view: TransferView, now: float) -> list[Action]:
        """Return the next actions; the owner applies each of them."""
