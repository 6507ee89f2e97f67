"""Plans who fetches which piece from where, without a coordinator.

Load pattern: one version reaches every engine at once over thin links. For each
piece a hash over the shared list of agents names one agent in the origin's
region that reads the origin, and one in each other region that brings the piece
in; all others take it within their region. Regions import in a chain, each from
the one before it, so that no region's uplinks carry all copies. Where the agent
that should act is silent, the next in rank acts after a delay.
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

MAX_FETCHES = 4
MAX_FETCHES_PER_PEER = 1
# The most of an agent's link goes to the origin's copy: the origin may be gone
# before it was read once, while neighbours hold what they have.
MAX_ORIGIN_FETCHES = 3
# An agent that was not heard for this long does not act for others.
PEER_SILENCE_S = 1.6
CHAIN_PATIENCE_S = 3.0
# A piece that nobody brought by then is read from the origin.
LAST_RESORT_S = 12.0
SOURCE_PAUSE_S = 1.0
ORIGIN_PAUSE_S = 0.3
# Choices of a version's pieces among a few views of the fleet.
MAX_CACHED_CHOICES = 4096


@dataclass(frozen=True)
class Peer:
    """Another agent, or this one."""

    address: Address
    region: str


@dataclass(frozen=True)
class PieceFetch:
    """Fetch one piece; ``source`` is None for the origin.

    ``is_import`` marks a piece that is new to the whole region.
    """

    number: int
    source: Address | None
    is_import: bool = False


@dataclass
class SwarmView:
    """What one agent knows when it plans; times are seconds of its clock."""

    own: Peer
    peers: list[Peer]
    origin_region: str
    pieces: PieceSet
    started_at: float
    have: dict[Address, int] = field(default_factory=dict)
    in_flight: dict[int, Address | None] = field(default_factory=dict)
    paused_until: dict[Address | None, float] = field(default_factory=dict)
    offered_since: dict[int, float] = field(default_factory=dict)
    heard_at: dict[Address, float] = field(default_factory=dict)
    uploads: dict[Address, int] = field(default_factory=dict)

    def note_have(
        self, address: Address, bitmap: int, now: float, *, uploads: int = 0
    ) -> None:
        """Note which pieces a peer has verified and how many it is sending."""
        self.heard_at[address] = now
        self.uploads[address] = uploads
        new = bitmap & ~self.have.get(address, 0)
        self.have[address] = bitmap
        number = 0
        while new:
            if new & 1:
                self.offered_since.setdefault(number, now)
            new >>= 1
            number += 1

    def leave(self, address: Address) -> None:
        """Note that a peer moves another version: it brings no more of this one.

        What it has of this one it gives until it is written over.
        """
        self.heard_at[address] = -math.inf

    def active_members(self, now: float) -> list[Peer]:
        """Return this agent and the peers that were heard lately."""
        alive = [
            peer
            for peer in self.peers
            if now - self.heard_at.get(peer.address, self.started_at) < PEER_SILENCE_S
        ]
        return [self.own, *alive]

    def is_usable(self, source: Address | None, now: float) -> bool:
        """Tell whether a source did not fail a moment ago."""
        return now >= self.paused_until.get(source, 0.0)


class PiecePolicy(ABC):
    """Chooses the next fetches of one agent."""

    @abstractmethod
    def plan(self, view: SwarmView, now: float) -> list[PieceFetch]:
        """Return fetches to begin now."""


@final
class OriginOnlyPolicy(PiecePolicy):
    """Baseline: every agent reads everything from the origin."""

    def plan(self, view: SwarmView, now: float) -> list[PieceFetch]:
        """Return fetches from the origin up to the limit."""
        room = MAX_ORIGIN_FETCHES - len(view.in_flight)
        wanted = [n for n in view.pieces.missing() if n not in view.in_flight]
        if room <= 0 or not view.is_usable(None, now):
            return []
        return [PieceFetch(number, None) for number in wanted[:room]]


@dataclass(frozen=True)
class _Round:
    """What stays the same while one plan is made."""

    now: float
    local_peers: list[Peer]
    local_have: int
    region_members: tuple[str, ...]
    regions: tuple[str, ...]

    @classmethod
    def from_view(cls, view: SwarmView, now: float) -> "_Round":
        region = view.own.region
        members = view.active_members(now)
        local_peers = [peer for peer in view.peers if peer.region == region]
        local_have = 0
        for peer in local_peers:
            local_have |= view.have.get(peer.address, 0)
        names = (str(peer.address) for peer in members if peer.region == region)
        regions = {peer.region for peer in members}
        return cls(
            now,
            local_peers,
            local_have,
            tuple(sorted(names)),
            tuple(sorted(regions)),
        )


@functools.lru_cache(maxsize=MAX_CACHED_CHOICES)
def first_member(number: int, members: tuple[str, ...]) -> str:
    """Return which of a region's agents brings a piece into the region."""
    return rank_members(f"piece\0{number}", members)[0]


