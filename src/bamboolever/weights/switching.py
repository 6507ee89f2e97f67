"""Decides when an engine with all pieces staged stops serving the older version.

Takes when the pieces were staged, when the older version expires, and the engine's turn
among all engines. Decides when to start draining the engine, and when draining is
finished.

Load pattern: all engines have a new version's pieces staged within a second of each
other, but demand leaves no capacity for all of them to switch at once. Their switches
are spread evenly from then until the older version expires, so that as few as possible
are away together. An engine is drained first, so that few requests are running when it
is ordered to load. Turns follow from the list of engines and the clock: nobody waits
for an engine that is down.
"""

from dataclasses import dataclass

from bamboolever._subset import rank_members

# How long running requests may continue before the engine is ordered to abort them.
DRAIN_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class SwitchInput:
    """What the time of a switch depends on; times are seconds of one clock.

    ``older_expires_at`` is when the older version may begin no more requests. ``turn``
    is the engine's place in the order of all, from 0 for the first to 1 for the last.
    ``is_superseded`` is true when a newer rollout has started, and ``serves_older``
    while the engine still serves an older version.
    """

    staged_at: float
    older_expires_at: float
    turn: float
    is_superseded: bool
    serves_older: bool


def drain_starts_at(inputs: SwitchInput) -> float:
    """Return when the engine should start draining, in seconds of the inputs' clock.

    A superseded version is loaded at once, so that it does not delay the newer one.
    """
    if not inputs.serves_older or inputs.is_superseded:
        return inputs.staged_at
    remaining_s = max(0.0, inputs.older_expires_at - inputs.staged_at)
    return inputs.staged_at + inputs.turn * remaining_s


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


def is_drain_finished(running: int, draining_for_s: float) -> bool:
    """Return whether a draining engine may be ordered to load.

    ``running`` is the number of its running and queued requests, ``draining_for_s``
    the seconds since draining started.
    """
    return running == 0 or draining_for_s >= DRAIN_TIMEOUT_S
