"""Handles signals without locks.

A signal handler runs on the main thread between any two of its steps, also while that
thread holds a lock, or inside another handler. If it waited for a lock, nobody could
release that any more. The handlers here only write to a socket, or send a message to a
task, which takes no lock either.
"""

import signal
import socket
from collections.abc import Callable
from types import FrameType
from typing import final

from bamboolever._task import IoTask


@final
class StopRequest:
    """A request to stop, by a signal or another thread, that one thread waits for."""

    def __init__(self) -> None:
        self._receiver, self._sender = socket.socketpair()
        self._sender.setblocking(False)

    def set(self) -> None:
        """End `wait`, now or when it is called; usable in a signal handler."""
        try:
            self._sender.send(b"\0")
        except BlockingIOError:
            # Enough requests are waiting.
            pass

    def set_on_signals(self) -> None:
        """Call `set` on SIGTERM and SIGINT; call it on the main thread."""
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, lambda _signum, _frame: self.set())

    def wait(self) -> None:
        """Wait until `set` was called."""
        self._receiver.recv(1)


@final
class SignalMessage:
    """A signal handler that calls ``action`` on a task's thread.

    Signals that arrive before the action begins are handled by that one call.
    """

    def __init__(self, task: IoTask, action: Callable[[], None]):
        self._task = task
        self._action = action
        self._is_pending = False

    def __call__(self, _signum: int, _frame: FrameType | None) -> None:
        """Send the action to the task unless it is waiting there."""
        if not self._is_pending:
            self._is_pending = True
            self._task.send(self._run)

    def _run(self) -> None:
        self._is_pending = False
        self._action()
