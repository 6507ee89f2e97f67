"""HTTP/1.1 client: a connection pool, one request at a time per connection.

The client never repeats a request. A failure carries its kind and whether bytes of
the request were sent, so that the caller can decide whether a retry is safe.
"""

import collections
import errno
import os
import socket

import h11

from bamboolever._task import READ, WRITE, IoTask, Timer
from bamboolever.net.addresses import Address
from bamboolever.net.buffers import BufferBudget
from bamboolever.net.exchange import ExchangeFailure, FailureKind, ResponseHandler
from bamboolever.net.messages import Request, ResponseHead, is_valid_status
from bamboolever.net.sockets import has_input, start_connecting

RECEIVE_BYTES = 64 * 1024
TCP_USER_TIMEOUT_S = 2.0
# A server that sends more than this besides the response is faulty and may never stop.
MAX_SKIPPED_RESPONSES = 64
MAX_SKIPPED_BYTES = 2**20
# A body of up to this size is sent in one system call with its head.
MAX_JOINED_BYTES = 64 * 2**10


class ClientConnection:
    """A connection to a server that carries one request at a time.

    ``keep_alive_timeout_s`` is the idle timeout that the server announced, or None;
    ``idle_since`` is the task's time in seconds of the last complete response.
    ``round_trip_s`` is how long the connection took to open, None before.
    ``request_count`` is the number of requests sent on it.
    """

    def __init__(self, pool: "ConnectionPool", address: Address):
        self._pool = pool
        self._task = pool.task
        self.address = address
        self._sock = start_connecting(address, TCP_USER_TIMEOUT_S)
        self._opened_at = self._task.now()
        self.round_trip_s: float | None = None
        self._events = READ | WRITE
        self._task.register(self._sock, self._events, self._on_ready)
        self._http = h11.Connection(h11.CLIENT)
        self._send_queue: collections.deque[memoryview] = collections.deque()
        self._handler: ResponseHandler | None = None
        self._request: Request | None = None
        self._is_connecting = True
        self._is_closed = False
        self._is_request_sent = False
        self._is_discarding = False
        self._skipped_responses = 0
        self._skipped_bytes = 0
        self._is_close_pending = False
        self._send_error: OSError | None = None
        self._connect_timer: Timer | None = None
        self.keep_alive_timeout_s: float | None = None
        self.idle_since = 0.0
        self.request_count = 0

    @property
    def is_closed(self) -> bool:
        """Whether the socket is closed."""
        return self._is_closed

    @property
    def has_input(self) -> bool:
        """Whether the server has sent something, or closed, that was not read yet."""
        return has_input(self._sock)

    def send(self, request: Request, handler: ResponseHandler) -> None:
        """Send one request and pass its response to ``handler``.

        While the connection is being established, the request is buffered; it fails
        after the pool's ``connect_timeout_s``.
        """
        self._handler = handler
        self._request = request
        self.request_count += 1
        self._is_request_sent = False
        self._is_close_pending = False
        self._skipped_responses = 0
        self._skipped_bytes = 0
        self._send_queue.extend(map(memoryview, self._encode(request)))
        if self._is_connecting:
            timeout_s = self._pool.connect_timeout_s
            self._connect_timer = self._task.call_later(
                timeout_s, self._on_connect_timeout
            )
            return
        self._flush()

    def cancel(self) -> None:
        """Close the connection without a call to the handler."""
        self._handler = None
        self.close()

    def close(self) -> None:
        """Close the socket and remove the connection from the pool."""
        if self._is_closed:
            return
        self._is_closed = True
        self._cancel_connect_timer()
        self._task.unregister(self._sock)
        self._sock.close()
        self._send_queue.clear()
        self._pool.remove_connection(self)

    def _encode(self, request: Request) -> list[bytes]:
        """Return the parts of a request; a large body is one of them, not copied."""
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        event = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._http.send(event) or b""]
        if request.body:
            data = h11.Data(data=request.body)
            parts += self._http.send_with_data_passthrough(data) or []
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        if len(request.body) <= MAX_JOINED_BYTES:
            return [b"".join(parts)]
        return [part for part in parts if part]

    def _on_ready(self, events: int) -> None:
        if self._is_closed:
            # An earlier event of the same pass of the loop ended the request.
            return
        if self._is_connecting and not self._finish_connect():
            return
        if events & WRITE and not self._is_closed:
            self._flush()
        if events & READ and not self._is_closed:
            self._receive()

    def _finish_connect(self) -> bool:
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            is_refused = error == errno.ECONNREFUSED
            self._fail(FailureKind.CONNECT, os.strerror(error), is_refused=is_refused)
            return False
        self._is_connecting = False
        self.round_trip_s = self._task.now() - self._opened_at
        self._cancel_connect_timer()
        return True

    def _on_connect_timeout(self) -> None:
        if self._is_connecting:
            self._fail(FailureKind.CONNECT, "no answer to the connection request")

    def _flush(self) -> None:
        try:
            while self._send_queue:
                part = self._send_queue[0]
                sent = self._sock.send(part)
                self._is_request_sent = True
                if sent < len(part):
                    self._send_queue[0] = part[sent:]
                else:
                    self._send_queue.popleft()
        except BlockingIOError:
            pass
        except OSError as error:
            failure = self._send_error = error
            self._task.send(lambda: self._fail_with_os_error(failure))
            return
        self._set_events(READ | (WRITE if self._send_queue else 0))

    def _receive(self) -> None:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail_with_os_error(error)
            return
        if self._handler is None:
            # An idle connection expects no input: bytes belong to no request, and
            # an end of stream means that the server closed it.
            self.close()
            return
        if not data and self._send_error is not None:
            # The failed send has taken the socket's error, so this end of stream is
            # what a reset leaves behind and completes nothing.
            self._fail_with_os_error(self._send_error)
            return
        try:
            self._http.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as error:
            kind = FailureKind.MALFORMED if data else FailureKind.CLOSED
            self._fail(kind, str(error))

    def _process_events(self) -> None:
        while self._handler is not None and not self._is_closed:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._on_response(event)
            elif isinstance(event, h11.InformationalResponse):
                self._skip(responses=1)
            elif isinstance(event, h11.Data) and self._is_discarding:
                self._skip(size_bytes=len(event.data))
            elif isinstance(event, h11.Data):
                self._handler.on_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._on_message_end()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(FailureKind.CLOSED, "closed before a response")

    def _on_response(self, event: h11.Response) -> None:
        assert self._handler is not None
        if not is_valid_status(event.status_code):
            self._fail(FailureKind.MALFORMED, f"invalid status {event.status_code}")
            return
        head = ResponseHead(event.status_code, tuple(event.headers.raw_items()))
        self._is_discarding = not self._handler.accepts(head)
        if self._is_discarding:
            self._skip(responses=1)
            return
        if not self._handler.may_reuse_after(head):
            self._is_close_pending = True
        if self._send_queue:
            # The server responded before it had received the complete request. It
            # could take the rest for a new request, so the connection is not reused.
            self._is_close_pending = True
        self.keep_alive_timeout_s = parse_keep_alive_timeout(head)
        self._handler.on_head(head)

    def _skip(self, *, responses: int = 0, size_bytes: int = 0) -> None:
        self._skipped_responses += responses
        self._skipped_bytes += size_bytes
        if (
            self._skipped_responses > MAX_SKIPPED_RESPONSES
            or self._skipped_bytes > MAX_SKIPPED_BYTES
        ):
            self._fail(FailureKind.MALFORMED, "too much besides the response")

    def _on_message_end(self) -> None:
        if self._is_discarding:
            self._await_next_response()
            return
        handler = self._handler
        self._handler = None
        assert handler is not None
        self._release_or_close()
        handler.on_end()

    def _release_or_close(self) -> None:
        is_done = (
            self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        )
        has_trailing_data = bool(self._http.trailing_data[0])
        if (
            not is_done
            or has_trailing_data
            or self._is_close_pending
            or self._send_queue
        ):
            self.close()
            return
        self._http.start_next_cycle()
        self._request = None
        self._pool.release(self)

    def _await_next_response(self) -> None:
        request = self._request
        assert request is not None
        self._is_discarding = False
        # h11 accepts one response per request. A new h11 connection is therefore given
        # the same request, which is not sent again, and the bytes not parsed yet.
        trailing_bytes, is_ended = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        self._encode(request)
        if trailing_bytes:
            self._http.receive_data(trailing_bytes)
        if is_ended:
            self._http.receive_data(b"")

    def _fail_with_os_error(self, error: OSError) -> None:
        is_silent = error.errno in (errno.ETIMEDOUT, errno.EHOSTUNREACH)
        kind = FailureKind.SILENT if is_silent else FailureKind.RESET
        self._fail(kind, str(error))

    def _fail(
        self, kind: FailureKind, detail: str, *, is_refused: bool = False
    ) -> None:
        if self._is_closed:
            return
        handler = self._handler
        self._handler = None
        is_request_sent = self._is_request_sent
        self.close()
        if handler is not None:
            handler.on_failure(
                ExchangeFailure(kind, is_request_sent, detail, is_refused)
            )

    def _set_events(self, events: int) -> None:
        if events != self._events and not self._is_closed:
            self._events = events
            self._task.modify(self._sock, events, self._on_ready)

    def _cancel_connect_timer(self) -> None:
        if self._connect_timer is not None:
            self._connect_timer.cancel()
            self._connect_timer = None


