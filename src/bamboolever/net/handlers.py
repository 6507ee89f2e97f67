"""Callbacks of the HTTP server and the limits that it enforces on callers."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bamboolever.net.messages import Header, Request

if TYPE_CHECKING:
    from bamboolever.net.serverconnection import ServerConnection


# For requests between instances and of operators, which have no bodies.
MAX_INTERNAL_BODY_BYTES = 4 * 1024


@dataclass
class HttpLimits:
    """Size limits in bytes and timeouts in seconds for a server's connections.

    ``header_timeout_s`` bounds the time to receive a request's headers,
    ``idle_timeout_s`` the time on an idle connection and between two parts of a
    request body. A change takes effect at once, also on open connections, except that
    a raised ``max_header_bytes`` may take effect on new connections only.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 2**20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RequestHandler(ABC):
    """Callbacks of an `HttpServer`; they run on the server's task."""

    @abstractmethod
    def on_request(self, connection: "ServerConnection", request: Request) -> None:
        """Called with each complete request.

        The handler must send exactly one response on ``connection``, now or later.
        """

    @abstractmethod
    def on_caller_gone(self, connection: "ServerConnection") -> None:
        """Called when the connection closes while a response is due."""

    @abstractmethod
    def on_rejected(self, status: int, reason: str) -> None:
        """Called when a request or a connection is rejected by the server itself.

        ``status`` is the HTTP status and ``reason`` a short description.
        """

    def on_request_bytes(  # noqa: B027 (not all handlers bound what is received)
        self, connection: "ServerConnection", size_bytes: int
    ) -> None:
        """Called when the memory of a request changed, that of its head and its body.

        It grows until the request is complete, and is 0 once its response ends.

        The handler may call `ServerConnection.reject_incomplete` for any connection.
        """

    def on_queued_bytes(  # noqa: B027 (not all handlers bound what is queued)
        self, connection: "ServerConnection", size_bytes: int
    ) -> None:
        """Called when the memory of bytes changed that a caller has not read.

        It is 0 when the caller has read all, or when the connection closes.

        The handler may call `ServerConnection.cut_later` for any connection.
        """

    def on_cut(  # noqa: B027 (not all handlers bound what is queued)
        self, connection: "ServerConnection", size_bytes: int
    ) -> None:
        """Called when a response is cut as its caller does not read ``size_bytes``."""


# Takes the status and the reason of a rejection by the server itself and returns
# the headers and the body of its response.
MakeRejection = Callable[[int, str], tuple[list[Header], bytes]]


def make_plain_rejection(_status: int, reason: str) -> tuple[list[Header], bytes]:
    """Return no headers and the reason as the body."""
    return [], reason.encode()
