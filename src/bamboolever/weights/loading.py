"""Decides the next step that brings one engine to its target version.

Takes the target version, the engine's last report and the state of its pieces. Decides
the next step, and whether a version that a newer rollout superseded is still
transferred. The functions have no side effects; the agent collects the state and
carries out the step.

Load pattern: every engine of a fleet changes its version while it serves requests. An
engine is drained only after its pieces are staged, so that it serves until then.
"""

from dataclasses import dataclass
from enum import Enum

from bamboolever.fleet.records import EngineReport, ModelVersion


class LoadStep(Enum):
    """What the agent does next for its engine.

    LOOK_UP starts the transfer of the origin's newest version, FETCH that of the target
    version. DRAIN stops new requests, VERIFY reads the staged pieces back and ORDER
    orders the engine to load them. WAIT waits for the engine's next report.
    """

    NOTHING = "nothing"
    LOOK_UP = "look-up"
    FETCH = "fetch"
    DRAIN = "drain"
    VERIFY = "verify"
    ORDER = "order"
    WAIT = "wait"


@dataclass(frozen=True)
class LoadState:
    """What an agent knows about its engine and the staged pieces.

    ``target`` is None until a version was rolled out or looked up, ``report`` while
    the engine does not respond. ``layer_count`` is the number of layers of the model.
    ``is_staged`` means that all pieces are staged, ``is_drained`` that the engine may
    be ordered to load, and ``is_verified`` that the staged pieces were just read back.
    """

    target: ModelVersion | None
    report: EngineReport | None
    layer_count: int
    is_staged: bool
    is_drained: bool
    is_verified: bool


def serves_target(state: LoadState) -> bool:
    """Return whether the engine serves the target version with all layers."""
    if state.target is None or state.report is None:
        return False
    return any(
        model.name == state.target.model
        and model.version == state.target.version
        and model.has_all_layers(state.layer_count)
        for model in state.report.models
    )


def next_step(state: LoadState) -> LoadStep:
    """Return the next step towards the target version.

    Without a target, an engine that serves no model gets the origin's newest version.
    """
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


# How long an engine serves nothing while it switches to another version.
SWITCH_DURATION_S = 1.5
# A whole fleet takes longer to transfer a version than one link does: agents wait for
# pieces that others still import.
FLEET_TRANSFER_FACTOR = 1.35
# A shorter time without any serving engine does not justify transferring a second
# version to half of the engines.
MIN_SERVICE_GAP_S = 0.5


@dataclass(frozen=True)
class RolloutOverlap:
    """A rollout that starts while the previous version is still transferred.

    Times are in seconds. ``elapsed_s`` is the time between the starts of the two
    rollouts, ``transfer_s`` how long the transfer of a version to every engine takes,
    and ``timeout_s`` how long after the start of a rollout older versions expire.
    """

    elapsed_s: float
    transfer_s: float
    timeout_s: float


def should_finish_transfer(overlap: RolloutOverlap, *, is_second_half: bool) -> bool:
    """Return whether an agent finishes the previous version before the newest one.

    Load pattern: a rollout starts while the previous version is still being
    transferred. If all agents drop that version, the oldest one, which the engines
    serve, may expire before the newest has arrived, and no engine serves. If all
    agents finish it, the newest arrives one transfer later. So one half finishes it
    and serves it in between, while the other half fetches the newest at once. Both
    halves drop it if the gap in service would be under `MIN_SERVICE_GAP_S`, or if it
    would serve no sooner than the newest arrives. The decision depends only on values
    that all agents share, so that they agree on the halves.
    """
    transfer_s, elapsed_s = overlap.transfer_s, overlap.elapsed_s
    newest_serves_at = (
        elapsed_s + transfer_s * FLEET_TRANSFER_FACTOR + SWITCH_DURATION_S
    )
    gap_s = newest_serves_at - overlap.timeout_s
    if gap_s < MIN_SERVICE_GAP_S or is_second_half:
        return False
    serves_in_s = max(0.0, transfer_s - elapsed_s) + SWITCH_DURATION_S
    return serves_in_s < transfer_s


def expires_before_serving(now: float, expires_at: float) -> bool:
    """Return whether a version that is not staged yet would expire before it serves.

    Load pattern: the origin is unreachable, and the last pieces of a version do not
    arrive. The agent then drops it for the version of the next rollout. Both times
    are seconds of one clock.
    """
    return now + SWITCH_DURATION_S >= expires_at
