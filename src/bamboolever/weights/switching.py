"""Decides when an engine with all pieces staged stops serving the older version.

Takes when the pieces were staged, when the older version expires, and which half of the
fleet the engine belongs to. Decides when to start draining the engine, and when
draining is finished.

Load pattern: all engines have a new version's pieces staged within a second of each
other, but demand leaves no capacity for all of them to switch at once. Half of them
switch as soon as their pieces are staged; the others keep serving until the older
version expires. An engine is drained first, so that few requests are running when it
is ordered to load.
"""

from dataclasses import dataclass

from bamboolever._subset import rank_members

# How long running requests may continue before the engine is ordered to abort them.
DRAIN_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class SwitchInput:
    """What the time of a switch depends on; times are seconds of one clock.

    ``older_expires_at`` is when the older version may begin no more requests.
    ``is_second_half`` is true for an engine in the half that switches later,
    ``is_superseded`` when a newer rollout has started, and ``serves_older`` while the
    engine still serves an older version.
    """

    staged_at: float
    older_expires_at: float
    is_second_half: bool
    is_superseded: bool
    serves_older: bool


def drain_starts_at(inputs: SwitchInput) -> float:
    """Return when the engine should start draining, in seconds of the inputs' clock.

    Only an engine of the second half waits. A superseded version is loaded at once,
    so that it does not delay the newer one.
    """
    if not inputs.serves_older or inputs.is_superseded or not inputs.is_second_half:
        return inputs.staged_at
    return max(inputs.staged_at, inputs.older_expires_at)


def is_second_half(own: str, members: list[str], version: int) -> bool:
    """Return whether an agent is in the half that switches later.

    ``members`` are the addresses of all agents. A hash of address and version ranks
    them, so that the halves differ between versions. False if ``own`` is no member.
    """
    ranked = rank_members(f"switch\0{version}", members)
    if own not in ranked:
        return False
    return ranked.index(own) >= (len(ranked) + 1) // 2


def is_drain_finished(running: int, draining_for_s: float) -> bool:
    """Return whether a draining engine may be ordered to load.

    ``running`` is the number of its running and queued requests, ``draining_for_s``
    the seconds since draining started.
    """
    return running == 0 or draining_for_s >= DRAIN_TIMEOUT_S
