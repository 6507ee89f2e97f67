"""Waits until the peer of a half-closed connection has all that was sent.

Load pattern: callers that send more while they read their last response. A socket that
is closed with unread input, or that gets input after its end, sends a reset, which
drops what the kernel has not delivered.
"""

import socket
from collections.abc import Callable
from typing import final

from bamboolever._task import IoTask
from bamboolever.net.sockets import count_undelivered_bytes
from bamboolever.net.timers import RearmableTimer

# How long a peer may take to close a connection whose last bytes it has.
HALF_CLOSE_TIMEOUT_S = 1.0


@final
class DeliveryWait:
    """Calls ``on_ended`` when the peer has all, or has taken nothing for too long.

    Where the kernel does not count the bytes on their way, it is called after
    `HALF_CLOSE_TIMEOUT_S`.
    """

    def __init__(self, task: IoTask, sock: socket.socket, on_ended: Callable[[], None]):
        self._task = task
        self._sock = sock
        self._on_ended = on_ended
        self._timer = RearmableTimer(task)
        self._idle_timeout_s = 0.0
        self._undelivered_bytes: int | None = None
        self._progressed_at = 0.0

    def start(self, idle_timeout_s: float) -> None:
        """Wait while the peer takes something at least every ``idle_timeout_s``."""
        self._idle_timeout_s = idle_timeout_s
        self._progressed_at = self._task.now()
        self._timer.arm(HALF_CLOSE_TIMEOUT_S, self._check)

    def cancel(self) -> None:
        """Wait no more."""
        self._timer.disarm()

    def _check(self) -> None:
        now = self._task.now()
        count = count_undelivered_bytes(self._sock)
        if count != self._undelivered_bytes:
            self._undelivered_bytes = count
            self._progressed_at = now
        if not count or now - self._progressed_at >= self._idle_timeout_s:
            self._on_ended()
            return
        self._timer.arm(HALF_CLOSE_TIMEOUT_S, self._check)
