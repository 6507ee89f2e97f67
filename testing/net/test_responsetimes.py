import pytest

from bamboolever.net.responsetimes import (
    MAX_OVERDUE_S,
    MIN_OVERDUE_S,
    OVERDUE_FACTOR,
    ResponseTimes,
)


def test_calls_to_an_unknown_remote_are_overdue_after_the_least_time():
    assert ResponseTimes().overdue_s == MIN_OVERDUE_S


def test_calls_to_a_slow_remote_are_given_more_time():
    times = ResponseTimes()
    times.record(1.4)
    times.record(0.1)
    assert times.longest_s < 1.4
    assert times.overdue_s == pytest.approx(OVERDUE_FACTOR * times.longest_s)
    times.record(60.0)
    assert times.overdue_s == MAX_OVERDUE_S


def test_slow_responses_are_forgotten_after_quick_ones():
    times = ResponseTimes()
    times.record(3.0)
    for _ in range(20):
        times.record(0.02)
    assert times.overdue_s == MIN_OVERDUE_S
