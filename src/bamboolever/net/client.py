"""The client side of HTTP/1.1: one request at a time on pooled connections."""

import errno
import logging
import os
import socket
from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

import h11

from bamboolever._task import READ, WRITE, IoTask, Timer
from bamboolever.net.addresses import Address
from bamboolever.net.messages import Request, ResponseHead
from bamboolever.net.sockets import start_connecting

logger = logging.getLogger(__name__)

RECEIVE_BYTES = 64 * 1024
SILENCE_LIMIT_S = 2.0


class FailureKind(Enum):
    """Why an exchange ended without a complete response."""

    CONNECT = "connect"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    SILENT = "silent"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class ExchangeFailure:
    """How an exchange failed.

    ``is_request_sent`` tells whether any byte of the request was handed to the
    connection; if not, the other side cannot have run it.
    """

    kind: FailureKind
    is_request_sent: bool
    detail: str


class ResponseHandler(ABC):
    """Receives the response to one request, on the connection's task."""

    def accepts(self, head: ResponseHead) -> bool:
        """Tell whether the response belongs to this request.

        A response that does not is read and dropped, and the next one awaited.
        """
        return True

    @abstractmethod
    def on_head(self, head: ResponseHead) -> None:
        """Status and headers arrived."""

    @abstractmethod
    def on_data(self, data: bytes) -> None:
        """A part of the body arrived."""

    @abstractmethod
    def on_end(self) -> None:
        """The response is complete."""

    @abstractmethod
    def on_failure(self, failure: ExchangeFailure) -> None:
        """The exchange ended without a complete response."""


