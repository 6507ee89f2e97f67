"""How long a caller has been waiting before this attempt.

Load pattern: callers that were rejected and come back. Each attempt carries what
is left of the caller's time limit; the longest seen on a route is the limit of
a first attempt, so the difference is what earlier attempts have used.
"""

# Differences below this are transit and rounding, not an earlier attempt.
NOISE_S = 0.025


class PatienceEstimator:
    """Learns the callers' time limit of each route."""

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def observe(self, route: str, remaining_s: float) -> float:
        """Note an attempt; return the seconds that earlier attempts used."""
        longest_s = max(self._longest_s.get(route, 0.0), remaining_s)
        self._longest_s[route] = longest_s
        used_s = longest_s - remaining_s
        return used_s if used_s > NOISE_S else 0.0
