"""When engines give up the older version."""

import dataclasses

from bamboolever.weights.switching import (
    DRAIN_S,
    SwitchInput,
    drain_at,
    is_drained,
    is_second_half,
)

INPUT = SwitchInput(
    staged_at=6.2,
    due_at=7.6,
    is_second_half=True,
    is_superseded=False,
    serves_older=True,
)


def _drain_at(**changes):
    return drain_at(dataclasses.replace(INPUT, **changes))


def test_second_half_serves_on_until_the_older_versions_time_is_up():
    assert _drain_at() == 7.6
    assert _drain_at(is_second_half=False) == 6.2


def test_engine_that_serves_nothing_switches_at_once():
    assert _drain_at(serves_older=False) == 6.2


def test_version_that_is_followed_by_a_newer_one_does_not_hold_it_up():
    assert _drain_at(is_superseded=True) == 6.2


def test_late_pieces_switch_at_once():
    assert _drain_at(staged_at=9.0) == 9.0


def test_half_of_any_fleet_switches_first():
    for count in (1, 2, 5, 10):
        members = [f"m{number}" for number in range(count)]
        second = [item for item in members if is_second_half(item, members, 2)]
        assert len(second) == count // 2


def test_halves_differ_between_versions():
    members = [f"m{number}" for number in range(10)]
    halves = {
        tuple(is_second_half(item, members, version) for item in members)
        for version in range(5)
    }
    assert len(halves) > 1


def test_drain_ends_when_nothing_runs_or_its_time_is_up():
    assert is_drained(0, 0.0)
    assert not is_drained(3, DRAIN_S / 2)
    assert is_drained(3, DRAIN_S)
