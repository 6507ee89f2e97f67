"""Decides which pieces an agent fetches next, and from where.

Takes one agent's view of a transfer: the pieces it lacks, the pieces of its peers, when
each peer was last heard, and the fetches in flight. Decides which fetches to start now.
Every agent decides on its own; there is no coordinator.

Load pattern: one version must reach every engine at once over slow links. For each
piece, a hash over the shared list of agents selects one agent per group to import
it. A group is a region, or a part of a large one. In the first group of the origin's
region that agent reads the piece from the origin. The first groups of the regions
import a piece in a chain, each from the one before it, so that no region's uplinks
carry all copies; the other groups of a region import it in a tree below its first. All
other agents fetch the piece within their group. If the selected agent is silent, the
next in rank takes over after a delay.

An agent hears only from its group and from the agents that it imports pieces from, so
that the messages of one agent do not grow with the fleet.
"""

import functools
import math
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import final

from bamboolever._subset import rank_members, score_member
from bamboolever.net.addresses import Address
from bamboolever.weights.pieces import PieceSet

MAX_FETCHES = 8
# While an agent imports a piece, fetches within its group leave it a part of the link:
# the others wait for what it imports.
MAX_FETCHES_WHILE_IMPORTING = 4
MAX_FETCHES_PER_PEER = 1
# Most of an agent's fetches may go to the origin: it may become unreachable before
# every piece was read once, while peers keep the pieces they have.
MAX_ORIGIN_FETCHES = 3
# Fetches from the origin at once by all agents that read from it, about: with more, the
# first pieces arrive late, as all share its link.
ORIGIN_CONCURRENCY = 8
# Agents of a region that form one group, at most on average.
MAX_GROUP_AGENTS = 24
# An agent that was silent for longer is not selected to import pieces.
PEER_TIMEOUT_S = 1.6
# After this time since any peer first had a piece, the importer no longer waits for
# the group that it imports from and fetches the piece from any peer.
CHAIN_TIMEOUT_S = 3.0
# After this time since the transfer's start, an agent reads from the origin any piece
# that its group lacks, even if another agent was selected to import it.
ORIGIN_FALLBACK_S = 12.0
# Pause after a failed fetch before the same source is used again.
PEER_BACKOFF_S = 1.0
ORIGIN_BACKOFF_S = 0.3
# Enough for all pieces of a version with a few different lists of members.
MAX_CACHED_CHOICES = 4096


@dataclass(frozen=True)
class Peer:
    """Address and region of an agent, and its group within the region."""

    address: Address
    region: str
    group: int = 0


@dataclass(frozen=True)
class PieceFetch:
    """A planned fetch of one piece; ``source`` None means the origin.

    ``is_import`` marks a fetch from another group of a piece that this agent's group
    lacks.
    """

    number: int
    source: Address | None
    is_import: bool = False


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
    means something; None stands for all.
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

    def update_peer(
        self, address: Address, bitmap: int, now: float, *, uploads: int = 0
    ) -> None:
        """Record a peer's verified pieces and its number of pending uploads."""
        self.last_heard_at[address] = now
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


class PiecePolicy(ABC):
    """Decides the next fetches of one agent."""

    @abstractmethod
    def plan(self, view: SwarmView, now: float) -> list[PieceFetch]:
        """Return the fetches to start now, in the order to start them."""


@final
class OriginOnlyPolicy(PiecePolicy):
    """Baseline: every agent reads every piece from the origin."""

    def plan(self, view: SwarmView, now: float) -> list[PieceFetch]:
        """Return fetches from the origin, up to `MAX_ORIGIN_FETCHES` in flight."""
        free_slots = MAX_ORIGIN_FETCHES - len(view.in_flight)
        wanted = [n for n in view.pieces.missing() if n not in view.in_flight]
        if free_slots <= 0 or not view.is_available(None, now):
            return []
        return [PieceFetch(number, None) for number in wanted[:free_slots]]


@dataclass(frozen=True, order=True)
class Group:
    """A group of agents: a region, or one of the parts of a large region."""

    region: str
    number: int

    @classmethod
    def of(cls, peer: Peer) -> "Group":
        """Return the group of an agent."""
        return cls(peer.region, peer.group)


def group_number(member: str, agents_in_region: int) -> int:
    """Return the group within its region of the agent with this address."""
    count = math.ceil(agents_in_region / MAX_GROUP_AGENTS)
    if count <= 1:
        return 0
    return int(rank_members(member, map(str, range(count)))[0])


