"""The built-in distribution policies.

A policy takes an agent's `TransferView` and decides which chunks the agent fetches now,
whether from a peer or from the origin, and which grants it requests. Every agent
decides on its own.

Load pattern: all instances of a service fetch a new version at the same time. Links
within a region are fast; the origin and the links between regions are slow and shared.
`BudgetedPolicy` therefore brings each segment into a region once. One agent imports it
under a grant from the platform, and the others fetch it from their peers. The other
policies need no grants.

Agents rank themselves by rendezvous hashing over the same fleet. They agree without
messages, and the segments spread evenly over them.
"""

import random
from typing import final

from bamboolever._planner import (
    Action,
    DistributionPolicy,
    FetchFromOrigin,
    FetchFromPeer,
    PeerView,
    RequestGrant,
    TransferView,
    iterate_bits,
    take_bits,
)
from bamboolever._subset import score_member, select_subset

MAX_PEERS = 8
# Limits of the fetches in flight, in all and per kind of source.
MAX_FETCHES = 6
MAX_FETCHES_PER_PEER = 3
MAX_ORIGIN_FETCHES = 3
MAX_IMPORTS = 2
#: Delay per rank before an agent requests to import a segment; rank 0 asks at once.
TAKEOVER_DELAY_S = 1.0
#: Time without progress after which the importer asks the origin again.
STALL_TIMEOUT_S = 3.0
# If a segment makes no progress, its holders are taken for dead after this time or
# after this number of average fetches, whichever is longer.
HOLDER_TIMEOUT_S = 15.0
HOLDER_TIMEOUT_FETCHES = 8
#: The origin is preferred to other regions if it is faster by this factor.
MIN_ORIGIN_SPEEDUP = 2.0
#: Number of chunks among which the rarest are selected.
RARITY_SAMPLE_SIZE = 64


class _PeerSelector:
    """Selects chunks and their sources among connected peers: rarest first."""

    def __init__(self, seed: int = 0):
        self._random = random.Random(seed)

    def plan_peer_fetches(
        self, view: TransferView, peers: list[PeerView], wanted: int, now: float
    ) -> list[Action]:
        """Return fetches of the rarest of the ``wanted`` chunks.

        Each comes from the peer with the fewest fetches of this agent in flight. Ties
        go to the peer that sent the fewest chunks, then to one in the same zone.
        """
        actions: list[Action] = []
        free = MAX_FETCHES - len(view.in_flight)
        usable = [p for p in peers if p.retry_at <= now and p.held_chunks & wanted]
        if free <= 0 or not usable:
            return actions
        load = {p.location.instance_id: p.in_flight for p in usable}
        for index in self._select_rarest(usable, wanted, free * 2):
            source = self._select_source(view, usable, load, index)
            if source is None:
                continue
            load[source] += 1
            actions.append(FetchFromPeer(index, source))
            if len(actions) >= free:
                break
        return actions

    def _select_rarest(
        self, peers: list[PeerView], wanted: int, limit: int
    ) -> list[int]:
        offered = 0
        for peer in peers:
            offered |= peer.held_chunks
        common = offered & wanted
        start = self._random.randrange(max(1, common.bit_length()))
        candidates = take_bits(common, start, RARITY_SAMPLE_SIZE)
        self._random.shuffle(candidates)
        candidates.sort(
            key=lambda index: sum(p.held_chunks >> index & 1 for p in peers)
        )
        return candidates[:limit]

    def _select_source(
        self,
        view: TransferView,
        peers: list[PeerView],
        load: dict[str, int],
        index: int,
    ) -> str | None:
        holders = [
            p
            for p in peers
            if p.held_chunks >> index & 1
            and load[p.location.instance_id] < MAX_FETCHES_PER_PEER
        ]
        if not holders:
            return None
        zone = view.location.availability_zone
        best = min(
            holders,
            key=lambda p: (
                load[p.location.instance_id],
                p.uploads,
                p.location.availability_zone != zone,
                self._random.random(),
            ),
        )
        return best.location.instance_id


