"""Decides when an engine that has its pieces gives up the older version.

Load pattern: all engines have a new version's pieces within a second of each
other, while demand leaves no room for all of them to stop at once. Half of them
switch as soon as they can; the others serve on until the older version's time is
up. An engine is drained first, so that little is running when it is ordered.
"""

from dataclasses import dataclass

from bamboolever._subset import rank_members

# How long running requests get before the engine is ordered to cut the rest.
DRAIN_S = 1.0


@dataclass(frozen=True)
class SwitchInput:
    """What the time of a switch depends on; times are seconds of one clock.

    ``due_at`` is when the older version may no longer begin requests.
    """

    staged_at: float
    due_at: float
    is_second_half: bool
    is_superseded: bool
    serves_older: bool


def drain_at(inputs: SwitchInput) -> float:
    """Return when the engine should stop taking requests."""
    if not inputs.serves_older or inputs.is_superseded or not inputs.is_second_half:
        return inputs.staged_at
    return max(inputs.staged_at, inputs.due_at)


def is_second_half(own: str, members: list[str], version: int) -> bool:
    """Tell whether this member is among those that switch later."""
    ranked = rank_members(f"switch\0{version}", members)
    if own not in ranked:
        return False
    return ranked.index(own) >= (len(ranked) + 1) // 2


def is_drained(running: int, drained_for_s: float) -> bool:
    """Tell whether the engine may be ordered now."""
    return running == 0 or drained_for_s >= DRAIN_S
