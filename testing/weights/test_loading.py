"""What an engine needs next."""

import dataclasses

import pytest

from bamboolever.fleet.records import (
    EngineReport,
    LayerRange,
    LoadedModel,
    ModelVersion,
)
from bamboolever.weights.loading import (
    LoadState,
    LoadStep,
    Overtaking,
    finishes_first,
    is_too_late,
    next_step,
)

OLD = EngineReport((LoadedModel("m", 1, LayerRange(0, 4, 1)),), False, 0, 0, 0)
NEW = EngineReport((LoadedModel("m", 2, LayerRange(0, 4, 2)),), False, 1, 0, 0)
HALF = EngineReport((LoadedModel("m", 2, LayerRange(0, 2, 2)),), False, 1, 0, 0)
EMPTY = EngineReport((), False, 0, 0, 0)
STATE = LoadState(
    ModelVersion("m", 2), OLD, 4, is_staged=False, is_drained=False, is_verified=False
)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, LoadStep.FETCH),
        ({"report": NEW}, LoadStep.NOTHING),
        ({"report": HALF}, LoadStep.FETCH),
        ({"is_staged": True}, LoadStep.DRAIN),
        ({"is_staged": True, "is_verified": True}, LoadStep.DRAIN),
        ({"is_staged": True, "is_drained": True}, LoadStep.VERIFY),
        (
            {"is_staged": True, "is_drained": True, "is_verified": True},
            LoadStep.ORDER,
        ),
        ({"is_staged": True, "report": None}, LoadStep.WAIT),
        ({"target": None}, LoadStep.NOTHING),
        ({"target": None, "report": EMPTY}, LoadStep.LOOK_UP),
    ],
)
def test_next_step(changes, expected):
    assert next_step(dataclasses.replace(STATE, **changes)) is expected


def test_busy_engine_is_waited_for():
    busy = dataclasses.replace(OLD, is_busy=True)
    state = dataclasses.replace(STATE, report=busy, is_staged=True, is_verified=True)
    assert next_step(state) is LoadStep.WAIT


def _halves_that_finish(elapsed_s, transfer_s, timeout_s):
    overtaking = Overtaking(elapsed_s, transfer_s, timeout_s)
    return [
        finishes_first(overtaking, is_second_half=is_second_half)
        for is_second_half in (False, True)
    ]


def test_one_half_finishes_where_dropping_leaves_nothing_to_serve():
    """Either way for all of them, no engine served for three seconds."""
    assert _halves_that_finish(4.0, 5.6, 7.6) == [True, False]


def test_all_drop_a_version_where_the_newest_comes_in_time_without_it():
    assert _halves_that_finish(2.0, 5.6, 7.6) == [False, False]


def test_all_drop_a_version_that_has_hardly_begun_to_move():
    """Finishing it would bring it no sooner than the newest."""
    assert _halves_that_finish(1.0, 20.0, 8.0) == [False, False]


def test_version_that_would_serve_no_request_is_given_up():
    """It was finished two seconds after its successor was required."""
    assert not is_too_late(20.0, 27.6)
    assert is_too_late(26.5, 27.6)
