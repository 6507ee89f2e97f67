"""The callers' side of the product's own interface, over `net.server`.

`waitress` gives each open response a thread. At the design size of 424 token
streams per entry the threads' turns cost more than the streams, so the callers'
port is served from the entry's own loop; parsing stays in `h11`.
"""

import json
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import final

from bamboolever._task import IoTask
from bamboolever.net.addresses import Address
from bamboolever.net.handlers import HttpLimits, RequestHandler
from bamboolever.net.messages import Header, Request
from bamboolever.net.server import HttpServer, ServerConnection

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
    """One whole request of a caller; header names are in lower case."""

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


@dataclass(frozen=True)
class CallerConnection:
    """One caller's connection; equal to any other view of the same one."""

    _connection: ServerConnection

    @property
    def is_closed(self) -> bool:
        """Whether no response can be sent any more."""
        return not self._connection.is_due

    def respond(
        self, status: int, content_type: str, body: bytes, headers: Headers
    ) -> None:
        """Send a whole response."""
        all_headers = _encode([("Content-Type", content_type), *headers])
        self._connection.respond(status, all_headers, body)

    def start_stream(self, status: int, content_type: str, headers: Headers) -> None:
        """Send the head of a streamed response."""
        own = [("Content-Type", content_type), ("Cache-Control", "no-store")]
        self._connection.start(status, _encode([*own, *headers]))

    def send_piece(self, data: bytes) -> None:
        """Send a part of a streamed response at once."""
        self._connection.send(data)

    def finish_stream(self) -> None:
        """Send the terminal event and end the response."""
        self._connection.send(TERMINAL_EVENT)
        self._connection.finish()

    def abort(self) -> None:
        """Cut a started response without its end, so that the caller sees it."""
        self._connection.close()


@final
class CallerPort(RequestHandler):
    """Listens for callers and owns their connections."""

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
        """Whether new connections are no longer taken."""
        return self._server.is_stopping

    def start(self) -> None:
        """Accept callers; call on the task's thread."""
        self._server.start()

    def stop_accepting(self) -> None:
        """Take no new connections; close idle ones."""
        self._server.announce_stop()
        self._server.stop_listening()
        self._server.close_idle()

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Hand a whole request on."""
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
        """Tell that a caller left."""
        self._handler.on_caller_gone(CallerConnection(connection))

    def on_rejected(self, status: int, reason: str) -> None:
        """Count a request that was not whole."""
        self._handler.on_bad_request(REJECTION_CODES.get(status, MALFORMED_CODE))


def make_error_body(code: str, message: str) -> bytes:
    """Return an error in the callers' usual form."""
    content = {"error": {"message": message, "type": "bamboolever", "code": code}}
    return json.dumps(content).encode()


def _make_rejection(status: int, reason: str) -> tuple[list[Header], bytes]:
    code = REJECTION_CODES.get(status, MALFORMED_CODE)
    headers = [
        (b"Content-Type", b"application/json"),
        (b"X-Bamboolever-Outcome", b"not-run"),
    ]
    return headers, make_error_body(code, reason)


def _encode(headers: Headers) -> list[Header]:
    return [(name.encode(), value.encode("latin-1")) for name, value in headers]
