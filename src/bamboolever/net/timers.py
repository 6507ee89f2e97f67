"""A timer that is set anew again and again, as for silence on a connection."""

from collections.abc import Callable
from typing import final

from bamboolever._task import IoTask, Timer


@final
class RearmableTimer:
    """Calls one action after a delay in seconds unless it is armed anew before."""

    def __init__(self, task: IoTask):
        self._task = task
        self._timer: Timer | None = None

    def arm(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call ``action`` in ``delay_s`` seconds and nothing that was set before."""
        self.disarm()
        self._timer = self._task.call_later(delay_s, action)

    def disarm(self) -> None:
        """Call nothing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
