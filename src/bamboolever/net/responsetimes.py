"""How long one remote takes to respond, and when a call to it is overdue.

Takes the times from request to response. Decides after how long without a response a
further call is worth its cost.

Load pattern: a remote that is slow for all its callers. If each of them gives up after
a fixed time, their calls are repeated and none is completed.
"""

# A call is overdue after this many times the longest recent response time.
OVERDUE_FACTOR = 2.0
# Bounds of the time after which a call is overdue: a remote that responds at once as a
# rule may be late by a lost packet; one that was silent must be found back in time.
MIN_OVERDUE_S = 1.0
MAX_OVERDUE_S = 6.0
# The longest response time loses this share of itself with each shorter one.
FORGOTTEN_SHARE = 0.2


class ResponseTimes:
    """Longest recent response time of one remote, in seconds."""

    def __init__(self) -> None:
        self._longest_s = 0.0

    @property
    def longest_s(self) -> float:
        """The longest recent response time; 0 before the first response."""
        return self._longest_s

    @property
    def overdue_s(self) -> float:
        """After how many seconds without a response a call is overdue."""
        return min(MAX_OVERDUE_S, max(MIN_OVERDUE_S, OVERDUE_FACTOR * self._longest_s))

    def record(self, time_s: float) -> None:
        """Take the time from a request to the head of its response."""
        kept_s = self._longest_s * (1 - FORGOTTEN_SHARE)
        self._longest_s = max(0.0, time_s, kept_s)
