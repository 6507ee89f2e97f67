"""Token bucket: a rate with a burst, driven by the caller's clock."""

import time
from typing import final


@final
class TokenBucket:
    """Grants tokens at ``rate`` per second, up to ``burst`` saved ones.

    Pure but for `read_clock`: callers pass the time in seconds.

    >>> bucket = TokenBucket(rate=2.0, burst=1.0)
    >>> bucket.try_take(0.0), bucket.try_take(0.0), bucket.try_take(0.5)
    (True, False, True)
    """

    def __init__(self, rate: float, burst: float):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated: float | None = None

    @staticmethod
    def read_clock() -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def set_limits(self, rate: float, burst: float) -> None:
        """Change the limits and keep the saved tokens within them."""
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def try_take(self, now: float, amount: float = 1.0) -> bool:
        """Take ``amount`` tokens if they are there."""
        self._refill(now)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def reserve(self, now: float, amount: float) -> float:
        """Take ``amount`` even into debt; return the seconds until it is paid."""
        self._refill(now)
        self._tokens -= amount
        return max(0.0, -self._tokens / self._rate)

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until ``amount`` tokens are there."""
        self._refill(now)
        return max(0.0, (amount - self._tokens) / self._rate)

    def _refill(self, now: float) -> None:
        if self._updated is not None and now > self._updated:
            gained = (now - self._updated) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        if self._updated is None or now > self._updated:
            self._updated = now
