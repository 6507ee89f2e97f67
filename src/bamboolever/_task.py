"""Event loops, each on a thread of its own, with a mailbox and timers.

A task owns its sockets and state, so that they need no locks. Other threads reach
them only through `IoTask.send`. Blocking work runs on a `concurrent.futures`
executor, and its result comes back as a message.
"""

import collections
import heapq
import itertools
import logging
import selectors
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from concurrent.futures import Executor, Future

logger = logging.getLogger(__name__)

MAX_SELECT_TIMEOUT_S = 1.0
READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE


@dataclass(order=True)
class Timer:
    """A callback and when to call it, in seconds of the task's clock.

    Timers due at the same time run in the order of their ``sequence``.
    """

    due_at: float
    sequence: int
    callback: Callable[[], None] | None = field(compare=False)

    def cancel(self) -> None:
        """Prevent the callback from being called, and release what it holds."""
        self.callback = None


class IoTask:
    """An event loop with a mailbox and timers.

    Every callback runs on the task's own thread. An exception in a callback is
    logged and does not end the task. ``clock`` returns monotonic seconds.
    """

    def __init__(self, name: str, *, clock: Callable[[], float] = time.monotonic):
        self._name = name
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._mailbox: collections.deque[Callable[[], None]] = collections.deque()
        self._timers: list[Timer] = []
        self._timer_sequence = itertools.count()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector.register(self._wake_receiver, READ, self._discard_wakeups)
        # No lock guards it: `send` may interrupt itself in a signal handler.
        self._is_wakeup_sent = False
        self._is_stopping = False
        self._thread: threading.Thread | None = None

    @property
    def name(self) -> str:
        """Name of the task and of its thread."""
        return self._name

    def now(self) -> float:
        """Return the time of the task's monotonic clock in seconds."""
        return self._clock()

    def start(self) -> None:
        """Start the task's thread."""
        self._thread = threading.Thread(target=self.run, name=self._name, daemon=True)
        self._thread.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """Ask the loop to end and wait up to ``timeout_s`` for its thread."""
        self.send(self._request_stop)
        if self._thread is not None and self._thread is not threading.current_thread():
            self._thread.join(timeout_s)

    def send(self, message: Callable[[], None]) -> None:
        """Call ``message`` on the task's thread.

        Can be used from any thread and from a signal handler, as it takes no lock.
        """
        self._mailbox.append(message)
        if self._is_wakeup_sent:
            return
        self._is_wakeup_sent = True
        try:
            self._wake_sender.send(b"\0")
        except (BlockingIOError, OSError):
            pass

    def submit(
        self,
        executor: "Executor",
        work: Callable[[], Any],
        on_done: Callable[["Future[Any]"], None],
    ) -> None:
        """Run ``work`` on the executor.

        ``on_done`` is called with the finished future on the task's thread. It is
        not called if the executor has stopped.
        """
        try:
            future = executor.submit(work)
        except RuntimeError:
            logger.debug("%s: work dropped: the executor has stopped", self._name)
            return
        future.add_done_callback(lambda done: self.send(lambda: on_done(done)))

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` after ``delay_s``; use it only on the task's thread."""
        timer = Timer(self.now() + delay_s, next(self._timer_sequence), callback)
        heapq.heappush(self._timers, timer)
        return timer

    def call_every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` every ``period_s`` until the task stops.

        The first call is after ``period_s``.
        """

        def rearm_and_call() -> None:
            self.call_later(period_s, rearm_and_call)
            callback()

        self.call_later(period_s, rearm_and_call)

    def register(
        self, sock: socket.socket, events: int, callback: Callable[[int], None]
    ) -> None:
        """Watch a socket for ``events``, a combination of `READ` and `WRITE`.

        ``callback`` is called with the events for which ``sock`` is ready.
        """
        self._selector.register(sock, events, callback)

    def modify(
        self, sock: socket.socket, events: int, callback: Callable[[int], None]
    ) -> None:
        """Change the events and the callback of a registered socket."""
        self._selector.modify(sock, events, callback)

    def unregister(self, sock: socket.socket) -> None:
        """Stop watching a socket; one that is not registered is ignored."""
        try:
            self._selector.unregister(sock)
        except (KeyError, ValueError):
            pass

    def run(self) -> None:
        """Run the loop on the calling thread until `stop`."""
        while not self._is_stopping:
            self._run_once()
        self._selector.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def _run_once(self) -> None:
        for key, events in self._selector.select(self._select_timeout_s()):
            self._run_callback(lambda key=key, events=events: key.data(events))  # type: ignore[misc]
        self._run_messages()
        self._run_timers()

    def _select_timeout_s(self) -> float:
        if self._mailbox:
            return 0.0
        if not self._timers:
            return MAX_SELECT_TIMEOUT_S
        return min(MAX_SELECT_TIMEOUT_S, max(0.0, self._timers[0].due_at - self.now()))

    def _run_messages(self) -> None:
        # Messages sent by these callbacks wait for the next iteration, so that
        # sockets and timers get their turn.
        for _ in range(len(self._mailbox)):
            self._run_callback(self._mailbox.popleft())

    def _run_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0].due_at <= now:
            timer = heapq.heappop(self._timers)
            if timer.callback is not None:
                self._run_callback(timer.callback)

    def _run_callback(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception:
            logger.exception("%s: a callback failed", self._name)

    def _discard_wakeups(self, _events: int) -> None:
        try:
            while self._wake_receiver.recv(4096):
                pass
        except (BlockingIOError, OSError):
            pass
        # The messages are taken out only after that, so that none waits for a wakeup.
        self._is_wakeup_sent = False

    def _request_stop(self) -> None:
        self._is_stopping = True
