"""One agent's view of a weight transfer, and the interface of distribution policies.

A policy decides which chunks of a version the agent fetches next, and from where. It
takes a `TransferView`: the chunks that this agent and its peers hold, the fetches in
flight and the grants as last read. It returns actions, which the agent carries out.

Load pattern: all instances of a service fetch a new version at the same time. The
origin and the links between regions are slow, so each chunk should cross them only a
few times.

Sets of chunks are integers used as bitmaps: bit ``i`` stands for chunk ``i``. Times
are seconds of the agent's clock.
"""

import itertools
from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import final

from bamboolever._grants import SegmentGrants, count_segments, segment_of
from bamboolever._manifest import Manifest
from bamboolever._subset import score_member

#: Weight of the newest sample in the average fetch times.
SMOOTHING = 0.3


@dataclass(frozen=True)
class PeerLocation:
    """Id, region and availability zone of an instance."""

    instance_id: str
    region: str
    availability_zone: str


@dataclass
class PeerView:
    """State of a peer to which this agent has an open connection.

    The peer announces ``held_chunks``, the bitmap of the chunks that it holds, and
    ``uploads``, the number of chunks that it has sent. ``in_flight`` is the number of
    this agent's fetches from it. A peer that sent a corrupt chunk is banned. After a
    failure, no chunk is requested from the peer before ``retry_at``.
    """

    location: PeerLocation
    held_chunks: int = 0
    uploads: int = 0
    in_flight: int = 0
    is_banned: bool = False
    retry_at: float = 0.0


@dataclass(frozen=True)
class FetchFromPeer:
    """Request the chunk ``index`` from a peer."""

    index: int
    peer_id: str


@dataclass(frozen=True)
class FetchFromOrigin:
    """Read the chunk ``index`` from the origin."""

    index: int


@dataclass(frozen=True)
class RequestGrant:
    """Ask the platform for the grant to bring a segment into this region.

    ``missing`` are the indexes of the chunks to bring in, ``dead_holders`` the holders
    of earlier grants that are taken for dead. With ``is_origin_copy_wanted`` the grant
    is to read the chunks from the origin, otherwise from another region.
    """

    segment: int
    missing: tuple[int, ...]
    dead_holders: frozenset[str]
    is_origin_copy_wanted: bool = True


Action = FetchFromPeer | FetchFromOrigin | RequestGrant


@dataclass
class GrantState:
    """The grants of one segment as this agent last read them.

    ``is_pending`` is true while a request for a grant runs; ``retry_at`` is when the
    next one may be sent.
    """

    grants: SegmentGrants = field(default_factory=SegmentGrants)
    is_pending: bool = False
    retry_at: float = 0.0
    # Whether the last request wanted an origin copy and was denied it, as when the
    # cap leaves none.
    is_origin_copy_denied: bool = False
    # Indexes of chunks that this agent may still read from the origin, once each.
    origin_budget: set[int] = field(default_factory=set)


@final
class TransferView:
    """The state from which a policy plans; policies do not change it.

    ``aim`` and ``origin_copies`` are settings of the service's distribution.
    ``held_chunks`` is the bitmap of the chunks that this agent holds, and
    ``progress_at`` the time of each segment's last progress. ``in_flight`` maps the
    chunks being fetched to their source, ``peers`` the ids of connected peers to their
    state and ``fleet`` the ids of all instances to their locations.
    """

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
        #: Average seconds from the request of a chunk to its arrival, by source.
        self.origin_fetch_s: float | None = None
        self.import_fetch_s: float | None = None
        self.held_chunks = 0
        self.in_flight: dict[int, str] = {}
        self.peers: dict[str, PeerView] = {}
        self.fleet: dict[str, PeerLocation] = {location.instance_id: location}
        #: Grows with each change of the fleet; policies use it to validate caches.
        self.fleet_version = 0
        self._own_ranks: dict[str, int] = {}
        self._region_members: list[str] | None = None
        #: Ids of instances that were in the fleet earlier and no longer are.
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
        """Whether this agent holds every chunk."""
        return self.held_chunks == self.all_chunks

    @property
    def missing(self) -> int:
        """Bitmap of the chunks that are neither held nor in flight."""
        requested = 0
        for index in self.in_flight:
            requested |= 1 << index
        return self.all_chunks & ~self.held_chunks & ~requested

    def set_fleet(self, fleet: dict[str, PeerLocation]) -> None:
        """Replace the fleet; ``fleet`` includes this agent."""
        if fleet == self.fleet:
            return
        self._own_ranks.clear()
        self._region_members = None
        self.fleet_version += 1
        self.departed |= set(self.fleet)
        self.departed -= set(fleet)
        self.fleet = fleet

    def add_chunk(self, index: int, now: float) -> None:
        """Mark a chunk as held after its digest was verified."""
        self.held_chunks |= 1 << index
        self.progress_at[segment_of(index, self.chunk_count)] = now

    def copy_fetch_times(self, previous: "TransferView") -> None:
        """Take over the average fetch times of an earlier transfer."""
        self.origin_fetch_s = previous.origin_fetch_s
        self.import_fetch_s = previous.import_fetch_s

    def add_origin_fetch_time(self, seconds: float) -> None:
        """Add the duration of a read from the origin to its average."""
        self.origin_fetch_s = _update_average(self.origin_fetch_s, seconds)

    def add_import_fetch_time(self, seconds: float) -> None:
        """Add the duration of a fetch from another region to its average."""
        self.import_fetch_s = _update_average(self.import_fetch_s, seconds)

    def region_members(self) -> list[str]:
        """Return the ids of the instances in this region, this agent's included."""
        if self._region_members is None:
            self._region_members = [
                location.instance_id
                for location in self.fleet.values()
                if location.region == self.location.region
            ]
        return self._region_members

    def own_rank(self, key: str) -> int:
        """Return this agent's rank for ``key`` in its region; 0 ranks first.

        Every agent that knows the same fleet computes the same ranks.
        """
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


def _update_average(average: float | None, sample: float) -> float:
    if average is None:
        return sample
    return average + SMOOTHING * (sample - average)


def iterate_bits(bitmap: int) -> Iterator[int]:
    """Yield the indexes of the set bits, lowest first."""
    while bitmap:
        lowest = bitmap & -bitmap
        yield lowest.bit_length() - 1
        bitmap ^= lowest


def take_bits(bitmap: int, start: int, limit: int) -> list[int]:
    """Return the indexes of up to ``limit`` set bits.

    They begin at ``start`` and continue at 0 after the highest bit.
    """
    upper = bitmap >> start << start
    taken = list(itertools.islice(iterate_bits(upper), limit))
    lower = bitmap ^ upper
    return taken + list(itertools.islice(iterate_bits(lower), limit - len(taken)))


class DistributionPolicy(ABC):
    """Decides which chunks an agent fetches, and from where.

    A policy has no side effects, so that it is easy to replace.
    """

    def __init__(self, seed: int = 0):
        """``seed`` seeds the policy's random choices."""
        self._seed = seed

    @abstractmethod
    def wanted_peers(self, view: TransferView) -> list[str]:
        """Return the ids of the instances to which the agent should be connected."""

    @abstractmethod
    def plan(self, view: TransferView, now: float) -> list[Action]:
        """Return the actions to carry out at the time ``now``, in seconds."""
