"""Decides what one engine needs next to serve the target version.

Pure: the agent tells what it knows and carries out the answer.
"""

from dataclasses import dataclass
from enum import Enum

from bamboolever.fleet.records import EngineReport, NamedVersion


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

    target: NamedVersion | None
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
        and model.is_whole(state.layers)
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


# A transfer that has come this far is ended before a newer version's begins.
FINISH_SHARE = 0.55


def finishes_first(elapsed_s: float, transfer_s: float) -> bool:
    """Tell whether a transfer under way ends before a newer version is fetched.

    Load pattern: a version named while its predecessor is moving. Dropping one
    that is almost there leaves the engines on a version whose time runs out
    before the newer one can have come. The answer depends on times that all
    agents share, so that they move the same version.
    """
    return elapsed_s >= FINISH_SHARE * transfer_s
