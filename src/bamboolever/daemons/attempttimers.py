"""The time limits of one attempt: silence, and the end of the upstream's version.

Takes when the attempt starts, when something arrives and when its first event does.
Decides when the attempt has stalled, and when one that has not begun is withdrawn.

Load pattern: engines with more requests than slots while their version expires. How
long a request waits there is not known, as other entries send requests too. One that
has not begun when the version ends is withdrawn; the calling code sends it to another
engine if it may run again.
"""

from collections.abc import Callable
from typing import final

from bamboolever._task import IoTask
from bamboolever.calls.stall import find_stall_timeout_s
from bamboolever.config.model import Route
from bamboolever.net.timers import RearmableTimer

# How often another upstream is looked for while one is silent.
SILENCE_CHECK_INTERVAL_S = 0.25


@final
class AttemptTimers:
    """The timers of a call's current attempt; times are seconds of the task's clock.

    ``begin_by`` returns by when the attempt must have begun, None without a limit.
    ``on_stalled`` and ``on_version_ended`` are called when a limit is reached.
    """

    def __init__(
        self,
        task: IoTask,
        route: Route,
        begin_by: Callable[[], float | None],
        on_stalled: Callable[[], None],
        on_version_ended: Callable[[], None],
    ):
        self._task = task
        self._stall_timeout_s = find_stall_timeout_s(route)
        self._begin_by = begin_by
        self._on_stalled = on_stalled
        self._on_version_ended = on_version_ended
        self._stall_timer = RearmableTimer(task)
        self._begin_timer = RearmableTimer(task)
        self._is_waiting = False

    def start_attempt(self) -> None:
        """Start both limits; call when the request is sent."""
        self._is_waiting = True
        self.on_progress()
        self.check_begin()

    def on_progress(self) -> None:
        """Start the limit of silence anew."""
        if self._stall_timeout_s is not None:
            self._stall_timer.arm(self._stall_timeout_s, self._on_stalled)

    def check_silence_again(self) -> None:
        """Call ``on_stalled`` again soon, unless something arrives before."""
        self._stall_timer.arm(SILENCE_CHECK_INTERVAL_S, self._on_stalled)

    def on_begun(self) -> None:
        """End the limit for the beginning; call when the response's content starts."""
        self._is_waiting = False
        self._begin_timer.disarm()

    def end_attempt(self) -> None:
        """End both limits."""
        self.on_begun()
        self._stall_timer.disarm()

    def await_rejection_end(self, timeout_s: float, action: Callable[[], None]) -> None:
        """Call ``action`` if the body of a rejection does not end in time."""
        self.on_begun()
        self._stall_timer.arm(timeout_s, action)

    def check_begin(self) -> None:
        """End an attempt that is due and has not begun, else look again when it is due.

        Call when a version was rolled out.
        """
        if not self._is_waiting:
            return
        begin_by = self._begin_by()
        if begin_by is None:
            self._begin_timer.disarm()
            return
        delay_s = begin_by - self._task.now()
        if delay_s > 0:
            self._begin_timer.arm(delay_s, self.check_begin)
            return
        self.on_begun()
        self._on_version_ended()
