"""Lets the main thread wait for a signal without locks.

A signal handler runs on the main thread between any two of its steps, also while that
thread holds a lock, or inside another handler. If it waited for a lock, nobody could
release that any more. The handler here only writes to a socket.
"""

import signal
import socket
from typing import final


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
