"""The next step of an engine, and transfers that a newer rollout supersedes."""

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
    RolloutOverlap,
    expires_before_serving,
    next_step,
    should_finish_transfer,
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


def test_agent_waits_for_busy_engine():
    busy = dataclasses.replace(OLD, is_busy=True)
    state = dataclasses.replace(STATE, report=busy, is_staged=True, is_verified=True)
    assert next_step(state) is LoadStep.WAIT


def _finishing_halves(elapsed_s, transfer_s, timeout_s):
    overlap = RolloutOverlap(elapsed_s, transfer_s, timeout_s)
    return [
        should_finish_transfer(overlap, is_second_half=is_second_half)
        for is_second_half in (False, True)
    ]


def test_one_half_finishes_if_dropping_would_leave_no_serving_engine():
    """When all agents dropped the version or all finished it, no engine served for
    three seconds.
    """
    assert _finishing_halves(4.0, 5.6, 7.6) == [True, False]


def test_all_drop_a_version_if_the_newest_serves_before_the_oldest_expires():
    assert _finishing_halves(1.0, 3.0, 7.6) == [False, False]


@pytest.mark.parametrize("times", [(4.0, 4.4, 9.3), (2.0, 5.6, 7.6)])
def test_time_of_the_fleet_and_of_the_switch_counts_until_the_newest_serves(times):
    """Guards against two seconds without any engine on a permitted version.

    One link would have had the newest version in time, but the fleet of 36 did not.
    """
    assert _finishing_halves(*times) == [True, False]


def test_all_drop_a_version_whose_transfer_has_only_just_started():
    """Finishing it would take at least as long as fetching the newest."""
    assert _finishing_halves(1.0, 20.0, 8.0) == [False, False]


def test_version_that_would_expire_before_serving_is_dropped():
    """Its transfer used to finish two seconds after the next version was required."""
    assert not expires_before_serving(20.0, 27.6)
    assert expires_before_serving(26.5, 27.6)
