"""A timer that is armed repeatedly."""

import weakref

import pytest
from sitebuilders import wait_for

from bamboolever._task import IoTask
from bamboolever.net.timers import RearmableTimer


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


def test_cancelled_timer_releases_what_it_held():
    """Guards against requests that stay in memory until their time limit."""

    class Held:
        def act(self):
            pass

    held = Held()
    reference = weakref.ref(held)
    task = IoTask("test")
    timer = task.call_later(60.0, held.act)
    del held
    assert reference() is not None
    timer.cancel()
    assert reference() is None
