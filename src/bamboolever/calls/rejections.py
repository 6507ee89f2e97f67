"""Recognizes callers that come back after a rejection.

Load pattern: demand beyond capacity. A rejected caller comes back once, mostly at
another entry, and its time to be on time has run since its first attempt. Entries
tell each other which requests they rejected, by digest, and since when each waits.
"""

from collections import OrderedDict

# Callers come back within a third of the time until their deadline.
MEMORY_S = 4.0
MAX_REMEMBERED = 20_000


class RejectionHistory:
    """First arrivals of rejected requests by digest; times in seconds."""

    def __init__(self) -> None:
        self._first_at: OrderedDict[int, tuple[float, float]] = OrderedDict()

    def on_rejected(self, digest: int, first_at: float, now: float) -> None:
        """Remember a rejected request and when its caller first asked."""
        known = self._first_at.pop(digest, None)
        if known is not None and now - known[1] <= MEMORY_S:
            first_at = min(first_at, known[0])
        self._first_at[digest] = (first_at, now)
        self._forget(now)

    def used_s(self, digest: int, now: float) -> float:
        """Return the seconds since the caller first asked; 0 for a first attempt."""
        known = self._first_at.get(digest)
        if known is None or now - known[1] > MEMORY_S:
            return 0.0
        return max(0.0, now - known[0])

    def _forget(self, now: float) -> None:
        while self._first_at:
            oldest = next(iter(self._first_at.values()))
            is_over = len(self._first_at) > MAX_REMEMBERED
            if not is_over and now - oldest[1] <= MEMORY_S:
                return
            self._first_at.popitem(last=False)
