"""Decides when an engine with all pieces staged stops serving the older version.

Takes which agents have all pieces, and since when, when the older version expires, and
the order of the agents. Decides when an engine starts to drain, how long it may drain,
and when draining is finished.

Load pattern: all engines have a new version's pieces staged within seconds of each
other, but demand leaves no capacity for all of them to switch at once. Every agent
computes the same schedule of the fleet, or of its group in a large one: whenever a
place is free, it goes to the first agent in the order that has the pieces, so that
nobody waits for an engine that is down or not staged. The places are as far apart as
needed to keep a share of the fleet in service. If time is short, engines drain for
less time, and more of them switch at once only if that does not suffice.
"""

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import final

from bamboolever._subset import rank_members

# How long running requests may continue before the engine is ordered to abort them.
DRAIN_TIMEOUT_S = 1.0
# From the end of the drain until the engine serves: the pieces are read back and
# loaded, and a report shows it. Loading and reporting take 0.35 s; the rest is margin.
LOAD_DURATION_S = 0.4
# The largest share of the engines that is out of service at once, while time allows it.
MAX_SWITCHING_SHARE = 0.2
# An agent waits this long after its last piece for the piece maps of agents that got
# all pieces at the same time. They are sent within 0.01 s of the last piece.
SETTLE_S = 0.1
# Added to the duration of a switch when places are scheduled: the delays of piece maps
# differ, so that two engines may take the same place.
PLACE_SLACK_S = 0.15
# In a larger fleet, the agents tell only those of their group that they have all
# pieces, so that the messages of one agent do not grow with the fleet.
MAX_JOINT_AGENTS = 48


@dataclass(frozen=True)
class SwitchMember:
    """Another agent, and when it had all pieces; None if it lacks some.

    The time is in seconds of the deciding agent's clock, at which it heard of it.
    """

    address: str
    staged_at: float | None


@dataclass(frozen=True)
class SwitchInput:
    """What the time of a switch depends on; times are seconds of one clock.

    ``own`` is this agent's address and ``staged_at`` when it had all pieces.
    ``others`` are the other agents of the schedule that may be alive. ``fleet_size`` is
    the number of agents in all schedules. ``phase`` is the schedule's place among them,
    from 0 to less than 1. From ``older_expires_at`` on, no request may begin on the
    older version. ``turn`` is the agent's place among all agents, from 0 for the first
    to 1 for the last. ``is_superseded`` is true when a newer rollout has started, and
    ``serves_older`` while the engine still serves an older version.
    """

    own: str
    version: int
    staged_at: float
    others: tuple[SwitchMember, ...]
    fleet_size: int
    phase: float
    older_expires_at: float
    turn: float
    is_superseded: bool
    serves_older: bool


@dataclass(frozen=True)
class SwitchPlan:
    """When an engine starts to drain, in seconds of the inputs' clock.

    ``drain_limit_s`` is how many seconds it may drain at most.
    """

    starts_at: float
    drain_limit_s: float


class SwitchPolicy(ABC):
    """Decides when one engine switches. Every agent of a fleet uses the same policy."""

    def plan(self, inputs: SwitchInput) -> SwitchPlan:
        """Return the switch of the inputs' agent as far as is known now.

        It may change with the inputs until it starts. An engine that serves no older
        version, or only one that has expired, switches at once. So does one whose
        version is superseded, so that it does not delay the newer one.
        """
        if inputs.is_superseded:
            return SwitchPlan(inputs.staged_at, DRAIN_TIMEOUT_S)
        if not inputs.serves_older or inputs.staged_at >= inputs.older_expires_at:
            return SwitchPlan(inputs.staged_at, 0.0)
        return self._plan_serving(inputs)

    @abstractmethod
    def _plan_serving(self, inputs: SwitchInput) -> SwitchPlan:
        """Return the switch of an engine whose older version is still permitted."""


