"""How old the knowledge of the configuration may be (load pattern: revocation).

A key that was taken away must stop working within a bound even where the store
cannot be reached, so keyed requests are rejected once the last confirmation of
the configuration is older than that bound.
"""

from dataclasses import dataclass

# Requests in flight to the check and timer delays, taken off the bound.
FRESHNESS_MARGIN_S = 0.5


@dataclass
class Freshness:
    """When the configuration in force was last known to be the newest.

    Times are seconds of a clock that counts suspension too.
    """

    max_age_s: float | None
    confirmed_at: float | None = None

    def confirm(self, as_of: float) -> None:
        """Note that the configuration was the newest at ``as_of``."""
        if self.confirmed_at is None or as_of > self.confirmed_at:
            self.confirmed_at = as_of

    def age_s(self, now: float) -> float | None:
        """Return the seconds since the last confirmation, or None."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def can_trust_keys(self, now: float) -> bool:
        """Tell whether requests that carry a key may be served."""
        age_s = self.age_s(now)
        if age_s is None:
            return False
        if self.max_age_s is None:
            return True
        return age_s < self.max_age_s - FRESHNESS_MARGIN_S
