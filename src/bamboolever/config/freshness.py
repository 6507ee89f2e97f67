"""Decides whether API keys may be trusted, by the age of the last confirmation.

Takes the confirmations that the configuration in force is the newest. Decides whether
requests that carry a key may be served.

Load pattern: revocation while the store is unreachable. A revoked key must stop
working within a bound even then, so requests with a key are refused once the last
confirmation is older than that bound.
"""

import math
from dataclasses import dataclass

# Subtracted from the bound. Covers requests in flight to the check, and timer delays.
FRESHNESS_MARGIN_S = 0.5
# After the store came back from a copy, changes that the copy lacks are written again
# within this time.
REWRITE_DELAY_S = 2.2


@dataclass
class Freshness:
    """When the configuration in force was last confirmed as the newest.

    ``max_age_s`` is the bound for revocations; None means no bound. Times are seconds
    of a clock that keeps running while the machine is suspended.
    """

    max_age_s: float | None
    confirmed_at: float | None = None
    _ignored_before: float = -math.inf

    def on_store_restored(self, now: float) -> None:
        """Ignore confirmations until lost changes have been written again."""
        self._ignored_before = now + REWRITE_DELAY_S

    def confirm(self, as_of: float) -> None:
        """Record that the configuration was the newest at ``as_of``.

        Times earlier than the last confirmation are ignored, and those at which a
        restored store may still have lacked a newer configuration.
        """
        if as_of < self._ignored_before:
            return
        if self.confirmed_at is None or as_of > self.confirmed_at:
            self.confirmed_at = as_of

    def age_s(self, now: float) -> float | None:
        """Return the seconds since the last confirmation; None before the first."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def can_trust_keys(self, now: float) -> bool:
        """Return whether requests that carry a key may be served at ``now``."""
        age_s = self.age_s(now)
        if age_s is None:
            return False
        if self.max_age_s is None:
            return True
        return age_s < self.max_age_s - FRESHNESS_MARGIN_S
