"""The time limits of one attempt, with a manual clock."""

import pytest
from manualtask import ManualTask
from sitebuilders import make_route

from bamboolever.config.model import RouteKind
from bamboolever.daemons.attempttimers import AttemptTimers


class Attempt:
    def __init__(self, begin_by, **route):
        self.task = ManualTask()
        self.begin_by = begin_by
        self.ended = []
        self.timers = AttemptTimers(
            self.task,
            make_route(target_latency_s=0.0, **route),
            lambda: self.begin_by,
            lambda: self.ended.append("stalled"),
            lambda: self.ended.append("version ended"),
        )
        self.timers.start_attempt()


def test_attempt_that_has_not_begun_ends_with_the_version():
    attempt = Attempt(begin_by=101.0)
    attempt.task.advance(0.99)
    assert attempt.ended == []
    attempt.task.advance(0.02)
    assert attempt.ended == ["version ended"]


def test_attempt_that_has_begun_goes_on():
    attempt = Attempt(begin_by=101.0)
    attempt.timers.on_begun()
    attempt.timers.check_begin()
    attempt.task.advance(1.4)
    assert attempt.ended == []


def test_end_that_becomes_known_during_the_attempt_counts():
    attempt = Attempt(begin_by=None)
    attempt.task.advance(0.5)
    attempt.begin_by = 90.0
    attempt.timers.check_begin()
    assert attempt.ended == ["version ended"]


def test_end_that_turns_out_to_be_later_is_kept():
    attempt = Attempt(begin_by=100.5)
    attempt.begin_by = 101.2
    attempt.task.advance(1.1)
    assert attempt.ended == []
    attempt.task.advance(0.2)
    assert attempt.ended == ["version ended"]


def test_engine_that_switched_meanwhile_keeps_the_request():
    attempt = Attempt(begin_by=101.0)
    attempt.begin_by = None
    attempt.task.advance(1.4)
    assert attempt.ended == []


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING])
def test_request_that_may_not_run_twice_ends_with_the_version_too(kind):
    attempt = Attempt(begin_by=101.0, kind=kind, can_resume=False)
    attempt.task.advance(1.02)
    assert attempt.ended == ["version ended"]


def test_silent_attempt_stalls():
    attempt = Attempt(begin_by=None)
    attempt.task.advance(1.4)
    attempt.timers.on_progress()
    attempt.task.advance(1.4)
    assert attempt.ended == []
    attempt.task.advance(0.2)
    assert attempt.ended == ["stalled"]
