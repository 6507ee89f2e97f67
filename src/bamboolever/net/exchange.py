"""One request and its response: how it failed, and what receives the response."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from bamboolever.net.messages import ResponseHead


class FailureKind(Enum):
    """Why an exchange ended without a complete response.

    CONNECT: no connection was established. CLOSED: the server closed the
    connection. MALFORMED: the response is not valid HTTP, or the server sends too much
    that is no response to the request. TOO_LARGE: the body is over the caller's limit.
    SILENT: the server did not respond in time, did not acknowledge sent data or is
    unreachable. RESET: the socket reported any other error. CANCELLED is never
    reported.
    """

    CONNECT = "connect"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    TOO_LARGE = "too large"
    SILENT = "silent"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class ExchangeFailure:
    """The failure of one exchange.

    ``is_request_sent`` is true when at least one byte of the request was written
    to the socket. Otherwise the server cannot have executed the request.
    ``detail`` is a text for logs. ``is_refused`` is true when nothing listens at the
    server's address.
    """

    kind: FailureKind
    is_request_sent: bool
    detail: str
    is_refused: bool = False


class ResponseHandler(ABC):
    """Callbacks for the response to one request.

    They run on the task of the connection pool. `on_end` or `on_failure` is the
    last call; neither is called after `ClientConnection.cancel`.
    """

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether the response belongs to this request.

        Called with the head of each response. When it returns false, the response
        is discarded and the next one on the connection is awaited.
        """
        return True

    def may_reuse_after(self, head: ResponseHead) -> bool:
        """Return whether the connection may carry another request after a response.

        A faulty server may write a refusal twice. Where nothing in a response names its
        request, the second one would be taken for the next request's.
        """
        return head.status < 400

    @abstractmethod
    def on_head(self, head: ResponseHead) -> None:
        """Called when the status and the headers have arrived."""

    @abstractmethod
    def on_data(self, data: bytes) -> None:
        """Called with each part of the body, without its transfer coding."""

    @abstractmethod
    def on_end(self) -> None:
        """Called when the response is complete."""

    @abstractmethod
    def on_failure(self, failure: ExchangeFailure) -> None:
        """Called when the exchange ends without a complete response."""
