"""Bounds the memory of responses that are buffered until they are complete.

Takes the size of each response as it grows. Decides whether it may grow further.

Load pattern: servers that send bodies without end, to many requests at once. One
response has a limit of its own, but as many as there are requests would not fit. Small
responses always fit, so that they are received while others use the budget up.
"""

import math
from dataclasses import dataclass
from typing import final

MAX_RESPONSE_BYTES = 16 * 2**20
UNBUDGETED_BYTES = 64 * 2**10
MIN_BUDGET_BYTES = 8 * 2**20
# The part of an instance's memory that buffered responses may take together.
MEMORY_SHARE = 0.25
# Parts of a body are joined up to this size, so that small ones take no more memory
# than their bytes.
BLOCK_BYTES = 64 * 2**10


@dataclass
class BufferBudget:
    """Bytes that all buffered responses may take together, and those in use."""

    total_bytes: float = math.inf
    used_bytes: int = 0

    @classmethod
    def from_memory(cls, memory_bytes: float) -> "BufferBudget":
        """Return the budget of an instance with this much memory; 0 means unknown."""
        return cls(max(MIN_BUDGET_BYTES, memory_bytes * MEMORY_SHARE))

    def resize(self, old_bytes: int, new_bytes: int) -> bool:
        """Change the size of one response, unless the budget does not allow it.

        Returns whether it was changed. The new size 0 releases the response.
        """
        growth_bytes = _budgeted(new_bytes) - _budgeted(old_bytes)
        if growth_bytes > 0 and self.used_bytes + growth_bytes > self.total_bytes:
            return False
        self.used_bytes += growth_bytes
        return True


@final
class BlockBuffer:
    """Bytes that arrive in parts.

    Full blocks are kept as they are: a single growing array would be moved again and
    again, which leaves holes in the memory of the process.
    """

    def __init__(self) -> None:
        self._size_bytes = 0
        self._blocks: list[bytes] = []
        self._last_block = bytearray()

    def __len__(self) -> int:
        return self._size_bytes

    def add(self, data: bytes) -> None:
        """Append ``data``."""
        self._size_bytes += len(data)
        self._last_block += data
        if len(self._last_block) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._last_block))
            self._last_block = bytearray()

    def take(self) -> bytes:
        """Return all bytes, and empty the buffer."""
        data = b"".join((*self._blocks, self._last_block))
        self.clear()
        return data

    def clear(self) -> None:
        """Empty the buffer."""
        self._size_bytes = 0
        self._blocks = []
        self._last_block = bytearray()


@final
class ResponseBuffer:
    """The body of one response; its memory is taken from a shared budget."""

    def __init__(self, budget: BufferBudget, max_bytes: int = MAX_RESPONSE_BYTES):
        self._budget = budget
        self._max_bytes = max_bytes
        self._body = BlockBuffer()

    def __len__(self) -> int:
        return len(self._body)

    def add(self, data: bytes) -> str | None:
        """Append ``data``; return the reason if it does not fit, else None."""
        new_bytes = len(self._body) + len(data)
        if new_bytes > self._max_bytes:
            return "response over the limit"
        if not self._budget.resize(len(self._body), new_bytes):
            return "response over the budget of all buffered responses"
        self._body.add(data)
        return None

    def take(self) -> bytes:
        """Return the body, and empty the buffer."""
        body = self._body.take()
        self._budget.resize(len(body), 0)
        return body

    def clear(self) -> None:
        """Empty the buffer."""
        self._budget.resize(len(self._body), 0)
        self._body.clear()


def _budgeted(size_bytes: int) -> int:
    return max(0, size_bytes - UNBUDGETED_BYTES)
