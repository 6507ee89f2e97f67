"""Signals that arrive at any moment, also while another one is handled."""

import os
import signal
import sys
import threading

import pytest

from bamboolever._signals import StopRequest
from bamboolever._task import IoTask
from bamboolever.daemons.signals import SignalMessage

WAIT_S = 10.0
PACKAGE = os.path.dirname(sys.modules[IoTask.__module__].__file__)
STANDARD_FILES = (threading.__file__,)


def _interrupt(action, number, handler):
    """Run ``action``; call ``handler`` before the line with this number that it runs.

    Returns whether it ran so many lines. Lines of this package and of the standard
    library's threads count.
    """
    lines = 0

    def trace(frame, event, _argument):
        nonlocal lines
        name = frame.f_code.co_filename
        if not name.startswith(PACKAGE) and name not in STANDARD_FILES:
            return None
        if event == "line":
            lines += 1
            if lines == number:
                sys.settrace(None)
                handler()
        return trace

    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(None)
    return lines >= number


def _run_in_time(action):
    """Run ``action`` on a thread of its own; return whether it ended."""
    thread = threading.Thread(target=action, daemon=True)
    thread.start()
    thread.join(WAIT_S)
    return not thread.is_alive()


def _send_once(task, message):
    task.send(message)


def _run_loop_once(task, message):
    task.send(message)
    task._run_once()


@pytest.mark.parametrize("step", [_send_once, _run_loop_once])
def test_signal_at_any_moment_of_a_wakeup_reaches_the_task(step):
    """Guards against a process that hangs for good.

    The handler waited for a lock that its own thread held.
    """
    number = 0
    is_reached = True
    while is_reached:
        number += 1
        task = IoTask("task")
        handled = []
        handler = SignalMessage(task, lambda handled=handled: handled.append("signal"))

        def play(task=task, handler=handler, handled=handled, number=number):
            nonlocal is_reached
            is_reached = _interrupt(
                lambda: step(task, lambda: handled.append("message")),
                number,
                lambda: handler(signal.SIGHUP, None),
            )
            task._run_once()
            task._run_once()

        assert _run_in_time(play), f"hangs at line {number}"
        wanted = ["message", "signal"] if is_reached else ["message"]
        assert sorted(handled) == wanted
    assert number > 3


def test_signals_in_a_row_are_handled_once():
    """Guards against a settings file that is read for each of a flood of signals."""
    task = IoTask("task")
    handled = []
    handler = SignalMessage(task, lambda: handled.append(len(handled)))
    for _ in range(5):
        handler(signal.SIGHUP, None)
    task._run_once()
    handler(signal.SIGHUP, None)
    task._run_once()
    assert handled == [0, 1]


def test_signal_while_its_action_runs_is_handled_afterwards():
    task = IoTask("task")
    handled = []

    def act():
        handled.append("begun")
        if len(handled) == 1:
            handler(signal.SIGHUP, None)

    handler = SignalMessage(task, act)
    handler(signal.SIGHUP, None)
    task._run_once()
    task._run_once()
    assert handled == ["begun", "begun"]


def test_stop_request_is_kept_until_somebody_waits():
    request = StopRequest()
    for _ in range(100_000):
        request.set()
    assert _run_in_time(request.wait)


@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT])
def test_stop_request_is_set_by_signals(signum):
    known = {each: signal.getsignal(each) for each in (signal.SIGTERM, signal.SIGINT)}
    request = StopRequest()
    try:
        request.set_on_signals()
        os.kill(os.getpid(), signum)
        assert _run_in_time(request.wait)
    finally:
        for each, handler in known.items():
            signal.signal(each, handler)
