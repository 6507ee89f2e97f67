"""Sends a request and buffers the complete response, bounded in time and size."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from bamboolever._task import IoTask, Timer
from bamboolever.net.addresses import Address
from bamboolever.net.buffers import MAX_RESPONSE_BYTES, ResponseBuffer
from bamboolever.net.client import ClientConnection, ConnectionPool
from bamboolever.net.exchange import ExchangeFailure, FailureKind, ResponseHandler
from bamboolever.net.messages import Request, ResponseHead
from bamboolever.net.numbers import parse_whole_number
from bamboolever.net.timers import RearmableTimer

# Fewer bytes than this since the last progress are none.
MIN_PROGRESS_BYTES = 4096


@dataclass(frozen=True)
class Response:
    """A complete response.

    ``sent_at`` is the task's time in seconds when its request was sent, ``head_at``
    when its head arrived.
    """

    head: ResponseHead
    body: bytes
    sent_at: float
    head_at: float = 0.0


FetchResult = Response | ExchangeFailure


@final
class Fetch(ResponseHandler):
    """One exchange whose response is buffered in memory up to ``max_bytes``."""

    def __init__(
        self,
        task: IoTask,
        on_result: Callable[[FetchResult], None],
        buffer: ResponseBuffer,
        *,
        max_bytes: int,
        timeout_s: float | None,
        stall_timeout_s: float | None,
    ):
        self._task = task
        self._on_result = on_result
        self._max_bytes = max_bytes
        self._stall_timeout_s = stall_timeout_s
        self._head: ResponseHead | None = None
        self._body = buffer
        self._sent_at = task.now()
        self._connection: ClientConnection | None = None
        self._head_at = 0.0
        self._progressed_at = self._sent_at
        self._counted_bytes = 0
        self._timer: Timer | None = None
        if timeout_s is not None:
            self._timer = task.call_later(timeout_s, self._on_timeout)
        self._stall_timer = RearmableTimer(task)
        self._is_done = False
        self._restart_stall_timer()

    @classmethod
    def start(
        cls,
        pool: ConnectionPool,
        address: Address,
        request: Request,
        on_result: Callable[[FetchResult], None],
        *,
        timeout_s: float | None,
        stall_timeout_s: float | None = None,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> "Fetch":
        """Send ``request`` and call ``on_result`` once with a response or failure.

        ``timeout_s`` bounds the entire exchange, ``stall_timeout_s`` every period
        without body data (None: no bound; the caller cancels). After a timeout, and for
        a body over ``max_bytes`` or the pool's budget, the failure states that the
        request was sent.
        """
        fetch = cls(
            pool.task,
            on_result,
            ResponseBuffer(pool.buffers, max_bytes),
            max_bytes=max_bytes,
            timeout_s=timeout_s,
            stall_timeout_s=stall_timeout_s,
        )
        fetch._connection = pool.send(address, request, fetch)
        return fetch

    @property
    def has_head(self) -> bool:
        """Whether the head of the response has arrived."""
        return self._head is not None

    @property
    def received_bytes(self) -> int:
        """How many bytes of the body have arrived."""
        return len(self._body)

    @property
    def progressed_at(self) -> float:
        """When the head or the last `MIN_PROGRESS_BYTES` arrived, or it was sent."""
        return self._progressed_at

    def cancel(self) -> None:
        """Abort the exchange; ``on_result`` is not called."""
        if self._is_done:
            return
        self._is_done = True
        self._release()

    def on_head(self, head: ResponseHead) -> None:
        """Store the head until the response is complete; fail if it names too much."""
        self._head = head
        self._head_at = self._progressed_at = self._task.now()
        length = parse_whole_number(head.get(b"content-length"))
        if length is not None and length > self._max_bytes:
            self._fail(FailureKind.TOO_LARGE, "response over the limit")

    def on_data(self, data: bytes) -> None:
        """Append to the body; fail when it is over the limit."""
        if self._is_done:
            return
        overflow = self._body.add(data)
        if overflow is not None:
            self._fail(FailureKind.TOO_LARGE, overflow)
            return
        self._note_progress()
        self._restart_stall_timer()

    def on_end(self) -> None:
        """Pass the complete response to ``on_result``."""
        if self._is_done or self._head is None:
            return
        self._connection = None
        self._finish(
            Response(self._head, self._body.take(), self._sent_at, self._head_at)
        )

    def on_failure(self, failure: ExchangeFailure) -> None:
        """Pass the failure to ``on_result``."""
        self._connection = None
        self._finish(failure)

    def _note_progress(self) -> None:
        if len(self._body) - self._counted_bytes >= MIN_PROGRESS_BYTES:
            self._counted_bytes = len(self._body)
            self._progressed_at = self._task.now()

    def _on_timeout(self) -> None:
        self._fail(FailureKind.SILENT, "no response before the timeout")

    def _fail(self, kind: FailureKind, detail: str) -> None:
        if not self._is_done:
            self._finish(ExchangeFailure(kind, True, detail))

    def _finish(self, result: FetchResult) -> None:
        if self._is_done:
            return
        self._is_done = True
        self._release()
        self._on_result(result)

    def _restart_stall_timer(self) -> None:
        if self._stall_timeout_s is not None:
            self._stall_timer.arm(self._stall_timeout_s, self._on_timeout)

    def _release(self) -> None:
        self._body.clear()
        if self._timer is not None:
            self._timer.cancel()
        self._stall_timer.disarm()
        if self._connection is not None:
            self._connection.cancel()
            self._connection = None
