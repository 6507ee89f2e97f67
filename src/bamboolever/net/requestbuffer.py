"""Holds a request while it arrives, and tells how much memory it takes.

Load pattern: callers that send heads of many short headers. Each header is an object of
its own, so that such a head takes many times its bytes.
"""

from typing import final

import h11

from bamboolever.net.buffers import BlockBuffer
from bamboolever.net.messages import Request

# Memory of a header besides its name and value: three strings and their tuple.
HEADER_OVERHEAD_BYTES = 200
# The shortest header line: a name of one byte, a colon, and the end of the line.
MIN_HEADER_LINE_BYTES = 4


@final
class RequestBuffer:
    """A request whose head has been received; parts of its body are added."""

    def __init__(self, head: h11.Request):
        self._head = head
        self._head_memory_bytes = sum(
            len(name) + len(value) + HEADER_OVERHEAD_BYTES
            for name, value in head.headers
        )
        self._body = BlockBuffer()

    @property
    def body_bytes(self) -> int:
        """Size of the body so far."""
        return len(self._body)

    @property
    def memory_bytes(self) -> int:
        """Estimate of the memory that the head and the body take so far."""
        return self._head_memory_bytes + len(self._body)

    def add(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body.add(data)

    def take(self) -> Request:
        """Return the complete request, and empty the buffer of the body."""
        return Request(
            bytes(self._head.method),
            bytes(self._head.target),
            tuple(self._head.headers.raw_items()),
            self._body.take(),
        )


def max_request_memory_bytes(max_header_bytes: int, max_body_bytes: int) -> int:
    """Return the largest `RequestBuffer.memory_bytes` within these limits."""
    max_headers = max_header_bytes // MIN_HEADER_LINE_BYTES
    return max_headers * HEADER_OVERHEAD_BYTES + max_header_bytes + max_body_bytes
