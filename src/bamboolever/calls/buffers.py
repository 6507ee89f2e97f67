"""Bounds the memory of responses that are buffered until they are complete or read.

Takes the size of each response as it grows. Decides whether it may grow further, and
whose response is cut when callers do not read theirs.

Load pattern: upstreams that send bodies without end, to many calls at once. One
response has a limit of its own, but as many as there are calls would not fit. Small
responses always fit, so that they are served while others use the budget up.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar, final

UNBUDGETED_BYTES = 64 * 2**10
MIN_BUDGET_BYTES = 8 * 2**20
# The part of an instance's memory that buffered responses may take together.
MEMORY_SHARE = 0.25


@dataclass
class BufferBudget:
    """Bytes that all buffered responses may take together, and those in use."""

    total_bytes: float
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


_Holder = TypeVar("_Holder", bound=Hashable)


@final
class HeldBytes(Generic[_Holder]):
    """Bytes that are held for callers that do not read them yet.

    Beyond ``total_bytes`` together, the holder of the most gives way. A caller that
    reads its response holds little, so it is not affected.
    """

    def __init__(self, total_bytes: float):
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self._sizes: dict[_Holder, int] = {}

    @classmethod
    def from_memory(cls, memory_bytes: float) -> "HeldBytes[_Holder]":
        """Return the bound of an instance with this much memory; 0 means unknown."""
        return cls(max(MIN_BUDGET_BYTES, memory_bytes * MEMORY_SHARE))

    def resize(self, holder: _Holder, size_bytes: int) -> list[_Holder]:
        """Note how many bytes a holder has; return those whose response is to be cut.

        They count as holding nothing from then on.
        """
        self._set(holder, size_bytes)
        cut = []
        while self.used_bytes > self.total_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self._set(largest, 0)
            cut.append(largest)
        return cut

    def _set(self, holder: _Holder, size_bytes: int) -> None:
        self.used_bytes += size_bytes - self._sizes.pop(holder, 0)
        if size_bytes:
            self._sizes[holder] = size_bytes


def _budgeted(size_bytes: int) -> int:
    return max(0, size_bytes - UNBUDGETED_BYTES)
