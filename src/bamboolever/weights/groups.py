"""Groups of agents: who imports a piece, from which group, and who hears from whom.

Takes the list of agents with their regions, and which of them are silent. Every agent
derives the same groups and the same order from the same list.

Load pattern: a fleet that grows. An agent hears from its group and from the agents that
it imports pieces from, so that the messages of one agent do not grow with the fleet.
"""

import functools
import math
from dataclasses import dataclass

from bamboolever._subset import rank_members
from bamboolever.net.addresses import Address
from bamboolever.weights.view import PEER_TIMEOUT_S, Group, SwarmView

# Agents of a region that form one group, at most on average.
MAX_GROUP_AGENTS = 24
# Enough for all pieces of a version with a few different lists of members.
MAX_CACHED_CHOICES = 4096


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

        A group is left out if every watched agent of it is silent, and from then on
        until one of its agents is heard.
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
                if group not in view.silent_groups
                and (group in heard or group not in silent)
            }
        )

    @property
    def groups(self) -> tuple[Group, ...]:
        """The groups with active agents, in a fixed order."""
        return tuple(sorted(self.members))


@functools.lru_cache(maxsize=MAX_CACHED_CHOICES)
def rank_importers(number: int, members: tuple[str, ...]) -> tuple[str, ...]:
    """Return a group's ``members`` in the order in which they import a piece."""
    return tuple(rank_members(f"piece\0{number}", members))


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

    These are the agents of its group, for each piece that it imports the first agents
    of the group that it imports from, and one of each silent group, another each time,
    to learn when the group is back.
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
    watched.update(_probe_silent_groups(view, now))
    return frozenset(
        peer.address for peer in view.peers if str(peer.address) in watched
    )


def _probe_silent_groups(view: SwarmView, now: float) -> list[str]:
    members: dict[Group, list[str]] = {}
    if view.silent_groups:
        for peer in view.peers:
            members.setdefault(Group.of(peer), []).append(str(peer.address))
    turn = int(now / PEER_TIMEOUT_S)
    found = []
    for group in view.silent_groups & members.keys():
        ranked = rank_members(f"probe\0{view.own.address}", members[group])
        found.append(ranked[turn % len(ranked)])
    return found
