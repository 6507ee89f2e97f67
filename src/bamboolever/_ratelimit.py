"""A token bucket that limits a rate and allows bursts."""

import time
from typing import final


@final
class TokenBucket:
    """Grants ``rate`` tokens per second and keeps up to ``burst`` unused ones.

    The bucket starts full. Callers pass the time in seconds; only `read_clock` reads a
    clock.

    >>> bucket = TokenBucket(rate=2.0, burst=1.0)
    >>> bucket.try_take(0.0), bucket.try_take(0.0), bucket.try_take(0.5)
    (True, False, True)
    """

    def __init__(self, rate: float, burst: float):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    @staticmethod
    def read_clock() -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def set_limits(self, rate: float, burst: float) -> None:
        """Set the limits and drop unused tokens above ``burst``."""
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def try_take(self, now: float, amount: float = 1.0) -> bool:
        """Take ``amount`` tokens if available; return whether they were taken."""
        self._refill(now)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def reserve(self, now: float, amount: float) -> float:
        """Take ``amount`` tokens and return the seconds to wait before using them.

        The balance may go below zero; it is refilled at ``rate``.
        """
        self._refill(now)
        self._tokens -= amount
        return max(0.0, -self._tokens / self._rate)

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until ``amount`` tokens are available."""
        self._refill(now)
        return max(0.0, (amount - self._tokens) / self._rate)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None and now > self._refilled_at:
            refilled = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + refilled)
        if self._refilled_at is None or now > self._refilled_at:
            self._refilled_at = now
