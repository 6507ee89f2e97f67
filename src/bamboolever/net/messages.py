"""Requests and responses as they travel between the network and the daemons."""

from dataclasses import dataclass

Header = tuple[bytes, bytes]

# Headers that concern one connection only and are never passed on.
HOP_HEADERS = frozenset(
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


@dataclass(frozen=True)
class Request:
    """One whole request; header names keep the sender's spelling."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes = b""

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of the header ``name`` (lower case)."""
        return find_header(self.headers, name)


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: tuple[Header, ...]

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of the header ``name`` (lower case)."""
        return find_header(self.headers, name)

    @property
    def is_success(self) -> bool:
        """Whether the status is a 2xx."""
        return 200 <= self.status < 300


def find_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the first value of the header ``name`` (lower case), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def strip_hop_headers(headers: tuple[Header, ...]) -> list[Header]:
    """Return the headers without those that concern one connection only.

    Headers that a ``Connection`` header names are dropped too.
    """
    named = find_header(headers, b"connection") or b""
    listed = {token.strip().lower() for token in named.split(b",")}
    dropped = HOP_HEADERS | listed
    return [(name, value) for name, value in headers if name.lower() not in dropped]
