"""A timer that is restarted often, such as an idle timeout on a connection."""

from collections.abc import Callable
from typing import final

from bamboolever._task import IoTask, Timer


@final
class RearmableTimer:
    """A timer on a task with at most one pending action."""

    def __init__(self, task: IoTask):
        self._task = task
        self._timer: Timer | None = None

    def arm(self, delay_s: float, action: Callable[[], None]) -> None:
        """Replace the pending action: call ``action`` after ``delay_s`` seconds."""
        self.disarm()
        self._timer = self._task.call_later(delay_s, action)

    def disarm(self) -> None:
        """Cancel the pending action, if any."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
