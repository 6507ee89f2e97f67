"""The distribution policies that ship with the product."""

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

LOCAL_PEERS = 8
MAX_FETCHES = 6
MAX_FETCHES_PER_PEER = 3
MAX_ORIGIN_FETCHES = 3
MAX_IMPORTS = 2
RANK_DELAY_S = 1.0
STALL_S = 3.0
DEAD_AFTER_S = 15.0
STALL_FETCHES = 8
CLEARLY_SOONER = 2.0
RARITY_SAMPLE = 64


class _PeerChooser:
    """Shared choice of chunk and source among connected peers."""

    def __init__(self, seed: int = 0):
        self._random = random.Random(seed)

    def fetch_from_peers(
        self, view: TransferView, peers: list[PeerView], wanted: int, now: float
    ) -> list[Action]:
        """Return fetches of the rarest wanted chunks from the freest peers."""
        actions: list[Action] = []
        free = MAX_FETCHES - len(view.in_flight)
        usable = [p for p in peers if p.retry_at <= now and p.held_chunks & wanted]
        if free <= 0 or not usable:
            return actions
        load = {p.location.instance_id: p.in_flight for p in usable}
        for index in self._rarest(usable, wanted, free * 2):
            source = self._freest(view, usable, load, index)
            if source is None:
                continue
            load[source] += 1
            actions.append(FetchFromPeer(index, source))
            if len(actions) >= free:
                break
        return actions

    def _rarest(self, peers: list[PeerView], wanted: int, limit: int) -> list[int]:
        offered = 0
        for peer in peers:
            offered |= peer.held_chunks
        common = offered & wanted
        start = self._random.randrange(max(1, common.bit_length()))
        candidates = take_bits(common, start, RARITY_SAMPLE)
        self._random.shuffle(candidates)
        candidates.sort(
            key=lambda index: sum(p.held_chunks >> index & 1 for p in peers)
        )
        return candidates[:limit]

    def _freest(
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
    """One import of each segment into a region, then peers within it.

    Under the aim ``time-to-n`` every region reads from the origin while the cap
    allows it; under ``origin-bytes`` one region does, and the others import.
    """

    def __init__(self, seed: int = 0):
        self._chooser = _PeerChooser(seed)
        self._near: list[str] = []
        self._near_version = (0, -1)

    def wanted_peers(self, view: TransferView) -> list[str]:
        """Return a subset of the region, and the sources of held imports."""
        wanted = self._near_peers(view)
        for segment in range(view.segment_count):
            wanted += self._import_sources(view, segment)
        return list(dict.fromkeys(wanted))

    def _near_peers(self, view: TransferView) -> list[str]:
        if self._near_version != (id(view), view.fleet_version):
            own = view.location.instance_id
            others = [member for member in view.region_members() if member != own]
            self._near = select_subset(own, others, LOCAL_PEERS)
            self._near_version = (id(view), view.fleet_version)
        return list(self._near)

    def plan(self, view: TransferView, now: float) -> list[Action]:
        """Return fetches from near peers, held grants, and grant requests."""
        missing = view.missing
        if not missing:
            return []
        actions = self._chooser.fetch_from_peers(view, view.local_peers(), missing, now)
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
        return _limit_origin(view, actions)

    def _plan_segment(
        self, view: TransferView, segment: int, wanted: int, now: float
    ) -> list[Action]:
        state = view.grants[segment]
        own = view.location.instance_id
        if state.grants.importer_of(view.location.region) != own:
            return self._request_if_due(view, segment, wanted, now)
        from_origin = [i for i in iterate_bits(wanted) if i in state.origin_budget]
        if from_origin:
            return [FetchFromOrigin(index) for index in from_origin]
        abroad = [
            peer
            for peer in view.peers.values()
            if peer.location.region != view.location.region and not peer.is_banned
        ]
        if state.is_pending or self._is_origin_sooner(view, segment):
            return self._request_all(view, segment, wanted, now)
        fetches = self._fetch_abroad(view, abroad, wanted, now)
        if fetches:
            return fetches
        return self._request_copy(view, segment, wanted, abroad, now)

    def _is_origin_sooner(self, view: TransferView, segment: int) -> bool:
        """Whether the origin answers far sooner than the other regions do."""
        if view.aim != "time-to-n" or view.grants[segment].is_copy_refused:
            return False
        if view.origin_fetch_s is None or view.import_fetch_s is None:
            return False
        return view.origin_fetch_s * CLEARLY_SOONER < view.import_fetch_s

    def _request_all(
        self, view: TransferView, segment: int, wanted: int, now: float
    ) -> list[Action]:
        state = view.grants[segment]
        if state.is_pending or now < state.retry_at:
            return []
        missing = tuple(iterate_bits(wanted))
        return [RequestGrant(segment, missing, frozenset(), True)]

    def _fetch_abroad(
        self, view: TransferView, abroad: list[PeerView], wanted: int, now: float
    ) -> list[Action]:
        # One fetch measures the links before more of them fill up.
        limit = MAX_IMPORTS if view.import_fetch_s is not None else 1
        free = limit - sum(peer.in_flight for peer in abroad)
        if free <= 0:
            return []
        return self._chooser.fetch_from_peers(view, abroad, wanted, now)[:free]

    def _request_copy(
        self,
        view: TransferView,
        segment: int,
        wanted: int,
        abroad: list[PeerView],
        now: float,
    ) -> list[Action]:
        """Ask the origin for what the links from other regions leave waiting.

        Only once a peer holds every chunk that is missing here: until then the
        origin's link is better used for the first copy.
        """
        offered = 0
        for peer in abroad:
            offered |= peer.held_chunks
        waiting = list(iterate_bits(wanted & offered))
        state = view.grants[segment]
        is_free = not state.is_pending and now >= state.retry_at
        is_first_out = not view.missing & ~_offered_by_all(view)
        may_copy = view.aim == "time-to-n" and is_first_out
        may_copy = may_copy and not state.is_copy_refused
        share = _count_for_origin(view, len(waiting)) if may_copy else 0
        if share and is_free:
            # From the end: the imports under way begin at the start.
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
        importer = state.grants.importer_of(view.location.region)
        idle_s = now - view.progress_at[segment]
        dead = self._dead_holders(view, segment, idle_s)
        if importer is None:
            is_due = idle_s >= rank * RANK_DELAY_S
        elif importer == own:
            has_read = own in state.grants.origin_holders()
            is_stalled = has_read and idle_s >= STALL_S
            is_due = is_stalled or bool(dead) or not state.grants.origin
        else:
            is_due = importer in dead and idle_s >= rank * RANK_DELAY_S
        if not is_due:
            return []
        missing = tuple(iterate_bits(wanted))
        is_home = _home_region(view, key) == view.location.region
        is_origin_copy_wanted = is_home or bool(dead)
        return [RequestGrant(segment, missing, dead, is_origin_copy_wanted)]

    def _dead_holders(
        self, view: TransferView, segment: int, idle_s: float
    ) -> frozenset[str]:
        grants = view.grants[segment].grants
        holders = grants.origin_holders() | {g.holder for g in grants.imports}
        own = view.location.instance_id
        pace_s = max(view.origin_fetch_s or 0.0, view.import_fetch_s or 0.0)
        if idle_s >= max(DEAD_AFTER_S, STALL_FETCHES * pace_s):
            return frozenset(holders - {own})
        # One that is not listed yet is no dead one: the list lags.
        return frozenset(holders & view.departed)

    def _import_sources(self, view: TransferView, segment: int) -> list[str]:
        grants = view.grants[segment].grants
        own = view.location.instance_id
        if grants.importer_of(view.location.region) != own:
            return []
        if not view.segment_masks[segment] & ~view.held_chunks:
            return []
        holders = grants.origin_holders() | {g.holder for g in grants.imports}
        return sorted(h for h in holders if h != own and h in view.fleet)


@final
class SwarmPolicy(DistributionPolicy):
    """A plain swarm over all regions; one instance reads each chunk first."""

    def __init__(self, seed: int = 0):
        self._chooser = _PeerChooser(seed)

    def wanted_peers(self, view: TransferView) -> list[str]:
        """Return a subset of the whole fleet."""
        own = view.location.instance_id
        others = [member for member in view.fleet if member != own]
        return select_subset(own, others, LOCAL_PEERS)

    def plan(self, view: TransferView, now: float) -> list[Action]:
        """Return fetches from any peer, and of own chunks from the origin."""
        peers = [peer for peer in view.peers.values() if not peer.is_banned]
        actions = self._chooser.fetch_from_peers(view, peers, view.missing, now)
        planned = {a.index for a in actions if isinstance(a, FetchFromPeer)}
        idle_s = now - max(view.progress_at)
        for index in iterate_bits(view.missing):
            if index not in planned and self._is_first(view, index, idle_s):
                actions.append(FetchFromOrigin(index))
        return _limit_origin(view, actions)

    def _is_first(self, view: TransferView, index: int, idle_s: float) -> bool:
        if idle_s > STALL_S * 2:
            return True
        key = view.manifest.chunks[index].digest
        first = max(view.fleet, key=lambda member: score_member(key, member))
        return first == view.location.instance_id


@final
class StaticTreePolicy(DistributionPolicy):
    """A binary tree in the order of instance ids; the root reads the origin."""

    def __init__(self, seed: int = 0):
        self._chooser = _PeerChooser(seed)

    def wanted_peers(self, view: TransferView) -> list[str]:
        """Return the parent, if there is one."""
        order = sorted(view.fleet)
        position = order.index(view.location.instance_id)
        return [order[(position - 1) // 2]] if position else []

    def plan(self, view: TransferView, now: float) -> list[Action]:
        """Return fetches from the parent, or at the root from the origin."""
        wanted = self.wanted_peers(view)
        if not wanted:
            return _read_all_from_origin(view)
        parents = [view.peers[p] for p in wanted if p in view.peers]
        return self._chooser.fetch_from_peers(view, parents, view.missing, now)


@final
class OriginOnlyPolicy(DistributionPolicy):
    """Everyone reads everything from the origin."""

    def wanted_peers(self, view: TransferView) -> list[str]:
        """Return no peers."""
        return []

    def plan(self, view: TransferView, now: float) -> list[Action]:
        """Return origin reads of all missing chunks."""
        return _read_all_from_origin(view)


def _count_for_origin(view: TransferView, waiting: int) -> int:
    """Return how many of the waiting chunks the origin would bring sooner.

    Splits them so that the origin and the links from other regions, each at
    its measured pace, end at the same time; none before both are measured.
    """
    if view.origin_fetch_s is None or view.import_fetch_s is None:
        return 0
    import_s = view.import_fetch_s / MAX_IMPORTS
    return int(waiting * import_s / (view.origin_fetch_s + import_s))


def _offered_by_all(view: TransferView) -> int:
    """Return the chunks that some connected peer holds."""
    offered = 0
    for peer in view.peers.values():
        offered |= peer.held_chunks
    return offered


def _home_region(view: TransferView, key: str) -> str:
    """Return the region that reads a segment from the origin first."""
    regions = {location.region for location in view.fleet.values()}
    return max(regions, key=lambda region: score_member(key, region))


def _read_all_from_origin(view: TransferView) -> list[Action]:
    actions: list[Action] = [FetchFromOrigin(i) for i in iterate_bits(view.missing)]
    return _limit_origin(view, actions)


def _limit_origin(view: TransferView, actions: list[Action]) -> list[Action]:
    free = MAX_ORIGIN_FETCHES
    free -= sum(1 for source in view.in_flight.values() if source == ORIGIN_SOURCE)
    limited: list[Action] = []
    seen: set[int] = set()
    for action in actions:
        if isinstance(action, FetchFromOrigin):
            if free <= 0 or action.index in seen:
                continue
            free -= 1
        if not isinstance(action, RequestGrant):
            seen.add(action.index)
        limited.append(action)
    return limited


#: Name of the origin among the sources in `BurstView.in_flight`.
ORIGIN_SOURCE = "(origin)"

POLICIES: dict[str, type[DistributionPolicy]] = {
    "budgeted": BudgetedPolicy,
    "swarm": SwarmPolicy,
    "static-tree": StaticTreePolicy,
    "origin-only": OriginOnlyPolicy,
}


class UnknownPolicy(LookupError):
    """No distribution policy is registered under the name."""


def register_policy(name: str, policy: type[DistributionPolicy]) -> None:
    """Make a policy selectable by ``name`` in service documents."""
    POLICIES[name] = policy


def make_policy(name: str, seed: int) -> DistributionPolicy:
    """Return a new policy.

    Raises `UnknownPolicy` when no policy has this name.
    """
    policy = POLICIES.get(name)
    if policy is None:
        known = ", ".join(sorted(POLICIES))
        raise UnknownPolicy(f"no distribution policy {name!r}; use one of {known}")
    return policy(seed)
