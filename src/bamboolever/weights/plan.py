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

Reads from the origin follow the numbers of the pieces: only the first few that no agent
has are read at any time. Each agent tells the others what it is reading, and nobody
else begins that piece while it is alive.

`weights.groups` has the groups and the order in them.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import final

from bamboolever._subset import score_member
from bamboolever.net.addresses import Address
from bamboolever.weights.groups import (
    Group,
    Membership,
    import_depth,
    import_source,
    rank_importers,
    select_importer,
)
from bamboolever.weights.view import IMPORT_TIMEOUT_S, Peer, SwarmView

MAX_FETCHES = 8
# While an agent imports a piece, fetches within its group leave it a part of the link:
# the others wait for what it imports.
MAX_FETCHES_WHILE_IMPORTING = 4
MAX_FETCHES_PER_PEER = 1
# Most of an agent's fetches may go to the origin: it may become unreachable before
# every piece was read once, while peers keep the pieces they have.
MAX_ORIGIN_FETCHES = 3
# Limit of an agent's fetches together with its reads from the origin or another group.
# It is higher, so that these reads, which other agents wait for, start at once.
MAX_FETCHES_WITH_IMPORTS = 10
# Pieces that all agents read from the origin at once. They share its link, so with more
# of them the first arrive later, and an outage interrupts more. With fewer, it idles
# while piece maps queue behind pieces: it sends 10 in 0.45 s.
ORIGIN_WINDOW = 10
# Factor of the window for an agent that reads nothing. With late piece maps, other
# agents may have read the first pieces of the window already.
IDLE_READER_WINDOW_FACTOR = 2
# A piece whose reader was silent for longer does not hold up the pieces after it.
SUSPECT_TIMEOUT_S = 1.0
# How long an agent that started late waits for the piece maps of its group before it
# reads from the origin what they may have.
LATE_READ_DELAY_S = 0.8
# After this time since any peer first had a piece, the importer no longer waits for
# the group that it imports from and fetches the piece from any peer.
CHAIN_TIMEOUT_S = 3.0
# After this time in which no piece appeared anywhere, the next agent in rank, or the
# one of the next group in the chain, reads a missing piece from the origin. It guards
# against an agent that is alive and cannot reach the origin.
ORIGIN_FALLBACK_S = 12.0
# Pause after a failed fetch before the same source is used again.
PEER_BACKOFF_S = 1.0
# Delay before a failed read from the origin is retried, and so the time until an origin
# that recovers is used. While reads fail, each agent tries one piece at a time.
ORIGIN_BACKOFF_S = 0.15


@dataclass(frozen=True)
class PieceFetch:
    """A planned fetch of one piece; ``source`` None means the origin.

    ``is_import`` marks a fetch from another group of a piece that this agent's group
    lacks.
    """

    number: int
    source: Address | None
    is_import: bool = False


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


@dataclass(frozen=True)
class _PlanInputs:
    """Values that are the same for all pieces of one plan.

    ``local_peers`` are the peers in this agent's group and ``local_bitmap`` the pieces
    that any of them has. ``imports`` are the pieces that peers are importing, and
    ``window`` those that may be read from the origin now; both are bitmaps.
    """

    now: float
    own_group: Group
    local_peers: list[Peer]
    local_bitmap: int
    membership: Membership
    imports: int
    window: int

    @classmethod
    def from_view(cls, view: SwarmView, now: float) -> "_PlanInputs":
        own_group = Group.of(view.own)
        local_peers = [peer for peer in view.peers if Group.of(peer) == own_group]
        local_bitmap = 0
        for peer in local_peers:
            local_bitmap |= view.peer_bitmaps.get(peer.address, 0)
        membership = Membership.from_view(view, now)
        return cls(
            now,
            own_group,
            local_peers,
            local_bitmap,
            membership,
            view.imports_of_others(now),
            _origin_window(view, membership, now),
        )


