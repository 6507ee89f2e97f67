"""Bounds the memory of what an entry holds for callers.

Takes the size of each caller's request or response as it changes. Decides whose gives
way.

Load pattern: many callers that do not read their responses, or send large requests and
stop short of their end. One of each has a limit of its own, but as many as there are
callers would not fit.
"""

from collections.abc import Hashable
from typing import Generic, TypeVar, final

from bamboolever.net.buffers import MEMORY_SHARE, MIN_BUDGET_BYTES

# The part of an instance's memory that requests may take together.
REQUEST_MEMORY_SHARE = 0.125
# What each request may take besides; ordinary requests are smaller.
FREE_REQUEST_BYTES = 16 * 2**10

_Holder = TypeVar("_Holder", bound=Hashable)


@final
class HeldBytes(Generic[_Holder]):
    """Bytes that are held for callers.

    Beyond ``total_bytes`` together, the holder of the most gives way. A caller that
    reads its response, or whose request is small, holds little and is not affected.
    The first ``free_bytes`` of each holder do not count.
    """

    def __init__(self, total_bytes: float, free_bytes: int = 0):
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self._free_bytes = free_bytes
        self._sizes: dict[_Holder, int] = {}
        self._kept_sizes: dict[_Holder, int] = {}

    @classmethod
    def from_memory(cls, memory_bytes: float) -> "HeldBytes[_Holder]":
        """Return the bound of responses for this much memory; 0 means unknown."""
        return cls(max(MIN_BUDGET_BYTES, memory_bytes * MEMORY_SHARE))

    @classmethod
    def for_requests(cls, memory_bytes: float) -> "HeldBytes[_Holder]":
        """Return the bound of requests for this much memory; 0 means unknown."""
        total_bytes = max(MIN_BUDGET_BYTES, memory_bytes * REQUEST_MEMORY_SHARE)
        return cls(total_bytes, FREE_REQUEST_BYTES)

    def allow(self, size_bytes: int) -> None:
        """Raise the bound so that one holder of this size fits."""
        self.total_bytes = max(self.total_bytes, size_bytes)

    def resize(self, holder: _Holder, size_bytes: int) -> list[_Holder]:
        """Note how many bytes a holder has; return those that have to give way.

        They count as holding nothing from then on.
        """
        self._set(holder, size_bytes)
        cut = []
        while self.used_bytes > self.total_bytes and self._sizes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self._set(largest, 0)
            cut.append(largest)
        return cut

    def keep(self, holder: _Holder) -> None:
        """Let a holder keep its bytes, as those of a complete request.

        They count until its size is set to 0.
        """
        size_bytes = self._sizes.pop(holder, 0)
        if size_bytes:
            self._kept_sizes[holder] = size_bytes

    def _set(self, holder: _Holder, size_bytes: int) -> None:
        counted_bytes = max(0, size_bytes - self._free_bytes)
        former_bytes = self._sizes.pop(holder, 0) + self._kept_sizes.pop(holder, 0)
        self.used_bytes += counted_bytes - former_bytes
        if counted_bytes:
            self._sizes[holder] = counted_bytes
