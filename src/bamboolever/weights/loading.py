"""Decides what one engine needs next to serve the target version.

Pure: the agent tells what it knows and carries out the answer.
"""

from dataclasses import dataclass
from enum import Enum

from bamboolever.fleet.records import EngineReport, ModelVersion


class LoadStep(Enum):
    """What the agent should do for its engine."""

    NOTHING = "nothing"
    LOOK_UP = "look-up"
    FETCH = "fetch"
    DRAIN = "drain"
    VERIFY = "verify"
    ORDER = "order"
    WAIT = "wait"


@dataclass(frozen=True)
class LoadState:
    """What an agent knows of its engine and its staged pieces."""

    target: ModelVersion | None
    report: EngineReport | None
    layers: int
    is_staged: bool
    is_drained: bool
    is_verified: bool


def serves_target(state: LoadState) -> bool:
    """Tell whether the engine serves the whole target version."""
    if state.target is None or state.report is None:
        return False
    return any(
        model.name == state.target.model
        and model.version == state.target.version
        and model.has_all_layers(state.layers)
        for model in state.report.models
    )


def next_step(state: LoadState) -> LoadStep:
    """Return what to do next."""
    if state.target is None:
        is_empty = state.report is not None and not state.report.models
        return LoadStep.LOOK_UP if is_empty else LoadStep.NOTHING
    if serves_target(state):
        return LoadStep.NOTHING
    if not state.is_staged:
        return LoadStep.FETCH
    if state.report is None or state.report.is_busy:
        return LoadStep.WAIT
    if not state.is_drained:
        return LoadStep.DRAIN
    return LoadStep.ORDER if state.is_verified else LoadStep.VERIFY


# How long an engine serves nothing while it changes its version.
SWITCH_S = 1.5
# Time without any service that is worth a second copy to half of the engines.
MIN_GAP_S = 0.5


@dataclass(frozen=True)
class Overtaking:
    """A version named while its predecessor is moving; times in seconds.

    ``elapsed_s`` is the time between the two namings, ``transfer_s`` what one
    version takes to every engine and ``timeout_s`` how long after a naming an
    older version may begin requests.
    """

    elapsed_s: float
    transfer_s: float
    timeout_s: float


def finishes_first(overtaking: Overtaking, *, is_second_half: bool) -> bool:
    """Tell whether a transfer under way ends before a newer version is fetched.

    Load pattern: a version named while its predecessor is moving. Where all drop
    it, the oldest version's time may be up before the newest has come; where all
    finish it, the newest comes a whole transfer later. So one half finishes it
    and serves in between, and the other half brings the newest. The answer
    depends on what all agents share, so that the halves are the same to all.
    """
    transfer_s, elapsed_s = overtaking.transfer_s, overtaking.elapsed_s
    gap_s = transfer_s - (overtaking.timeout_s - elapsed_s)
    if gap_s < MIN_GAP_S or is_second_half:
        return False
    serves_in_s = max(0.0, transfer_s - elapsed_s) + SWITCH_S
    return serves_in_s < transfer_s


def is_too_late(now: float, expires_at: float) -> bool:
    """Tell whether a version not yet staged would serve no request any more.

    Load pattern: a version whose last pieces do not come, since the origin is
    away. It is given up for the one that was named after it.
    """
    return now + SWITCH_S >= expires_at