def _origin_window(view: SwarmView, membership: Membership, now: float) -> int:
    """Return the pieces that the agents of this group may read from the origin now.

    These are the first ones that no active agent of the group is known to have, of
    those that this group reads. Groups that read different pieces share the window.
    """
    own_group, groups = Group.of(view.own), membership.groups
    held = view.pieces.verified
    for peer in view.active_members(now):
        if Group.of(peer) == own_group:
            held |= view.peer_bitmaps.get(peer.address, 0)
    regions = {group.region for group in groups}
    readers = [
        group
        for group in groups
        if group.region == view.origin_region or view.origin_region not in regions
    ]
    size = max(2, ORIGIN_WINDOW // max(1, len(readers)))
    if None not in view.in_flight.values():
        size *= IDLE_READER_WINDOW_FACTOR
    members = membership.members[own_group]
    suspects = {
        str(peer.address)
        for peer in view.peers
        if now - view.last_heard_at.get(peer.address, view.started_at)
        > SUSPECT_TIMEOUT_S
    }
    window = 0
    for number in range(view.pieces.count):
        if size <= 0:
            break
        if held >> number & 1:
            continue
        if import_source(number, own_group, groups, view.origin_region) is not None:
            continue
        window |= 1 << number
        size -= select_importer(number, members) not in suspects
    return window


@final
class RegionChainPolicy(PiecePolicy):
    """Reads one copy from the origin and imports one into each other group.

    All other fetches stay within a group.
    """

    def plan(self, view: SwarmView, now: float) -> list[PieceFetch]:
        """Return fetches up to `MAX_FETCHES` in flight, imports first."""
        if len(view.in_flight) >= MAX_FETCHES_WITH_IMPORTS:
            return []
        source_load = Counter(view.in_flight.values())
        inputs = _PlanInputs.from_view(view, now)
        local_sources = {peer.address for peer in inputs.local_peers}
        is_importing = any(source not in local_sources for source in source_load)
        limit = MAX_FETCHES_WHILE_IMPORTING if is_importing else MAX_FETCHES
        local_slots = limit - len(view.in_flight)
        free_slots = MAX_FETCHES_WITH_IMPORTS - len(view.in_flight)
        imports: list[PieceFetch] = []
        local_fetches: list[PieceFetch] = []
        for number in self._sort_rarest_first(view, inputs):
            if free_slots <= len(imports):
                break
            fetch = self._plan_piece(view, number, inputs, source_load)
            if fetch is None:
                continue
            if fetch.source not in local_sources:
                imports.append(fetch)
            elif len(local_fetches) < local_slots:
                local_fetches.append(fetch)
            else:
                continue
            source_load[fetch.source] += 1
        return imports + local_fetches[: max(0, local_slots - len(imports))]

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
        if inputs.imports >> number & 1 and self._is_imported(view, number, inputs):
            return None
        own = str(view.own.address)
        ranked = rank_importers(number, inputs.membership.members[inputs.own_group])
        if ranked[0] != own:
            if own in ranked[:2] and self._is_stuck(view, number, inputs, 1):
                return self._fetch_from_origin(view, number, source_load, inputs)
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
            if not inputs.window >> number & 1:
                return None
            # The agent that read it may be dead, while another group has the piece.
            holders = self._holders(view, number, inputs.now, view.peers)
            if not holders:
                return self._fetch_from_origin(view, number, source_load, inputs)
            fetch = self._fetch_from_peer(view, holders, number, source_load)
            return None if fetch is None else replace(fetch, is_import=True)
        previous = [peer for peer in view.peers if Group.of(peer) == source]
        holders = self._holders(view, number, inputs.now, previous)
        if not holders and self._is_chain_stalled(view, number, inputs.now):
            holders = self._holders(view, number, inputs.now, view.peers)
        if not holders:
            depth = import_depth(number, inputs.own_group, groups, view.origin_region)
            if self._is_stuck(view, number, inputs, depth):
                return self._fetch_from_origin(view, number, source_load, inputs)
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
        limit = 1 if view.is_origin_failing else MAX_ORIGIN_FETCHES
        if source_load[None] >= limit:
            return None
        if not view.is_available(None, inputs.now):
            return None
        if inputs.imports >> number & 1 or self._waits_for_maps(view, inputs):
            return None
        return PieceFetch(number, None)

    def _waits_for_maps(self, view: SwarmView, inputs: "_PlanInputs") -> bool:
        # Peers that have a piece, or are reading it, say so in their first piece map.
        if not view.is_late or inputs.now - view.started_at > LATE_READ_DELAY_S:
            return False
        return any(
            peer.address not in view.last_heard_at for peer in inputs.local_peers
        )

    def _is_imported(self, view: SwarmView, number: int, inputs: "_PlanInputs") -> bool:
        return any(
            view.peer_imports.get(peer.address, 0) >> number & 1
            and inputs.now - view.last_heard_at[peer.address] < IMPORT_TIMEOUT_S
            for peer in inputs.local_peers
        )

    def _is_stuck(
        self, view: SwarmView, number: int, inputs: "_PlanInputs", level: int
    ) -> bool:
        if any(bitmap >> number & 1 for bitmap in view.peer_bitmaps.values()):
            return False
        progressed_at = max(view.progressed_at, view.started_at)
        return inputs.now - progressed_at > ORIGIN_FALLBACK_S * level

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
