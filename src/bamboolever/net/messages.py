"""HTTP requests and response heads, independent of the `h11` library."""

from dataclasses import dataclass
from enum import Enum

Header = tuple[bytes, bytes]

# Headers that apply to one connection only and are never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

# The statuses of responses that HTTP knows (RFC 9110, section 15).
MIN_STATUS = 100
MAX_STATUS = 599


@dataclass(frozen=True)
class Request:
    """A complete request; header names keep the sender's spelling."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes = b""

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of the header ``name`` (lower case), or None."""
        return find_header(self.headers, name)


class BodyFraming(Enum):
    """How a response shows where its body ends (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_CLOSE = "connection-close"


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response; names keep the sender's spelling."""

    status: int
    headers: tuple[Header, ...]

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of the header ``name`` (lower case), or None."""
        return find_header(self.headers, name)

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def may_be_event_stream(self) -> bool:
        """Whether no other type of content than server-sent events is declared."""
        content_type = self.get(b"content-type")
        return content_type is None or b"text/event-stream" in content_type.lower()

    @property
    def body_framing(self) -> BodyFraming:
        """How the end of the body is shown; right for responses to GET and POST."""
        if self.status in (204, 304):
            return BodyFraming.LENGTH
        if self.get(b"transfer-encoding") is not None:
            return BodyFraming.CHUNKED
        if self.get(b"content-length") is not None:
            return BodyFraming.LENGTH
        return BodyFraming.CONNECTION_CLOSE


def is_valid_status(status: int) -> bool:
    """Return whether HTTP knows a status; the sender of another one is in trouble."""
    return MIN_STATUS <= status <= MAX_STATUS


def find_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the first value of the header ``name`` (lower case), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def strip_hop_by_hop_headers(headers: tuple[Header, ...]) -> list[Header]:
    """Return the headers without those that apply to one connection only.

    Headers that the first ``Connection`` header names are removed too.
    """
    named = find_header(headers, b"connection") or b""
    listed = {token.strip().lower() for token in named.split(b",")}
    dropped = HOP_BY_HOP_HEADERS | listed
    return [(name, value) for name, value in headers if name.lower() not in dropped]
