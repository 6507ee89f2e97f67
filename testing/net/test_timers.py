"""A timer that is armed repeatedly."""

import weakref

import pytest
from manualtask import ManualTask
from sitebuilders import wait_for

from bamboolever._task import IoTask
from bamboolever.net.timers import RearmableTimer


class Held:
    def act(self):
        pass


@pytest.fixture
def task():
    task = IoTask("test")
    task.start()
    yield task
    task.stop()


def _run(task, steps):
    """Run ``steps`` on the task and return the actions that the timer called."""
    called = []
    timer = RearmableTimer(task)
    task.send(lambda: steps(timer, called))
    done = []
    task.send(lambda: task.call_later(0.05, lambda: done.append(True)))
    wait_for(lambda: done)
    return called


def test_arming_replaces_the_pending_action(task):
    def steps(timer, called):
        timer.arm(0.01, lambda: called.append("first"))
        timer.arm(0.02, lambda: called.append("second"))

    assert _run(task, steps) == ["second"]


def test_disarmed_timer_calls_no_action(task):
    def steps(timer, called):
        timer.arm(0.01, lambda: called.append("first"))
        timer.disarm()
        timer.disarm()

    assert _run(task, steps) == []


def test_timer_can_be_armed_by_its_own_action(task):
    def steps(timer, called):
        def rearm():
            called.append("again")
            if len(called) < 3:
                timer.arm(0.001, rearm)

        timer.arm(0.001, rearm)

    assert _run(task, steps) == ["again"] * 3


def test_timer_that_is_armed_later_again_and_again_takes_one_timer_of_its_task():
    """Guards against memory that grows with each part that a caller sends."""
    task = ManualTask()
    timer, called = RearmableTimer(task), []
    for _ in range(1000):
        timer.arm(15.0, lambda: called.append("due"))
    assert len(task._due) == 1
    task.advance(10.0)
    timer.arm(15.0, lambda: called.append("due"))
    task.advance(14.9)
    assert called == []
    task.advance(0.2)
    assert called == ["due"]


def test_timer_that_is_armed_sooner_again_acts_sooner():
    task = ManualTask()
    timer, called = RearmableTimer(task), []
    timer.arm(15.0, lambda: called.append("late"))
    timer.arm(1.0, lambda: called.append("soon"))
    task.advance(1.0)
    assert called == ["soon"]
    task.advance(30.0)
    assert called == ["soon"]


def test_disarmed_timer_releases_its_action():
    """Guards against requests that stay in memory until their time limit."""
    task = ManualTask()
    timer = RearmableTimer(task)
    held = Held()
    reference = weakref.ref(held)
    timer.arm(60.0, held.act)
    del held
    timer.disarm()
    assert reference() is None


def test_cancelled_timer_releases_what_it_held():
    """Guards against requests that stay in memory until their time limit."""
    held = Held()
    reference = weakref.ref(held)
    task = IoTask("test")
    timer = task.call_later(60.0, held.act)
    del held
    assert reference() is not None
    timer.cancel()
    assert reference() is None
