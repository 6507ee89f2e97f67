"""What a server tells its user, and what it lets callers do."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bamboolever.net.messages import Header, Request

if TYPE_CHECKING:
    from bamboolever.net.server import ServerConnection


@dataclass
class HttpLimits:
    """What a caller may send and how long it may take; changes apply at once."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 2**20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RequestHandler(ABC):
    """Receives what happens on a server's connections, on its task."""

    @abstractmethod
    def on_request(self, connection: "ServerConnection", request: Request) -> None:
        """A whole request arrived; exactly one response is due."""

    @abstractmethod
    def on_caller_gone(self, connection: "ServerConnection") -> None:
        """The caller closed while its response was due."""

    @abstractmethod
    def on_rejected(self, status: int, reason: str) -> None:
        """A request was rejected before it was whole."""


# Returns headers and body of the answer to a request that was not whole.
MakeRejection = Callable[[int, str], tuple[list[Header], bytes]]


def make_plain_rejection(_status: int, reason: str) -> tuple[list[Header], bytes]:
    """Return the reason as the body."""
    return [], reason.encode()
