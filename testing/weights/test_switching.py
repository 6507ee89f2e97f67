"""When engines stop serving the older version."""

import dataclasses

from bamboolever.weights.switching import (
    DRAIN_TIMEOUT_S,
    SwitchInput,
    drain_starts_at,
    is_drain_finished,
    is_second_half,
)

INPUT = SwitchInput(
    staged_at=6.2,
    older_expires_at=7.6,
    is_second_half=True,
    is_superseded=False,
    serves_older=True,
)


def _drain_at(**changes):
    return drain_starts_at(dataclasses.replace(INPUT, **changes))


def test_second_half_serves_until_the_older_version_expires():
    assert _drain_at() == 7.6
    assert _drain_at(is_second_half=False) == 6.2


def test_engine_without_older_version_switches_at_once():
    assert _drain_at(serves_older=False) == 6.2


def test_superseded_version_does_not_delay_the_newer_one():
    assert _drain_at(is_superseded=True) == 6.2


def test_engine_staged_after_the_expiry_switches_at_once():
    assert _drain_at(staged_at=9.0) == 9.0


def test_half_of_a_fleet_of_any_size_switches_first():
    for count in (1, 2, 5, 10):
        members = [f"m{number}" for number in range(count)]
        second = [own for own in members if is_second_half(own, members, 2)]
        assert len(second) == count // 2


def test_halves_differ_between_versions():
    members = [f"m{number}" for number in range(10)]
    halves = {
        tuple(is_second_half(own, members, version) for own in members)
        for version in range(5)
    }
    assert len(halves) > 1


def test_drain_finishes_when_nothing_runs_or_at_the_timeout():
    assert is_drain_finished(0, 0.0)
    assert not is_drain_finished(3, DRAIN_TIMEOUT_S / 2)
    assert is_drain_finished(3, DRAIN_TIMEOUT_S)