@dataclass(frozen=True)
class Membership:
    """The active agents of one plan by group, as addresses in a fixed order."""

    members: dict[Group, tuple[str, ...]]

    @classmethod
    def from_view(cls, view: SwarmView, now: float) -> "Membership":
        """Return the agents that are not known to be silent.

        A group of which every watched agent is silent is left out.
        """
        by_group: dict[Group, list[str]] = {}
        silent: set[Group] = set()
        heard: set[Group] = {Group.of(view.own)}
        for peer in view.active_members(now):
            group = Group.of(peer)
            by_group.setdefault(group, []).append(str(peer.address))
            if view.watched is None or peer.address in view.watched:
                heard.add(group)
        if view.watched is not None:
            silent = {
                Group.of(peer) for peer in view.peers if peer.address in view.watched
            }
        return cls(
            {
                group: tuple(sorted(names))
                for group, names in by_group.items()
                if group in heard or group not in silent
            }
        )

    @property
    def groups(self) -> tuple[Group, ...]:
        """The groups with active agents, in a fixed order."""
        return tuple(sorted(self.members))


@dataclass(frozen=True)
class _PlanInputs:
    """Values that are the same for all pieces of one plan.

    ``local_peers`` are the peers in this agent's group and ``local_bitmap`` the pieces
    that any of them has.
    """

    now: float
    own_group: Group
    local_peers: list[Peer]
    local_bitmap: int
    membership: Membership

    @property
    def max_origin_fetches(self) -> int:
        """Fetches from the origin that this agent may have in flight."""
        readers = len(self.membership.members[self.own_group])
        return min(MAX_ORIGIN_FETCHES, math.ceil(ORIGIN_CONCURRENCY / readers))

    @classmethod
    def from_view(cls, view: SwarmView, now: float) -> "_PlanInputs":
        own_group = Group.of(view.own)
        local_peers = [peer for peer in view.peers if Group.of(peer) == own_group]
        local_bitmap = 0
        for peer in local_peers:
            local_bitmap |= view.peer_bitmaps.get(peer.address, 0)
        membership = Membership.from_view(view, now)
        return cls(now, own_group, local_peers, local_bitmap, membership)


@functools.lru_cache(maxsize=MAX_CACHED_CHOICES)
def rank_importers(number: int, members: tuple[str, ...]) -> list[str]:
    """Return a group's ``members`` in the order in which they import a piece."""
    return rank_members(f"piece\0{number}", members)


def select_importer(number: int, members: tuple[str, ...]) -> str:
    """Return the agent, out of a group's ``members``, that imports a piece."""
    return rank_importers(number, members)[0]


