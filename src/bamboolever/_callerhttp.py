"""The callers' side of an entry: HTTP/1.1 by `h11` on the entry's own task.

`waitress` gives each open response a thread. At the design size of 424 token
streams per entry the threads' turns cost more than the streams, so the callers'
port alone is served from the task's selector loop; parsing stays in the library.
"""

import json
import socket
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import final

import h11

from bamboolever._connection import listen
from bamboolever._task import READ, WRITE, IoTask

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 8 * 2**20
MAX_OUTPUT_BYTES = 4 * 2**20
MAX_AHEAD_BYTES = 64 * 1024
REQUEST_TIMEOUT_S = 10.0
KEEP_ALIVE_S = 60.0
CHECK_PERIOD_S = 1.0
RECEIVE_BYTES = 64 * 1024
TERMINAL_EVENT = b"data: [DONE]\n\n"

Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class CallerRequest:
    """One whole request of a caller."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class CallerHandler(ABC):
    """Receives the callers' requests, on the entry's task."""

    @abstractmethod
    def on_request(
        self, connection: "CallerConnection", request: CallerRequest
    ) -> None:
        """A whole request arrived; exactly one response is due."""

    @abstractmethod
    def on_caller_gone(self, connection: "CallerConnection") -> None:
        """The caller closed while its response was due."""

    @abstractmethod
    def on_bad_request(self, reason: str) -> None:
        """A request was refused before it was whole."""


class CallerConnection:
    """One caller's connection; requests on it are served one at a time."""

    def __init__(self, port: "CallerPort", sock: socket.socket):
        self._port = port
        self._task = port.task
        self._sock = sock
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._output = bytearray()
        self._is_closed = False
        self._is_closing = False
        self._is_due = False
        self._events = READ
        self._since = self._task.now()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task.register(sock, READ, self._on_ready)

    @property
    def is_closed(self) -> bool:
        """Whether the socket is closed."""
        return self._is_closed

    @property
    def is_due(self) -> bool:
        """Whether a response is due."""
        return self._is_due

    # Responses.

    def respond(
        self, status: int, content_type: str, body: bytes, headers: Headers
    ) -> None:
        """Send a whole response."""
        if self._is_closed:
            return
        all_headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        self._send_event(self._make_head(status, all_headers))
        self._send_event(h11.Data(data=body))
        self._end()

    def start_stream(self, status: int, content_type: str, headers: Headers) -> None:
        """Send the head of a streamed response."""
        if self._is_closed:
            return
        all_headers = [
            ("Content-Type", content_type),
            ("Cache-Control", "no-store"),
            ("Transfer-Encoding", "chunked"),
            *headers,
        ]
        self._send_event(self._make_head(status, all_headers))
        self._flush()

    def send_piece(self, data: bytes) -> None:
        """Send a part of a streamed response at once."""
        if self._is_closed:
            return
        self._send_event(h11.Data(data=data))
        self._flush()

    def finish_stream(self) -> None:
        """Send the terminal event and end the response."""
        if self._is_closed:
            return
        self._send_event(h11.Data(data=TERMINAL_EVENT))
        self._end()

    def abort(self) -> None:
        """Cut a started response without its end, so that the caller sees it."""
        self.close()

    def close(self) -> None:
        """Close the socket; a due response counts as gone."""
        if self._is_closed:
            return
        self._is_closed = True
        self._task.unregister(self._sock)
        self._sock.close()
        self._port.forget(self)
        if self._is_due:
            self._is_due = False
            self._port.handler.on_caller_gone(self)

    def check_timeouts(self, now: float) -> None:
        """Close a connection whose request does not come to its end."""
        if self._is_due or self._is_closed:
            return
        is_begun = self._request is not None or self._http.trailing_data[0]
        limit_s = REQUEST_TIMEOUT_S if is_begun else KEEP_ALIVE_S
        if now - self._since < limit_s:
            return
        if is_begun:
            self._refuse(408, "request-timeout", "the request was not finished in time")
            return
        self.close()

    def _make_head(self, status: int, headers: Headers) -> h11.Response:
        if self._port.is_stopping:
            headers.append(("Connection", "close"))
        encoded = [(name.encode(), value.encode()) for name, value in headers]
        return h11.Response(status_code=status, headers=encoded)

    def _send_event(self, event: h11.Event) -> None:
        data = self._http.send(event)
        if data:
            self._output += data

    def _end(self) -> None:
        self._send_event(h11.EndOfMessage())
        self._is_due = False
        self._request = None
        self._body.clear()
        self._since = self._task.now()
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._is_closing = True
        self._flush()
        if not self._is_closed and not self._is_closing:
            # A pipelined request may be waiting; not inside the caller's stack.
            self._task.send(self._next_events)

    # Socket.

    def _on_ready(self, events: int) -> None:
        if events & WRITE:
            self._flush()
        if events & READ and not self._is_closed:
            self._receive()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
            return
        if self._is_closing:
            return
        if self._request is None and not self._http.trailing_data[0]:
            self._since = self._task.now()
        self._http.receive_data(data)
        if self._is_due:
            self._check_ahead()
            return
        self._next_events()

    def _check_ahead(self) -> None:
        # More than a little ahead of a due response is no honest caller.
        if len(self._http.trailing_data[0]) > MAX_AHEAD_BYTES:
            self.close()

    def _next_events(self) -> None:
        try:
            while not (self._is_due or self._is_closed or self._is_closing):
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._on_event(event)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or 400
            self._refuse(status, "malformed-request", str(error))

    def _on_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._begin_request(event)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > MAX_BODY_BYTES:
                self._refuse(413, "body-too-large", "the body is over the limit")
        elif isinstance(event, h11.EndOfMessage) and self._request is not None:
            self._finish_request(self._request)
        elif isinstance(event, h11.ConnectionClosed):
            self.close()

    def _begin_request(self, request: h11.Request) -> None:
        self._request = request
        headers = dict(request.headers)
        length = headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            self._refuse(413, "body-too-large", "the body is over the limit")
            return
        if headers.get(b"expect", b"").lower() == b"100-continue":
            self._send_event(h11.InformationalResponse(status_code=100, headers=[]))
            self._flush()

    def _finish_request(self, request: h11.Request) -> None:
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in request.headers
        }
        whole = CallerRequest(
            request.method.decode("ascii"),
            request.target.decode("latin-1"),
            headers,
            bytes(self._body),
        )
        self._is_due = True
        self._port.handler.on_request(self, whole)

    def _refuse(self, status: int, code: str, message: str) -> None:
        self._port.handler.on_bad_request(code)
        body = make_error_body(code, message)
        headers: Headers = [
            ("Connection", "close"),
            ("X-Bamboolever-Outcome", "not-run"),
        ]
        self._is_closing = True
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            all_headers = [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                *headers,
            ]
            self._send_event(self._make_head(status, all_headers))
            self._send_event(h11.Data(data=body))
            self._send_event(h11.EndOfMessage())
        self._flush()

    def _flush(self) -> None:
        try:
            while self._output:
                with memoryview(self._output) as view:
                    sent = self._sock.send(view)
                del self._output[:sent]
        except BlockingIOError:
            pass
        except OSError:
            self._task.send(self.close)
            return
        if len(self._output) > MAX_OUTPUT_BYTES:
            self._task.send(self.close)
            return
        if self._is_closing and not self._output:
            self._linger()
            return
        self._set_events(READ | (WRITE if self._output else 0))

    def _linger(self) -> None:
        # Half-close first: closing with unread input would reset the answer away.
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        self._set_events(READ)
        self._task.call_later(CHECK_PERIOD_S, self.close)

    def _set_events(self, events: int) -> None:
        if events != self._events and not self._is_closed:
            self._events = events
            self._task.modify(self._sock, events, self._on_ready)