@final
class BudgetedPolicy(DistributionPolicy):
    """Brings each segment into a region once; peers of the region share it.

    With the aim ``time-to-n`` every region may read from the origin as far as the cap
    allows. With ``origin-bytes`` one region does, and the others import from it.
    """

    def __init__(self, seed: int = 0):
        self._selector = _PeerSelector(seed)
        self._cached_peer_ids: list[str] = []
        self._cache_key = (0, -1)

    def wanted_peers(self, view: TransferView) -> list[str]:
        """Return some peers of the region and the sources of this agent's imports."""
        wanted = self._local_peer_ids(view)
        for segment in range(view.segment_count):
            wanted += self._find_import_sources(view, segment)
        return list(dict.fromkeys(wanted))

    def _local_peer_ids(self, view: TransferView) -> list[str]:
        if self._cache_key != (id(view), view.fleet_version):
            own = view.location.instance_id
            others = [member for member in view.region_members() if member != own]
            self._cached_peer_ids = select_subset(own, others, MAX_PEERS)
            self._cache_key = (id(view), view.fleet_version)
        return list(self._cached_peer_ids)

    def plan(self, view: TransferView, now: float) -> list[Action]:
        """Return fetches from local peers, fetches under grants and grant requests."""
        missing = view.missing
        if not missing:
            return []
        actions = self._selector.plan_peer_fetches(
            view, view.local_peers(), missing, now
        )
        for action in actions:
            if isinstance(action, FetchFromPeer):
                missing &= ~(1 << action.index)
        offered = 0
        for peer in view.local_peers():
            offered |= peer.held_chunks
        for segment in range(view.segment_count):
            wanted = missing & view.segment_masks[segment] & ~offered
            if wanted:
                actions += self._plan_segment(view, segment, wanted, now)
        return _limit_origin_fetches(view, actions)

    def _plan_segment(
        self, view: TransferView, segment: int, wanted: int, now: float
    ) -> list[Action]:
        state = view.grants[segment]
        own = view.location.instance_id
        if state.grants.find_importer(view.location.region) != own:
            return self._request_if_due(view, segment, wanted, now)
        from_origin = [i for i in iterate_bits(wanted) if i in state.origin_budget]
        if from_origin:
            return [FetchFromOrigin(index) for index in from_origin]
        remote_peers = [
            peer
            for peer in view.peers.values()
            if peer.location.region != view.location.region and not peer.is_banned
        ]
        if state.is_pending or self._is_origin_faster(view, segment):
            return self._request_origin_copy(view, segment, wanted, now)
        fetches = self._plan_imports(view, remote_peers, wanted, now)
        if fetches:
            return fetches
        return self._share_with_origin(view, segment, wanted, remote_peers, now)

    def _is_origin_faster(self, view: TransferView, segment: int) -> bool:
        """Return whether the origin sends a chunk much faster than other regions do."""
        if view.aim != "time-to-n" or view.grants[segment].is_origin_copy_denied:
            return False
        if view.origin_fetch_s is None or view.import_fetch_s is None:
            return False
        return view.origin_fetch_s * MIN_ORIGIN_SPEEDUP < view.import_fetch_s

    def _request_origin_copy(
        self, view: TransferView, segment: int, wanted: int, now: float
    ) -> list[Action]:
        state = view.grants[segment]
        if state.is_pending or now < state.retry_at:
            return []
        missing = tuple(iterate_bits(wanted))
        return [RequestGrant(segment, missing, frozenset(), True)]

    def _plan_imports(
        self, view: TransferView, remote_peers: list[PeerView], wanted: int, now: float
    ) -> list[Action]:
        # The first import of an agent runs alone: it measures the links before several
        # imports fill them.
        limit = MAX_IMPORTS if view.import_fetch_s is not None else 1
        free = limit - sum(peer.in_flight for peer in remote_peers)
        if free <= 0:
            return []
        return self._selector.plan_peer_fetches(view, remote_peers, wanted, now)[:free]

    def _share_with_origin(
        self,
        view: TransferView,
        segment: int,
        wanted: int,
        remote_peers: list[PeerView],
        now: float,
    ) -> list[Action]:
        """Request an origin copy of a share of the chunks that wait for an import.

        With the aim ``time-to-n`` only, and only once each chunk that is missing here
        is held by some connected peer. Until then the origin's link is better used for
        the first copies. If no chunk waits for an import, see `_request_if_due`.
        """
        offered = 0
        for peer in remote_peers:
            offered |= peer.held_chunks
        waiting = list(iterate_bits(wanted & offered))
        state = view.grants[segment]
        can_request = not state.is_pending and now >= state.retry_at
        has_first_copy = not view.missing & ~_find_peer_chunks(view)
        can_copy = view.aim == "time-to-n" and has_first_copy
        can_copy = can_copy and not state.is_origin_copy_denied
        share = _count_origin_share(view, len(waiting)) if can_copy else 0
        if share and can_request:
            # The last ones; any others would do as well. ``waiting`` has no chunk in
            # flight, and imports select the rarest chunks, not the first ones.
            return [RequestGrant(segment, tuple(waiting[-share:]), frozenset(), True)]
        if waiting:
            return []
        return self._request_if_due(view, segment, wanted, now)

    def _request_if_due(
        self, view: TransferView, segment: int, wanted: int, now: float
    ) -> list[Action]:
        state = view.grants[segment]
        if state.is_pending or now < state.retry_at:
            return []
        own = view.location.instance_id
        key = f"{view.manifest.digest}/{segment}"
        rank = view.own_rank(key)
        importer = state.grants.find_importer(view.location.region)
        idle_s = now - view.progress_at[segment]
        dead = self._find_dead_holders(view, segment, idle_s)
        if importer is None:
            is_due = idle_s >= rank * TAKEOVER_DELAY_S
        elif importer == own:
            has_read = own in state.grants.origin_holders()
            is_stalled = has_read and idle_s >= STALL_TIMEOUT_S
            is_due = is_stalled or bool(dead) or not state.grants.origin
        else:
            is_due = importer in dead and idle_s >= rank * TAKEOVER_DELAY_S
        if not is_due:
            return []
        missing = tuple(iterate_bits(wanted))
        is_first_region = _select_first_region(view, key) == view.location.region
        is_origin_copy_wanted = is_first_region or bool(dead)
        return [RequestGrant(segment, missing, dead, is_origin_copy_wanted)]

    def _find_dead_holders(
        self, view: TransferView, segment: int, idle_s: float
    ) -> frozenset[str]:
        grants = view.grants[segment].grants
        holders = grants.origin_holders() | {g.holder for g in grants.imports}
        own = view.location.instance_id
        fetch_s = max(view.origin_fetch_s or 0.0, view.import_fetch_s or 0.0)
        if idle_s >= max(HOLDER_TIMEOUT_S, HOLDER_TIMEOUT_FETCHES * fetch_s):
            return frozenset(holders - {own})
        # The instance list lags: a holder that was never listed is not dead.
        return frozenset(holders & view.departed)

    def _find_import_sources(self, view: TransferView, segment: int) -> list[str]:
        grants = view.grants[segment].grants
        own = view.location.instance_id
        if grants.find_importer(view.location.region) != own:
            return []
        if not view.segment_masks[segment] & ~view.held_chunks:
            return []
        holders = grants.origin_holders() | {g.holder for g in grants.imports}
        return sorted(h for h in holders if h != own and h in view.fleet)