@final
class CapacityPolicy(SwitchPolicy):
    """Keeps ``max_share`` of the fleet out of service at most, while time allows it.

    With a share of 0 the engines of a schedule switch one at a time.
    """

    def __init__(self, max_share: float = MAX_SWITCHING_SHARE):
        self._max_share = max_share

    def _plan_serving(self, inputs: SwitchInput) -> SwitchPlan:
        last_start = inputs.older_expires_at - LOAD_DURATION_S
        members = (SwitchMember(inputs.own, inputs.staged_at), *inputs.others)
        ranked = rank_members(
            f"switch\0{inputs.version}", [member.address for member in members]
        )
        rank = {address: position for position, address in enumerate(ranked)}
        waiting = {
            member.address: min(
                member.staged_at + SETTLE_S, max(member.staged_at, last_start)
            )
            for member in members
            if member.staged_at is not None
        }
        count = len(members)
        first = min(waiting.values())
        free_at = first + inputs.phase * self._interval_s(inputs, first, count)
        for done in range(count):
            at = max(free_at, min(waiting.values()))
            # An agent hears of the others later than of itself: those staged at about
            # the same time compete for a place by their order.
            staged = [
                address for address, since in waiting.items() if since <= at + SETTLE_S
            ]
            chosen = min(staged, key=rank.__getitem__)
            interval_s = self._interval_s(inputs, at, count - done)
            if chosen == inputs.own:
                at = max(at, waiting[chosen])
                return SwitchPlan(at, self._drain_limit_s(inputs, at, interval_s))
            del waiting[chosen]
            free_at = at + interval_s
        raise AssertionError("the own agent is among those that wait")

    def _places(self, inputs: SwitchInput) -> int:
        """Return how many engines of the schedule may be out of service at once."""
        of_fleet = max(1, math.floor(inputs.fleet_size * self._max_share))
        size = 1 + len(inputs.others)
        return max(1, math.floor(of_fleet * size / max(inputs.fleet_size, size)))

    def _interval_s(self, inputs: SwitchInput, at: float, left: int) -> float:
        """Return the time from a switch at ``at`` to the schedule's next one."""
        usable_s = max(0.0, inputs.older_expires_at - LOAD_DURATION_S - at)
        full_s = DRAIN_TIMEOUT_S + LOAD_DURATION_S + PLACE_SLACK_S
        return min(full_s / self._places(inputs), usable_s / left)

    def _drain_limit_s(
        self, inputs: SwitchInput, at: float, interval_s: float
    ) -> float:
        """Return the drain with which the share of engines is kept at this rate."""
        usable_s = inputs.older_expires_at - LOAD_DURATION_S - at
        place_s = interval_s * self._places(inputs)
        within_share_s = place_s - LOAD_DURATION_S - PLACE_SLACK_S
        return max(0.0, min(DRAIN_TIMEOUT_S, usable_s, within_share_s))


@final
class TurnPolicy(SwitchPolicy):
    """Baseline: spreads the starts by turn until the older version expires."""

    def _plan_serving(self, inputs: SwitchInput) -> SwitchPlan:
        remaining_s = inputs.older_expires_at - inputs.staged_at
        starts_at = inputs.staged_at + inputs.turn * remaining_s
        return SwitchPlan(starts_at, DRAIN_TIMEOUT_S)


@final
class AtOncePolicy(SwitchPolicy):
    """Baseline: every engine switches as soon as it has all pieces."""

    def _plan_serving(self, inputs: SwitchInput) -> SwitchPlan:
        return SwitchPlan(inputs.staged_at, DRAIN_TIMEOUT_S)


def make_switch_policy(name: str) -> SwitchPolicy:
    """Return the policy ``capacity``, ``one-by-one``, ``turn`` or ``at-once``.

    Raises `LookupError` for another name.
    """
    policies: dict[str, SwitchPolicy] = {
        "capacity": CapacityPolicy(),
        "one-by-one": CapacityPolicy(max_share=0.0),
        "turn": TurnPolicy(),
        "at-once": AtOncePolicy(),
    }
    if name not in policies:
        raise LookupError(f"no switch policy is named {name!r}")
    return policies[name]


def is_joint_schedule(fleet_size: int) -> bool:
    """Return whether all agents have one schedule, and not each group its own."""
    return fleet_size <= MAX_JOINT_AGENTS


def switch_turn(own: str, members: list[str], version: int) -> float:
    """Return an agent's place in the order of switches, from 0 to 1.

    ``members`` are the addresses of all agents. A hash of address and version ranks
    them, so that the order differs between versions. 0 if ``own`` is no member or the
    only one.
    """
    ranked = rank_members(f"switch\0{version}", members)
    if own not in ranked or len(ranked) == 1:
        return 0.0
    return ranked.index(own) / (len(ranked) - 1)


def is_second_half(turn: float) -> bool:
    """Return whether an agent is in the half that switches later."""
    return turn > 0.5


def is_drain_finished(
    running: int, draining_for_s: float, limit_s: float = DRAIN_TIMEOUT_S
) -> bool:
    """Return whether a draining engine may be ordered to load.

    ``running`` is the number of its running and queued requests, ``draining_for_s``
    the seconds since draining started, and ``limit_s`` those it may drain at most.
    """
    return running == 0 or draining_for_s >= limit_s
