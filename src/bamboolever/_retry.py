"""Retry budget and backoff."""

import random
from typing import final

RESERVE_RETRIES = 10.0
MAX_SAVED_RETRIES = 100.0


@final
class RetryBudget:
    """Allows retries in proportion to first attempts, with a small reserve.

    >>> budget = RetryBudget(share=0.5, reserve=0.0)
    >>> budget.on_first_attempt(); budget.on_first_attempt()
    >>> budget.try_take(), budget.try_take()
    (True, False)
    """

    def __init__(
        self,
        share: float,
        *,
        reserve: float = RESERVE_RETRIES,
        max_saved: float = MAX_SAVED_RETRIES,
    ):
        self._share = share
        self._tokens = reserve
        self._max_saved = max_saved

    def set_share(self, share: float) -> None:
        """Change the share of retries among first attempts."""
        self._share = share

    def on_first_attempt(self) -> None:
        """Earn ``share`` of a retry."""
        self._tokens = min(self._max_saved, self._tokens + self._share)

    def try_take(self) -> bool:
        """Spend one retry if it is there."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_s(attempt: int, random_source: random.Random) -> float:
    """Return the delay before retry number ``attempt`` (from 1), with jitter."""
    ceiling_s = min(2.0, 0.02 * 2.0**attempt)
    return ceiling_s * (0.5 + random_source.random() / 2)