@functools.lru_cache(maxsize=MAX_CACHED_CHOICES)
def import_source(
    number: int, own: Group, groups: tuple[Group, ...], origin_region: str
) -> Group | None:
    """Return the group that the group ``own`` imports a piece from.

    Returns None for the group that reads it from the origin.
    """
    in_region = sorted(group for group in groups if group.region == own.region)
    ranked = _rank_groups(number, in_region)
    position = ranked.index(own)
    if position > 0:
        return ranked[(position - 1) // 2]
    regions = _rank_regions(number, groups, origin_region)
    region_position = regions.index(own.region)
    if region_position == 0:
        return None
    previous = regions[region_position - 1]
    return _rank_groups(number, [g for g in groups if g.region == previous])[0]


def _rank_groups(number: int, groups: list[Group]) -> list[Group]:
    by_name = {str(group.number): group for group in groups}
    return [by_name[name] for name in rank_members(f"group\0{number}", by_name)]


def _rank_regions(
    number: int, groups: tuple[Group, ...], origin_region: str
) -> list[str]:
    ranked = rank_members(f"region\0{number}", {group.region for group in groups})
    if origin_region in ranked:
        ranked.remove(origin_region)
        ranked.insert(0, origin_region)
    return ranked


def find_watched(view: SwarmView, now: float) -> frozenset[Address]:
    """Return the peers that an agent has to hear from.

    These are the agents of its group, and for each piece that it imports the first
    agents of the group that it imports from.
    """
    membership = Membership.from_view(view, now)
    own_group, own = Group.of(view.own), str(view.own.address)
    watched = {str(peer.address) for peer in view.peers if Group.of(peer) == own_group}
    local = membership.members[own_group]
    for number in view.pieces.missing():
        if select_importer(number, local) != own:
            continue
        source = import_source(number, own_group, membership.groups, view.origin_region)
        if source is not None:
            watched.update(rank_importers(number, membership.members[source])[:2])
    return frozenset(
        peer.address for peer in view.peers if str(peer.address) in watched
    )


@final
class RegionChainPolicy(PiecePolicy):
    """Reads one copy from the origin and imports one into each other group.

    All other fetches stay within a group.
    """

    def plan(self, view: SwarmView, now: float) -> list[PieceFetch]:
        """Return fetches up to `MAX_FETCHES` in flight, imports first."""
        if len(view.in_flight) >= MAX_FETCHES:
            return []
        source_load = Counter(view.in_flight.values())
        inputs = _PlanInputs.from_view(view, now)
        local_sources = {peer.address for peer in inputs.local_peers}
        is_importing = any(source not in local_sources for source in source_load)
        limit = MAX_FETCHES_WHILE_IMPORTING if is_importing else MAX_FETCHES
        free_slots = limit - len(view.in_flight)
        if free_slots <= 0:
            return []
        imports: list[PieceFetch] = []
        local_fetches: list[PieceFetch] = []
        for number in self._sort_rarest_first(view, inputs):
            if free_slots <= len(imports):
                break
            fetch = self._plan_piece(view, number, inputs, source_load)
            if fetch is None:
                continue
            is_local = fetch.source in local_sources
            (local_fetches if is_local else imports).append(fetch)
            source_load[fetch.source] += 1
        return (imports + local_fetches)[:free_slots]

    def _sort_rarest_first(self, view: SwarmView, inputs: "_PlanInputs") -> list[int]:
        # Ties are broken in an order that differs between agents, so that peers hold
        # different pieces and can exchange them.
        copies: Counter = Counter()
        missing = [n for n in view.pieces.missing() if n not in view.in_flight]
        for peer in inputs.local_peers:
            bitmap = view.peer_bitmaps.get(peer.address, 0)
            copies.update(n for n in missing if bitmap >> n & 1)
        own = str(view.own.address)
        return sorted(missing, key=lambda n: (copies[n], score_member(own, str(n))))

    def _plan_piece(
        self,
        view: SwarmView,
        number: int,
        inputs: "_PlanInputs",
        source_load: Counter,
    ) -> PieceFetch | None:
        if inputs.local_bitmap >> number & 1:
            local = self._holders(view, number, inputs.now, inputs.local_peers)
            if local:
                return self._fetch_from_peer(view, local, number, source_load)
        if inputs.now - view.started_at > ORIGIN_FALLBACK_S:
            return self._fetch_from_origin(view, number, source_load, inputs)
        local_members = inputs.membership.members[inputs.own_group]
        if select_importer(number, local_members) != str(view.own.address):
            return None
        return self._plan_import(view, number, inputs, source_load)

    def _plan_import(
        self,
        view: SwarmView,
        number: int,
        inputs: "_PlanInputs",
        source_load: Counter,
    ) -> PieceFetch | None:
        groups = inputs.membership.groups
        source = import_source(number, inputs.own_group, groups, view.origin_region)
        if source is None:
            return self._fetch_from_origin(view, number, source_load, inputs)
        previous = [peer for peer in view.peers if Group.of(peer) == source]
        holders = self._holders(view, number, inputs.now, previous)
        if not holders and self._is_chain_stalled(view, number, inputs.now):
            holders = self._holders(view, number, inputs.now, view.peers)
        if not holders:
            return None
        fetch = self._fetch_from_peer(view, holders, number, source_load)
        return None if fetch is None else replace(fetch, is_import=True)

    def _holders(
        self, view: SwarmView, number: int, now: float, peers: Iterable[Peer]
    ) -> list[Address]:
        return [
            peer.address
            for peer in peers
            if view.peer_bitmaps.get(peer.address, 0) >> number & 1
            and view.is_available(peer.address, now)
        ]

    def _fetch_from_peer(
        self,
        view: SwarmView,
        holders: list[Address],
        number: int,
        source_load: Counter,
    ) -> PieceFetch | None:
        key = f"source\0{number}\0{view.own.address}"
        best = min(
            holders,
            key=lambda holder: (
                source_load[holder],
                view.uploads.get(holder, 0),
                score_member(key, str(holder)),
            ),
        )
        if source_load[best] >= MAX_FETCHES_PER_PEER:
            return None
        return PieceFetch(number, best)

    def _fetch_from_origin(
        self,
        view: SwarmView,
        number: int,
        source_load: Counter,
        inputs: "_PlanInputs",
    ) -> PieceFetch | None:
        if source_load[None] >= inputs.max_origin_fetches:
            return None
        if not view.is_available(None, inputs.now):
            return None
        return PieceFetch(number, None)

    def _is_chain_stalled(self, view: SwarmView, number: int, now: float) -> bool:
        since = view.first_offered_at.get(number)
        return since is not None and now - since > CHAIN_TIMEOUT_S


_POLICIES: dict[str, type[PiecePolicy]] = {
    "region-chain": RegionChainPolicy,
    "origin-only": OriginOnlyPolicy,
}


def register_piece_policy(name: str, policy: type[PiecePolicy]) -> None:
    """Register a policy under the name that an agent's ``--pieces`` option takes."""
    _POLICIES[name] = policy


def make_piece_policy(name: str) -> PiecePolicy:
    """Return a new policy of this name.

    Raises `LookupError`, which lists the registered names, if there is none.
    """
    if name not in _POLICIES:
        known = ", ".join(sorted(_POLICIES))
        raise LookupError(f"no piece policy is named {name!r}; known: {known}")
    return _POLICIES[name]()