@functools.lru_cache(maxsize=MAX_CACHED_CHOICES)
def region_chain(
    number: int, regions: tuple[str, ...], origin_region: str
) -> tuple[str, ...]:
    """Return the regions in the order in which they import a piece."""
    ranked = rank_members(f"region\0{number}", regions)
    if origin_region in ranked:
        ranked.remove(origin_region)
        ranked.insert(0, origin_region)
    return tuple(ranked)


@final
class RegionChainPolicy(PiecePolicy):
    """One copy from the origin, one into each region, the rest within regions."""

    def plan(self, view: SwarmView, now: float) -> list[PieceFetch]:
        """Return fetches, those that bring a piece into the region first."""
        room = MAX_FETCHES - len(view.in_flight)
        if room <= 0:
            return []
        load = Counter(view.in_flight.values())
        round_ = _Round.from_view(view, now)
        local_sources = {peer.address for peer in round_.local_peers}
        imports: list[PieceFetch] = []
        locals_: list[PieceFetch] = []
        for number in self._order(view, round_):
            if room <= len(imports):
                break
            fetch = self._plan_piece(view, number, round_, load)
            if fetch is None:
                continue
            is_local = fetch.source in local_sources
            (locals_ if is_local else imports).append(fetch)
            load[fetch.source] += 1
        return (imports + locals_)[:room]

    def _order(self, view: SwarmView, round_: "_Round") -> list[int]:
        # Rare pieces first, ties in an own order: neighbours then hold different
        # pieces and have something to give to each other.
        copies: Counter = Counter()
        missing = [n for n in view.pieces.missing() if n not in view.in_flight]
        for peer in round_.local_peers:
            bitmap = view.have.get(peer.address, 0)
            copies.update(n for n in missing if bitmap >> n & 1)
        own = str(view.own.address)
        return sorted(missing, key=lambda n: (copies[n], score_member(own, str(n))))

    def _plan_piece(
        self, view: SwarmView, number: int, round_: "_Round", load: Counter
    ) -> PieceFetch | None:
        if round_.local_have >> number & 1:
            local = self._holders(view, number, round_.now, round_.local_peers)
            if local:
                return self._from(view, local, number, load)
        if round_.now - view.started_at > LAST_RESORT_S:
            return self._from_origin(view, number, load, round_.now)
        if first_member(number, round_.region_members) != str(view.own.address):
            return None
        return self._import(view, number, round_, load)

    def _import(
        self, view: SwarmView, number: int, round_: "_Round", load: Counter
    ) -> PieceFetch | None:
        chain = region_chain(number, round_.regions, view.origin_region)
        position = chain.index(view.own.region)
        if position == 0:
            return self._from_origin(view, number, load, round_.now)
        before = [peer for peer in view.peers if peer.region == chain[position - 1]]
        holders = self._holders(view, number, round_.now, before)
        if not holders and self._is_offered_long(view, number, round_.now):
            holders = self._holders(view, number, round_.now, view.peers)
        if not holders:
            return None
        fetch = self._from(view, holders, number, load)
        return None if fetch is None else replace(fetch, is_import=True)

    def _holders(
        self, view: SwarmView, number: int, now: float, peers: Iterable[Peer]
    ) -> list[Address]:
        return [
            peer.address
            for peer in peers
            if view.have.get(peer.address, 0) >> number & 1
            and view.is_usable(peer.address, now)
        ]

    def _from(
        self, view: SwarmView, holders: list[Address], number: int, load: Counter
    ) -> PieceFetch | None:
        key = f"source\0{number}"
        best = min(
            holders,
            key=lambda item: (
                load[item],
                view.uploads.get(item, 0),
                score_member(key, str(item)),
            ),
        )
        if load[best] >= MAX_FETCHES_PER_PEER:
            return None
        return PieceFetch(number, best)

    def _from_origin(
        self, view: SwarmView, number: int, load: Counter, now: float
    ) -> PieceFetch | None:
        if load[None] >= MAX_ORIGIN_FETCHES or not view.is_usable(None, now):
            return None
        return PieceFetch(number, None)

    def _is_offered_long(self, view: SwarmView, number: int, now: float) -> bool:
        since = view.offered_since.get(number)
        return since is not None and now - since > CHAIN_PATIENCE_S


_POLICIES: dict[str, type[PiecePolicy]] = {
    "region-chain": RegionChainPolicy,
    "origin-only": OriginOnlyPolicy,
}


def register_piece_policy(name: str, policy: type[PiecePolicy]) -> None:
    """Make a policy known, so that agents can be started with it."""
    _POLICIES[name] = policy


def make_piece_policy(name: str) -> PiecePolicy:
    """Return the policy with this name.

    Raises `LookupError` naming the known ones.
    """
    if name not in _POLICIES:
        known = ", ".join(sorted(_POLICIES))
        raise LookupError(f"no piece policy is named {name!r}; known: {known}")
    return _POLICIES[name]()
