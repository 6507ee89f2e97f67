"""Passes signals on to an event loop without locks.

A signal handler runs on the main thread between any two of its steps, also while that
thread holds a lock, or inside another handler. If it waited for a lock, nobody could
release that any more. Sending a message to a task takes none.
"""

from collections.abc import Callable
from types import FrameType
from typing import final

from bamboolever._task import IoTask


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
