"""Retry budget and backoff, so that retries don't overload a failing service."""

import random
from typing import final

#: Retries that a new budget allows before any first attempt.
RESERVE_RETRIES = 10.0
#: Unused retries that a budget keeps at most.
MAX_SAVED_RETRIES = 100.0


@final
class RetryBudget:
    """Allows retries in proportion to first attempts.

    Each first attempt adds ``share`` of a retry, up to ``max_saved`` unused ones. The
    budget starts with ``reserve`` retries, so that a quiet service can retry too.

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
        """Set the retries that each first attempt adds, such as 0.1."""
        self._share = share

    def set_max_saved(self, max_saved: float) -> None:
        """Set how many unused retries are kept at most; drop those beyond it."""
        self._max_saved = max_saved
        self._tokens = min(self._tokens, max_saved)

    def on_first_attempt(self) -> None:
        """Add a first attempt's share of a retry."""
        self._tokens = min(self._max_saved, self._tokens + self._share)

    def try_take(self) -> bool:
        """Take one retry; return whether the budget had one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_s(attempt: int, random_source: random.Random) -> float:
    """Return the seconds to wait before retry number ``attempt``, counted from 1.

    The delay doubles with each retry up to 2 s. Jitter takes off up to half of it.
    """
    ceiling_s = min(2.0, 0.02 * 2.0**attempt)
    return ceiling_s * (0.5 + random_source.random() / 2)