class ClientConnection:
    """One connection to a server; used for one request at a time."""

    def __init__(self, pool: "ConnectionPool", address: Address):
        self._pool = pool
        self._task = pool.task
        self.address = address
        self._sock = start_connecting(address, SILENCE_LIMIT_S)
        self._events = READ | WRITE
        self._task.register(self._sock, self._events, self._on_ready)
        self._http = h11.Connection(h11.CLIENT)
        self._output = bytearray()
        self._handler: ResponseHandler | None = None
        self._request: Request | None = None
        self._is_connecting = True
        self._is_closed = False
        self._is_request_sent = False
        self._is_skipping = False
        self._closes_after = False
        self._timer: Timer | None = None
        self.idle_limit_s: float | None = None
        self.idle_since = 0.0

    @property
    def is_closed(self) -> bool:
        """Whether the socket is closed."""
        return self._is_closed

    def send(self, request: Request, handler: ResponseHandler) -> None:
        """Send one request; its response goes to ``handler``."""
        self._handler = handler
        self._request = request
        self._is_request_sent = False
        self._closes_after = False
        self._output += self._encode(request)
        if self._is_connecting:
            timeout_s = self._pool.connect_timeout_s
            self._timer = self._task.call_later(timeout_s, self._on_connect_timeout)
            return
        self._flush()

    def cancel(self) -> None:
        """Close the connection without telling the handler."""
        self._handler = None
        self.close()

    def close(self) -> None:
        """Close the socket and leave the pool."""
        if self._is_closed:
            return
        self._is_closed = True
        self._disarm()
        self._task.unregister(self._sock)
        self._sock.close()
        self._pool.forget(self)

    def _encode(self, request: Request) -> bytes:
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        event = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        output = self._http.send(event) or b""
        if request.body:
            output += self._http.send(h11.Data(data=request.body)) or b""
        output += self._http.send(h11.EndOfMessage()) or b""
        return output

    def _on_ready(self, events: int) -> None:
        if self._is_connecting and not self._finish_connect():
            return
        if events & WRITE and not self._is_closed:
            self._flush()
        if events & READ and not self._is_closed:
            self._receive()

    def _finish_connect(self) -> bool:
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail(FailureKind.CONNECT, os.strerror(error))
            return False
        self._is_connecting = False
        self._disarm()
        return True

    def _on_connect_timeout(self) -> None:
        if self._is_connecting:
            self._fail(FailureKind.CONNECT, "no answer to the connection request")

    def _flush(self) -> None:
        try:
            while self._output:
                with memoryview(self._output) as view:
                    sent = self._sock.send(view)
                self._is_request_sent = True
                del self._output[:sent]
        except BlockingIOError:
            pass
        except OSError as error:
            failure = error
            self._task.send(lambda: self._fail_from(failure))
            return
        self._set_events(READ | (WRITE if self._output else 0))

    def _receive(self) -> None:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail_from(error)
            return
        if self._handler is None:
            # Idle connections owe nothing: bytes or an end make them useless.
            self.close()
            return
        try:
            self._http.receive_data(data)
            self._next_events()
        except h11.RemoteProtocolError as error:
            kind = FailureKind.MALFORMED if data else FailureKind.CLOSED
            self._fail(kind, str(error))

    def _next_events(self) -> None:
        while self._handler is not None and not self._is_closed:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._on_response(event)
            elif isinstance(event, h11.Data):
                if not self._is_skipping:
                    self._handler.on_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._on_message_end()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(FailureKind.CLOSED, "closed before a response")

    def _on_response(self, event: h11.Response) -> None:
        assert self._handler is not None
        head = ResponseHead(event.status_code, tuple(event.headers.raw_items()))
        self._is_skipping = not self._handler.accepts(head)
        if self._is_skipping:
            return
        if self._output:
            # The rest of the request can no longer be told from a new one.
            self._closes_after = True
        self.idle_limit_s = parse_idle_limit(head)
        self._handler.on_head(head)

    def _on_message_end(self) -> None:
        if self._is_skipping:
            self._await_next_response()
            return
        handler = self._handler
        self._handler = None
        assert handler is not None
        self._recycle()
        handler.on_end()

    def _recycle(self) -> None:
        is_done = (
            self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        )
        has_extra = bool(self._http.trailing_data[0])
        if not is_done or has_extra or self._closes_after or self._output:
            self.close()
            return
        self._http.start_next_cycle()
        self._request = None
        self._pool.put_back(self)

    def _await_next_response(self) -> None:
        request = self._request
        assert request is not None
        self._is_skipping = False
        leftover, is_ended = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        self._encode(request)
        if leftover:
            self._http.receive_data(leftover)
        if is_ended:
            self._http.receive_data(b"")

    def _fail_from(self, error: OSError) -> None:
        is_silent = error.errno in (errno.ETIMEDOUT, errno.EHOSTUNREACH)
        kind = FailureKind.SILENT if is_silent else FailureKind.RESET
        self._fail(kind, str(error))

    def _fail(self, kind: FailureKind, detail: str) -> None:
        if self._is_closed:
            return
        handler = self._handler
        self._handler = None
        is_request_sent = self._is_request_sent
        self.close()
        if handler is not None:
            handler.on_failure(ExchangeFailure(kind, is_request_sent, detail))

    def _set_events(self, events: int) -> None:
        if events != self._events and not self._is_closed:
            self._events = events
            self._task.modify(self._sock, events, self._on_ready)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class ConnectionPool:
    """Keeps idle connections by address and opens new ones."""

    def __init__(self, task: IoTask, *, connect_timeout_s: float, max_idle_s: float):
        self.task = task
        self.connect_timeout_s = connect_timeout_s
        self._max_idle_s = max_idle_s
        self._idle: dict[Address, list[ClientConnection]] = {}
        self.opened = 0

    def send(
        self, address: Address, request: Request, handler: ResponseHandler
    ) -> ClientConnection:
        """Send a request on an idle or a new connection to ``address``."""
        connection = self._take_idle(address)
        if connection is None:
            self.opened += 1
            connection = ClientConnection(self, address)
        connection.send(request, handler)
        return connection

    def put_back(self, connection: ClientConnection) -> None:
        """Keep a connection whose response is complete."""
        connection.idle_since = self.task.now()
        self._idle.setdefault(connection.address, []).append(connection)

    def forget(self, connection: ClientConnection) -> None:
        """Drop a closed connection."""
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)

    def close_idle(self, address: Address | None = None) -> None:
        """Close the idle connections to ``address``, or all."""
        addresses = [address] if address is not None else list(self._idle)
        for each in addresses:
            for connection in list(self._idle.get(each, [])):
                connection.close()

    def _take_idle(self, address: Address) -> ClientConnection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            age_s = self.task.now() - connection.idle_since
            limit_s = self._max_idle_s
            if connection.idle_limit_s is not None:
                limit_s = min(limit_s, connection.idle_limit_s / 2)
            if age_s <= limit_s:
                return connection
            connection.close()
        return None


def parse_idle_limit(head: ResponseHead) -> float | None:
    """Return the seconds in ``Keep-Alive: timeout=N``, or None."""
    value = head.get(b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