class ConnectionPool:
    """Opens connections and keeps idle ones by server address.

    An idle connection is reused for up to ``max_idle_s`` seconds, or up to half the
    keep-alive timeout that its server announced if that is shorter; not if its server
    has ended it or sent more, even if that lies in the kernel yet.
    ``opened_connections`` counts the connections opened so far. ``buffers`` bounds the
    responses that are buffered together; without it, each has only its own limit.
    """

    def __init__(
        self,
        task: IoTask,
        *,
        connect_timeout_s: float,
        max_idle_s: float,
        buffers: BufferBudget | None = None,
    ):
        self.task = task
        self.buffers = buffers or BufferBudget()
        self.connect_timeout_s = connect_timeout_s
        self._max_idle_s = max_idle_s
        self._idle: dict[Address, list[ClientConnection]] = {}
        self.opened_connections = 0

    def send(
        self, address: Address, request: Request, handler: ResponseHandler
    ) -> ClientConnection:
        """Send a request on an idle or a new connection to ``address``.

        The most recently used idle connection is taken first. Returns the connection;
        its `ClientConnection.cancel` aborts the exchange.
        """
        connection = self._take_idle(address)
        if connection is None:
            self.opened_connections += 1
            connection = ClientConnection(self, address)
        connection.send(request, handler)
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection for later requests after a complete response."""
        connection.idle_since = self.task.now()
        self._idle.setdefault(connection.address, []).append(connection)

    def remove_connection(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the idle ones."""
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)

    def close_idle(self, address: Address | None = None) -> None:
        """Close the idle connections to ``address``; None closes all."""
        addresses = [address] if address is not None else list(self._idle)
        for idle_address in addresses:
            for connection in list(self._idle.get(idle_address, [])):
                connection.close()

    def _take_idle(self, address: Address) -> ClientConnection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            age_s = self.task.now() - connection.idle_since
            limit_s = self._max_idle_s
            if connection.keep_alive_timeout_s is not None:
                # Half the timeout: the server must not close the connection while
                # the request is on its way.
                limit_s = min(limit_s, connection.keep_alive_timeout_s / 2)
            if age_s <= limit_s and not connection.has_input:
                return connection
            connection.close()
        return None


def parse_keep_alive_timeout(head: ResponseHead) -> float | None:
    """Return the seconds in the header ``Keep-Alive: timeout=N``, or None."""
    value = head.get(b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
