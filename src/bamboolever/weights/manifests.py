"""Decides from where an agent fetches a version's manifest, and when.

Takes the agents of a fleet, the calls that are in flight or failed, and which agents
announced that they have the version. Decides which calls to send now.

Load pattern: all agents need the same manifest at once, from one origin over links that
other transfers fill. In each group one agent, chosen by hash, asks the origin at once.
The others ask the agents before them in the order, which respond as soon as they have
it. Each that stays silent or fails moves an agent one place forward, so that the origin
is asked by few. No call is given up for another: a further one goes beside it.
"""

import math
from dataclasses import dataclass, field
from typing import final

from bamboolever._subset import rank_members
from bamboolever.net.addresses import Address
from bamboolever.weights.groups import import_source
from bamboolever.weights.view import Group, Peer

# How long a source may be silent until the next one is asked as well. The response of
# the first is not lost, so this bounds the calls, not the time of a response.
NEXT_SOURCE_DELAY_S = 1.0
# A source is asked once more beside a silent call: the connection may be lost.
MIN_REPEAT_DELAY_S = 2.0
MAX_REPEAT_DELAY_S = 8.0
MAX_CALLS_PER_SOURCE = 2
# Pause after a failed call until the same source is asked again.
MIN_RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 2.4
DELAY_GROWTH = 2.0
# Agents of the group that this one imports from that are asked before the origin.
MAX_IMPORT_SOURCES = 2


def rank_manifest_sources(
    own: Peer, peers: list[Peer], model: str, origin_region: str
) -> list[Address | None]:
    """Return the sources of a manifest in the order to ask them; None is the origin.

    These are the agents that come before ``own`` in its group, those of the group in
    the same region that the group imports from, the origin, and the agents that come
    after ``own``, for an origin that does not respond.
    """
    key = f"manifest\0{model}"
    own_group = Group.of(own)
    members: dict[Group, dict[str, Address]] = {}
    for peer in (own, *peers):
        group = members.setdefault(Group.of(peer), {})
        group[str(peer.address)] = peer.address
    ranked = rank_members(key, members[own_group])
    position = ranked.index(str(own.address))
    in_group = [members[own_group][name] for name in ranked]
    sources: list[Address | None] = [*in_group[:position]]
    in_region = tuple(group for group in members if group.region == own.region)
    source = import_source(0, own_group, tuple(sorted(in_region)), origin_region)
    if source is not None:
        first = rank_members(key, members[source])[:MAX_IMPORT_SOURCES]
        sources += [members[source][name] for name in first]
    return [*sources, None, *in_group[position + 1 :]]


@dataclass
class _Source:
    address: Address | None
    in_flight: int = 0
    has_failed: bool = False
    next_call_at: float = -math.inf
    retry_delay_s: float = MIN_RETRY_DELAY_S
    repeat_delay_s: float = MIN_REPEAT_DELAY_S


@final
@dataclass
class ManifestSearch:
    """The calls for one manifest, from ``started_at`` until one is successful.

    ``sources`` come from `rank_manifest_sources`. Times are seconds of one clock.
    """

    sources: list[Address | None]
    started_at: float
    _states: list[_Source] = field(init=False)

    def __post_init__(self) -> None:
        self._states = [_Source(address) for address in self.sources]

    def due(self, now: float) -> list[Address | None]:
        """Return the sources to call now; each call counts as sent at ``now``."""
        found = []
        opens_at = self.started_at
        for state in self._states:
            if now < opens_at:
                break
            if now >= state.next_call_at and state.in_flight < MAX_CALLS_PER_SOURCE:
                found.append(state.address)
                self._on_sent(state, now)
            if not state.has_failed:
                opens_at += NEXT_SOURCE_DELAY_S
        return found

    def on_failed(self, address: Address | None, now: float) -> None:
        """Record that a call of a source ended without a manifest."""
        state = self._find(address)
        if state is None:
            return
        state.in_flight -= 1
        state.has_failed = True
        state.next_call_at = now + state.retry_delay_s
        state.retry_delay_s = min(MAX_RETRY_DELAY_S, state.retry_delay_s * DELAY_GROWTH)

    def on_announced(self, address: Address) -> bool:
        """Make an agent that has the manifest the first source.

        Returns whether it was none before.
        """
        if self._find(address) is not None:
            return False
        # It is known to have the manifest, so it does not delay the others.
        self._states.insert(0, _Source(address, has_failed=True))
        return True

    def _on_sent(self, state: _Source, now: float) -> None:
        state.in_flight += 1
        state.next_call_at = now + state.repeat_delay_s
        state.repeat_delay_s = min(
            MAX_REPEAT_DELAY_S, state.repeat_delay_s * DELAY_GROWTH
        )

    def _find(self, address: Address | None) -> _Source | None:
        return next((each for each in self._states if each.address == address), None)