@final
class SwarmPolicy(DistributionPolicy):
    """Fetches from peers of all regions; one instance reads each chunk first."""

    def __init__(self, seed: int = 0):
        self._selector = _PeerSelector(seed)

    def wanted_peers(self, view: TransferView) -> list[str]:
        """Return a subset of the whole fleet."""
        own = view.location.instance_id
        others = [member for member in view.fleet if member != own]
        return select_subset(own, others, MAX_PEERS)

    def plan(self, view: TransferView, now: float) -> list[Action]:
        """Return fetches from any peer and origin reads of this agent's chunks."""
        peers = [peer for peer in view.peers.values() if not peer.is_banned]
        actions = self._selector.plan_peer_fetches(view, peers, view.missing, now)
        planned = {a.index for a in actions if isinstance(a, FetchFromPeer)}
        idle_s = now - max(view.progress_at)
        for index in iterate_bits(view.missing):
            if index not in planned and self._is_origin_reader(view, index, idle_s):
                actions.append(FetchFromOrigin(index))
        return _limit_origin_fetches(view, actions)

    def _is_origin_reader(self, view: TransferView, index: int, idle_s: float) -> bool:
        if idle_s > STALL_TIMEOUT_S * 2:
            return True
        key = view.manifest.chunks[index].digest
        first = max(view.fleet, key=lambda member: score_member(key, member))
        return first == view.location.instance_id


