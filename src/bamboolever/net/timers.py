"""A timer that is restarted often, such as an idle timeout on a connection."""

from collections.abc import Callable
from typing import final

from bamboolever._task import IoTask, Timer


@final
class RearmableTimer:
    """A timer on a task with at most one pending action.

    A later due time costs no timer of the task, which would hold each until it is due:
    the pending one looks again when it fires.
    """

    def __init__(self, task: IoTask):
        self._task = task
        self._timer: Timer | None = None
        self._fires_at = 0.0
        self._due_at = 0.0
        self._action: Callable[[], None] | None = None

    def arm(self, delay_s: float, action: Callable[[], None]) -> None:
        """Replace the pending action: call ``action`` after ``delay_s`` seconds."""
        self._action = action
        self._due_at = self._task.now() + delay_s
        if self._timer is not None and self._fires_at <= self._due_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._schedule(delay_s)

    def disarm(self) -> None:
        """Cancel the pending action, if any."""
        self._action = None

    def _schedule(self, delay_s: float) -> None:
        self._fires_at = self._task.now() + delay_s
        self._timer = self._task.call_later(delay_s, self._on_fired)

    def _on_fired(self) -> None:
        self._timer = None
        action = self._action
        if action is None:
            return
        remaining_s = self._due_at - self._task.now()
        if remaining_s > 0:
            self._schedule(remaining_s)
            return
        self._action = None
        action()
