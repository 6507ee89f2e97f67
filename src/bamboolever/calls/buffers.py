"""Bounds the memory of responses that wait for callers to read them.

Takes the size of each response as it grows or is read. Decides whose response is cut.

Load pattern: many callers that do not read their responses. One response has a limit of
its own, but as many as there are callers would not fit.
"""

from collections.abc import Hashable
from typing import Generic, TypeVar, final

from bamboolever.net.buffers import MEMORY_SHARE, MIN_BUDGET_BYTES

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