@final
class CallerPort:
    """Listens for callers and owns their connections."""

    def __init__(
        self,
        task: IoTask,
        address: tuple[str, int],
        handler: CallerHandler,
        *,
        max_connections: int,
    ):
        self.task = task
        self.handler = handler
        self.is_stopping = False
        self._max_connections = max_connections
        self._connections: set[CallerConnection] = set()
        self._sock = listen(address)
        self.port: int = self._sock.getsockname()[1]

    def start(self) -> None:
        """Accept callers; call on the task's thread."""
        self.task.register(self._sock, READ, self._on_ready)
        self.task.call_every(CHECK_PERIOD_S, self._check_timeouts)

    def stop_accepting(self) -> None:
        """Take no new connections; close idle ones."""
        self.is_stopping = True
        self.task.unregister(self._sock)
        self._sock.close()
        for connection in list(self._connections):
            if not connection.is_due:
                connection.close()

    def forget(self, connection: CallerConnection) -> None:
        """Drop a closed connection."""
        self._connections.discard(connection)

    def _on_ready(self, _events: int) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if len(self._connections) >= self._max_connections:
            self.handler.on_bad_request("too-many-connections")
            sock.close()
            return
        self._connections.add(CallerConnection(self, sock))

    def _check_timeouts(self) -> None:
        now = self.task.now()
        for connection in list(self._connections):
            connection.check_timeouts(now)


def make_error_body(code: str, message: str) -> bytes:
    """Return an error in the callers' usual form."""
    content = {"error": {"message": message, "type": "bamboolever", "code": code}}
    return json.dumps(content).encode()
