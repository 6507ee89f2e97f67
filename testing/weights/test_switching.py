"""When engines stop serving the older version."""

import dataclasses

import pytest

from bamboolever.weights.switching import (
    DRAIN_TIMEOUT_S,
    SwitchInput,
    drain_starts_at,
    is_drain_finished,
    is_second_half,
    switch_turn,
)

INPUT = SwitchInput(
    staged_at=6.2,
    older_expires_at=7.6,
    turn=1.0,
    is_superseded=False,
    serves_older=True,
)


def _drain_at(**changes):
    return drain_starts_at(dataclasses.replace(INPUT, **changes))


def test_switches_spread_until_the_older_version_expires():
    assert _drain_at(turn=0.0) == 6.2
    assert _drain_at(turn=0.5) == pytest.approx(6.9)
    assert _drain_at(turn=1.0) == pytest.approx(7.6)


def test_engine_without_older_version_switches_at_once():
    assert _drain_at(serves_older=False) == 6.2


def test_superseded_version_does_not_delay_the_newer_one():
    assert _drain_at(is_superseded=True) == 6.2


def test_engine_staged_after_the_expiry_switches_at_once():
    assert _drain_at(staged_at=9.0) == 9.0


@pytest.mark.parametrize("count", [10, 36, 102])
def test_at_most_a_fifth_of_a_fleet_is_away_while_time_allows_it(count):
    """All engines once switched within two seconds: a hole in service.

    The pieces are staged 6 s before the older version expires, and an engine is away
    for 1.2 s.
    """
    members = [f"m{number}" for number in range(count)]
    starts = [
        _drain_at(
            staged_at=31.0,
            older_expires_at=37.0,
            turn=switch_turn(own, members, 3),
        )
        for own in members
    ]
    moments = [31.0 + 0.05 * step for step in range(140)]
    away = [sum(start <= at < start + 1.2 for start in starts) for at in moments]
    assert max(away) <= count / 5 + 1


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
