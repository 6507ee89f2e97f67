"""HTTP between an entry and its callers, over `net.server`.

`waitress` uses a thread per open response. At the design size of 424 token streams
per entry, switching threads costs more than the streams themselves. So the entry's
own event loop serves the callers' port, and `h11` parses the requests.
"""

import json
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import final

from bamboolever._task import IoTask
from bamboolever.net.addresses import Address
from bamboolever.net.handlers import HttpLimits, RequestHandler
from bamboolever.net.messages import Header, Request
from bamboolever.net.server import HttpServer
from bamboolever.net.serverconnection import ServerConnection

LIMITS = HttpLimits(
    max_header_bytes=16 * 1024,
    max_body_bytes=8 * 2**20,
    header_timeout_s=10.0,
    idle_timeout_s=60.0,
)
TERMINAL_EVENT = b"data: [DONE]\n\n"
REJECTION_CODES = {
    408: "request-timeout",
    413: "body-too-large",
    503: "too-many-connections",
}
MALFORMED_CODE = "malformed-request"

Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class CallerRequest:
    """A complete request of a caller; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class CallerHandler(ABC):
    """Handles the callers' requests; called on the entry's task."""

    @abstractmethod
    def on_request(
        self, connection: "CallerConnection", request: CallerRequest
    ) -> None:
        """Called when a complete request arrived; exactly one response is due."""

    @abstractmethod
    def on_caller_gone(self, connection: "CallerConnection") -> None:
        """Called when the caller closed its connection while a response was due."""

    @abstractmethod
    def on_bad_request(self, reason: str) -> None:
        """Called when a request was rejected before it was complete.

        ``reason`` is the error code that the caller got.
        """


@dataclass(frozen=True)
class CallerConnection:
    """A caller's connection, with at most one response due.

    Two objects for the same underlying connection are equal.
    """

    _connection: ServerConnection

    @property
    def is_closed(self) -> bool:
        """Whether a response can no longer be sent."""
        return not self._connection.is_response_due

    def respond(
        self, status: int, content_type: str, body: bytes, headers: Headers
    ) -> None:
        """Send a complete response."""
        all_headers = _encode_headers([("Content-Type", content_type), *headers])
        self._connection.respond(status, all_headers, body)

    def start_stream(self, status: int, content_type: str, headers: Headers) -> None:
        """Send the head of a streamed response."""
        base_headers = [("Content-Type", content_type), ("Cache-Control", "no-store")]
        self._connection.start(status, _encode_headers([*base_headers, *headers]))

    def send_piece(self, data: bytes) -> None:
        """Send a piece of a streamed response at once."""
        self._connection.send(data)

    def finish_stream(self) -> None:
        """Send the terminal event and end the response."""
        self._connection.send(TERMINAL_EVENT)
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete response."""
        self._connection.close()


@final
class CallerServer(RequestHandler):
    """Listens for callers and passes their requests to ``handler``.

    ``address`` is the host and port to listen on. Connections over
    ``max_connections`` are rejected.
    """

    def __init__(
        self,
        task: IoTask,
        address: tuple[str, int],
        handler: CallerHandler,
        *,
        max_connections: int,
    ):
        self._handler = handler
        self._server = HttpServer(
            task,
            Address(*address),
            self,
            LIMITS,
            max_connections=max_connections,
            make_rejection=_make_rejection,
        )
        self.port: int = self._server.address.port

    @property
    def is_stopping(self) -> bool:
        """Whether new connections are no longer accepted."""
        return self._server.is_stopping

    @property
    def is_idle(self) -> bool:
        """Whether no request is arriving and callers have all of their responses.

        May be read from any thread.
        """
        return self._server.is_idle

    def start(self) -> None:
        """Start to accept connections; call it on the task's thread."""
        self._server.start()

    def stop_accepting(self) -> None:
        """Accept no new connections and close idle ones, as the entry drains."""
        self._server.announce_stop()
        self._server.stop_listening()
        self._server.close_idle()

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Pass a complete request to the handler; see `RequestHandler.on_request`."""
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in request.headers
        }
        received = CallerRequest(
            request.method.decode("ascii"),
            request.target.decode("latin-1"),
            headers,
            request.body,
        )
        self._handler.on_request(CallerConnection(connection), received)

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Pass the event to the handler; see `RequestHandler.on_caller_gone`."""
        self._handler.on_caller_gone(CallerConnection(connection))

    def on_rejected(self, status: int, reason: str) -> None:
        """Pass the error code to the handler; see `RequestHandler.on_rejected`."""
        self._handler.on_bad_request(REJECTION_CODES.get(status, MALFORMED_CODE))


def make_error_body(code: str, message: str) -> bytes:
    """Return the JSON body of an error response."""
    content = {"error": {"message": message, "type": "bamboolever", "code": code}}
    return json.dumps(content).encode()


def _make_rejection(status: int, reason: str) -> tuple[list[Header], bytes]:
    code = REJECTION_CODES.get(status, MALFORMED_CODE)
    headers = [
        (b"Content-Type", b"application/json"),
        (b"X-Bamboolever-Outcome", b"not-run"),
    ]
    return headers, make_error_body(code, reason)


def _encode_headers(headers: Headers) -> list[Header]:
    return [(name.encode(), value.encode("latin-1")) for name, value in headers]
