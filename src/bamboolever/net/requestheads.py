"""Decides by its head whether a request is rejected before its body is read."""

from dataclasses import dataclass

import h11

from bamboolever.net.handlers import HttpLimits


@dataclass(frozen=True)
class HeadFault:
    """Why a request is rejected, with the HTTP status of its response."""

    status: int
    reason: str


def find_head_fault(request: h11.Request, limits: HttpLimits) -> HeadFault | None:
    """Return why a request is rejected at once, or None."""
    if _header_size_bytes(request) > limits.max_header_bytes:
        return HeadFault(431, "the headers are over the limit")
    headers = dict(request.headers)
    if b"content-length" in headers and b"transfer-encoding" in headers:
        return HeadFault(400, "both Content-Length and Transfer-Encoding")
    if int(headers.get(b"content-length", b"0")) > limits.max_body_bytes:
        return HeadFault(413, "the body is over the limit")
    return None


def expects_continue(request: h11.Request) -> bool:
    """Return whether the caller waits for a 100 before it sends the body."""
    return dict(request.headers).get(b"expect", b"").lower() == b"100-continue"


def _header_size_bytes(request: h11.Request) -> int:
    sizes = (len(name) + len(value) + 4 for name, value in request.headers)
    return len(request.target) + sum(sizes)
