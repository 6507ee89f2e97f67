"""When engines stop serving the older version, also in replays of a whole fleet."""

import dataclasses
import functools

import pytest
from switchreplay import SwitchReplay

from bamboolever.weights.switching import (
    DRAIN_TIMEOUT_S,
    LOAD_DURATION_S,
    SwitchInput,
    SwitchMember,
    SwitchPlan,
    is_drain_finished,
    is_second_half,
    make_switch_policy,
    switch_turn,
)

INPUT = SwitchInput(
    own="m0",
    version=2,
    staged_at=6.2,
    others=(SwitchMember("m1", None),),
    fleet_size=2,
    phase=0.0,
    older_expires_at=13.6,
    turn=1.0,
    is_superseded=False,
    serves_older=True,
)
POLICIES = ("capacity", "one-by-one", "turn", "at-once")
SEEDS = range(1, 5)


def _plan(policy="capacity", **changes):
    inputs = dataclasses.replace(INPUT, **changes)
    return make_switch_policy(policy).plan(inputs)


@functools.cache
def _replays(policy="capacity", **options):
    switch_policy = make_switch_policy(policy)
    return [SwitchReplay(switch_policy, seed=seed, **options) for seed in SEEDS]


def test_baseline_spreads_by_turn_until_the_older_version_expires():
    assert _plan("turn", turn=0.0).starts_at == 6.2
    assert _plan("turn", turn=0.5).starts_at == pytest.approx(9.9)
    assert _plan("turn", turn=1.0).starts_at == pytest.approx(13.6)


def test_unknown_policy_is_refused():
    with pytest.raises(LookupError):
        make_switch_policy("unknown")


@pytest.mark.parametrize("policy", POLICIES)
def test_engine_without_older_version_switches_at_once(policy):
    assert _plan(policy, serves_older=False) == SwitchPlan(6.2, 0.0)


@pytest.mark.parametrize("policy", POLICIES)
def test_superseded_version_does_not_delay_the_newer_one(policy):
    assert _plan(policy, is_superseded=True).starts_at == 6.2


@pytest.mark.parametrize("policy", POLICIES)
def test_engine_staged_after_the_expiry_switches_at_once(policy):
    """Guards against a drain of an engine that may begin no request any more."""
    assert _plan(policy, staged_at=15.0) == SwitchPlan(15.0, 0.0)


def test_first_staged_engine_waits_for_nobody():
    """Guards against an engine that waits for one that is down or not staged."""
    plan = _plan()
    assert plan.starts_at <= 6.4
    assert plan.drain_limit_s == pytest.approx(DRAIN_TIMEOUT_S)


def test_engine_staged_just_before_the_expiry_does_not_drain():
    plan = _plan(staged_at=13.6 - LOAD_DURATION_S / 2)
    assert plan == SwitchPlan(13.6 - LOAD_DURATION_S / 2, 0.0)


@pytest.mark.parametrize(
    "options",
    [
        {"left_s": 8.0},
        {"left_s": 3.0},
        {"left_s": 3.8, "staged_over_s": 2.5},
        {"left_s": 8.0, "down": 6},
        {"left_s": 3.0, "down": 6},
        {"left_s": 8.0, "empty": 1},
        {"left_s": 3.0, "empty": 1},
        {"left_s": 8.0, "map_loss": 0.01},
        {"left_s": 8.0, "per_region": (23, 23, 22, 22)},
        {"left_s": 6.0, "staged_over_s": 0.0, "per_region": (34, 34, 34)},
        {"left_s": 6.0, "staged_over_s": 0.0},
        {"left_s": 6.0, "staged_over_s": 0.0, "per_region": (4, 3, 3)},
        {"left_s": 8.0, "per_region": (4, 3, 3), "staged_over_s": 1.0},
        {"left_s": 3.0, "per_region": (4, 3, 3), "staged_over_s": 1.0},
        {"left_s": 3.0, "per_region": (2, 2, 2), "staged_over_s": 0.5},
    ],
    ids=str,
)
def test_a_fifth_is_away_at_once_and_all_have_switched_at_the_expiry(options):
    """Guards against switches that crowd before the older version's end, or end after.

    By turn, up to 25 of 36 engines were away at once with 3 s left, and the last
    served 1.3 s after the end. One more engine than a fifth is allowed, as two agents
    may take the same place before they hear of each other.
    """
    for replay in _replays(**options):
        count = len(replay.engines)
        assert replay.most_away() <= count // 5 + 1
        assert replay.last_serves_at() <= options["left_s"]


def test_baseline_by_turn_fails_the_rule_of_a_fifth():
    """Shows that the replay finds the fault of the rule that was used before."""
    for replay in _replays("turn", left_s=3.0):
        assert replay.most_away() >= 36 / 2
        assert replay.last_serves_at() > 3.0


@pytest.mark.parametrize("left_s", [1.5, 3.0, 8.0])
def test_less_capacity_is_lost_than_by_turn(left_s):
    by_turn = _replays("turn", left_s=left_s)
    for replay, baseline in zip(_replays(left_s=left_s), by_turn, strict=True):
        assert replay.lost_engine_s() < baseline.lost_engine_s()
        assert replay.most_away() <= baseline.most_away()
        assert replay.last_serves_at() < baseline.last_serves_at()


def test_engines_staged_late_do_not_switch_in_the_same_moment():
    """Guards against late engines whose places have passed and that switch together."""
    others = tuple(SwitchMember(f"m{number}", 10.0) for number in range(1, 12))
    starts = []
    for number in range(12):
        own = f"m{number}"
        rest = (SwitchMember("m0", 10.0), *others)
        rest = tuple(member for member in rest if member.address != own)
        plan = _plan(own=own, staged_at=10.0, others=rest, fleet_size=12)
        starts.append(plan.starts_at)
    gaps = [later - one for one, later in zip(sorted(starts), sorted(starts)[1:])]  # noqa: B905
    assert min(gaps) > 0.2
    assert max(starts) <= INPUT.older_expires_at - LOAD_DURATION_S


def test_with_no_time_left_all_engines_switch_at_once():
    for replay in _replays(left_s=0.3, staged_over_s=0.2):
        assert replay.last_serves_at() <= 0.7


def test_order_of_switches_differs_between_versions():
    members = [f"m{number}" for number in range(10)]
    orders = {
        tuple(switch_turn(own, members, version) for own in members)
        for version in range(5)
    }
    assert len(orders) == 5


def test_half_of_a_fleet_of_any_size_comes_first():
    for count in (1, 2, 5, 10):
        members = [f"m{number}" for number in range(count)]
        turns = [switch_turn(own, members, 2) for own in members]
        assert sum(is_second_half(turn) for turn in turns) == count // 2


def test_drain_finishes_when_nothing_runs_or_at_the_timeout():
    assert is_drain_finished(0, 0.0)
    assert not is_drain_finished(3, DRAIN_TIMEOUT_S / 2)
    assert is_drain_finished(3, DRAIN_TIMEOUT_S)
    assert is_drain_finished(3, 0.2, limit_s=0.2)