@final
class StaticTreePolicy(DistributionPolicy):
    """Fetches along a binary tree over the sorted ids; the root reads the origin."""

    def __init__(self, seed: int = 0):
        self._selector = _PeerSelector(seed)

    def wanted_peers(self, view: TransferView) -> list[str]:
        """Return the id of the parent; the root has none."""
        order = sorted(view.fleet)
        position = order.index(view.location.instance_id)
        return [order[(position - 1) // 2]] if position else []

    def plan(self, view: TransferView, now: float) -> list[Action]:
        """Return fetches from the parent, or origin reads at the root."""
        wanted = self.wanted_peers(view)
        if not wanted:
            return _read_all_from_origin(view)
        parents = [view.peers[p] for p in wanted if p in view.peers]
        return self._selector.plan_peer_fetches(view, parents, view.missing, now)


@final
class OriginOnlyPolicy(DistributionPolicy):
    """Reads every chunk from the origin."""

    def wanted_peers(self, view: TransferView) -> list[str]:
        """Return no peers."""
        return []

    def plan(self, view: TransferView, now: float) -> list[Action]:
        """Return origin reads of the missing chunks."""
        return _read_all_from_origin(view)


def _count_origin_share(view: TransferView, waiting: int) -> int:
    """Return how many of the ``waiting`` chunks to read from the origin.

    The origin and the links from other regions then finish at the same time, by their
    average fetch times. Returns 0 before both are measured.
    """
    if view.origin_fetch_s is None or view.import_fetch_s is None:
        return 0
    import_s = view.import_fetch_s / MAX_IMPORTS
    return int(waiting * import_s / (view.origin_fetch_s + import_s))


def _find_peer_chunks(view: TransferView) -> int:
    """Return the bitmap of the chunks that some connected peer holds."""
    offered = 0
    for peer in view.peers.values():
        offered |= peer.held_chunks
    return offered


def _select_first_region(view: TransferView, key: str) -> str:
    """Return the region that reads the segment ``key`` from the origin first."""
    regions = {location.region for location in view.fleet.values()}
    return max(regions, key=lambda region: score_member(key, region))


def _read_all_from_origin(view: TransferView) -> list[Action]:
    actions: list[Action] = [FetchFromOrigin(i) for i in iterate_bits(view.missing)]
    return _limit_origin_fetches(view, actions)


def _limit_origin_fetches(view: TransferView, actions: list[Action]) -> list[Action]:
    free = MAX_ORIGIN_FETCHES
    free -= sum(1 for source in view.in_flight.values() if source == ORIGIN_SOURCE)
    limited: list[Action] = []
    planned: set[int] = set()
    for action in actions:
        if isinstance(action, FetchFromOrigin):
            if free <= 0 or action.index in planned:
                continue
            free -= 1
        if not isinstance(action, RequestGrant):
            planned.add(action.index)
        limited.append(action)
    return limited


#: Id of the origin as a source in `TransferView.in_flight`.
ORIGIN_SOURCE = "(origin)"

POLICIES: dict[str, type[DistributionPolicy]] = {
    "budgeted": BudgetedPolicy,
    "swarm": SwarmPolicy,
    "static-tree": StaticTreePolicy,
    "origin-only": OriginOnlyPolicy,
}


class UnknownPolicy(LookupError):
    """No distribution policy has the given name."""


def register_policy(name: str, policy: type[DistributionPolicy]) -> None:
    """Add a policy that service documents may select by ``name``."""
    POLICIES[name] = policy


def make_policy(name: str, seed: int) -> DistributionPolicy:
    """Return a new policy of the given name; ``seed`` seeds its random choices.

    Raises `UnknownPolicy` when no policy has this name.
    """
    policy = POLICIES.get(name)
    if policy is None:
        known = ", ".join(sorted(POLICIES))
        raise UnknownPolicy(f"no distribution policy {name!r}; use one of {known}")
    return policy(seed)
