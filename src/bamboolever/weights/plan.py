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
next in rank takes over after a delay. A piece that a peer of any group is known to have
is not read from the origin.

`weights.groups` has the groups and the order in them.
"""

import math
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import final

from bamboolever._subset import score_member
from bamboolever.net.addresses import Address
from bamboolever.weights.groups import Membership, import_source, select_importer
from bamboolever.weights.view import Group, Peer, SwarmView

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
# After this time since any peer first had a piece, the importer no longer waits for
# the group that it imports from and fetches the piece from any peer.
CHAIN_TIMEOUT_S = 3.0
# After this time since the transfer's start, an agent reads from the origin any piece
# that its group lacks, even if another agent was selected to import it.
ORIGIN_FALLBACK_S = 12.0
# Pause after a failed fetch before the same source is used again.
PEER_BACKOFF_S = 1.0
ORIGIN_BACKOFF_S = 0.3


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
            return self._fetch_from_anyone(view, number, source_load, inputs)
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
            return self._fetch_from_anyone(view, number, source_load, inputs)
        previous = [peer for peer in view.peers if Group.of(peer) == source]
        holders = self._holders(view, number, inputs.now, previous)
        if not holders and self._is_chain_stalled(view, number, inputs.now):
            holders = self._holders(view, number, inputs.now, view.peers)
        if not holders:
            return None
        return self._import_from(view, holders, number, source_load)

    def _import_from(
        self,
        view: SwarmView,
        holders: list[Address],
        number: int,
        source_load: Counter,
    ) -> PieceFetch | None:
        fetch = self._fetch_from_peer(view, holders, number, source_load)
        return None if fetch is None else replace(fetch, is_import=True)

    def _fetch_from_anyone(
        self,
        view: SwarmView,
        number: int,
        source_load: Counter,
        inputs: "_PlanInputs",
    ) -> PieceFetch | None:
        """Fetch a piece that the group lacks from any peer that has it, or the origin.

        Other groups may have read it while this one was silent.
        """
        holders = self._holders(view, number, inputs.now, view.peers)
        if holders:
            return self._import_from(view, holders, number, source_load)
        return self._fetch_from_origin(view, number, source_load, inputs)

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
