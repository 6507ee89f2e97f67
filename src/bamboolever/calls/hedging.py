"""Decides whether and when a second attempt is sent beside a slow first one.

Takes the requests of one service that this entry sent and the times to their complete
responses. Decides after which delay an attempt counts as slow, and whether the share of
extra requests that the operator allows is used up.

Load pattern: most responses of a service take a similar time, and a few take several
times as long because of the upstream that serves them. A hedged request to another
upstream is usually answered sooner than such a slow one. When all upstreams are slow,
the delay grows with the observed times, and the share bounds what is sent in the
meantime. Each entry spends only the share of its own requests, so that the share holds
over any number of entries, and one that restarts begins with nothing.
"""

import math
from dataclasses import dataclass
from enum import Enum
from typing import final

from bamboolever.calls.retry import MIN_REMAINING_S
from bamboolever.config.model import Route, RouteKind

# An attempt counts as slow when it takes longer than this percentage of attempts.
DEFAULT_PERCENTILE = 95.0
# Fewer observations, weighted by age, give no usable percentile: of 50, two or three
# lie above the 95th.
MIN_OBSERVATIONS = 50.0
# Time after which the weight of an observation is halved. An entry gets one to eight
# responses of a plain service per second; a shorter time would leave too few.
HALF_LIFE_S = 60.0
# Each bucket's upper bound is this multiple of the one below. A value is known to
# within half of that, 5 percent.
BUCKET_GROWTH = 1.1
MIN_LATENCY_S = 0.001
MAX_LATENCY_S = 60.0
# Weights are divided by the newest one when it reaches this, as they lose precision.
MAX_WEIGHT = 1e9
# Maximum number of unused hedged requests that an entry saves for a service. More would
# all be sent together when all upstreams become slow at once.
MAX_SAVED_HEDGES = 3.0
# No hedged request is sent while a larger share of the slots is in use, in all eligible
# upstreams together or in the one that it would be sent to.
MAX_HEDGE_LOAD = 0.7


class HedgeRefusal(Enum):
    """Why no hedged request is sent; the value is a label of metrics.

    UNKNOWN_DELAY: too few responses were observed. ATTEMPTS_USED: the route allows no
    further attempt. NO_TIME_LEFT: the request times out too soon. WAITING: other
    requests of the service wait in this entry's queue. NO_ROOM: the eligible upstreams
    are too full. NO_UPSTREAM: no other upstream is eligible. SHARE_USED: the operator's
    share is used up. NO_RETRY: a retry would be refused, by the retry budget or because
    the request may crash upstreams.
    """

    UNKNOWN_DELAY = "unknown-delay"
    ATTEMPTS_USED = "attempts-used"
    NO_TIME_LEFT = "no-time-left"
    WAITING = "requests-waiting"
    NO_ROOM = "no-room"
    NO_UPSTREAM = "no-upstream"
    SHARE_USED = "share-used"
    NO_RETRY = "no-retry"


@dataclass(frozen=True)
class HedgeInput:
    """A slow attempt and the limits of its route; ``remaining_s`` is until its timeout.

    ``attempts`` counts the attempts so far.
    """

    attempts: int
    max_attempts: int
    remaining_s: float


def may_hedge(route: Route, model: str | None) -> bool:
    """Return whether requests of a route may be hedged.

    Only idempotent ones may, which are no streams. Requests for a model are left out,
    as they have to begin before the end of its version.
    """
    return route.kind is RouteKind.IDEMPOTENT and model is None


def find_hedge_refusal(inputs: HedgeInput) -> HedgeRefusal | None:
    """Return what speaks against a hedged request, apart from upstreams and budgets."""
    if inputs.attempts >= inputs.max_attempts:
        return HedgeRefusal.ATTEMPTS_USED
    if inputs.remaining_s < MIN_REMAINING_S:
        return HedgeRefusal.NO_TIME_LEFT
    return None


@final
class LatencyHistogram:
    """Counts of latencies in exponential buckets; older ones count less.

    Latencies are in seconds, and ``now`` in seconds of one monotonic clock.
    """

    def __init__(self, *, half_life_s: float = HALF_LIFE_S):
        self._half_life_s = half_life_s
        self._counts = [0.0] * (_bucket_of(MAX_LATENCY_S) + 1)
        self._total = 0.0
        self._reference_at: float | None = None

    def add(self, latency_s: float, now: float) -> None:
        """Count a latency that was observed at ``now``."""
        weight = self._weight_at(now)
        if weight >= MAX_WEIGHT:
            self._counts = [count / weight for count in self._counts]
            self._total /= weight
            self._reference_at = now
            weight = 1.0
        self._counts[_bucket_of(latency_s)] += weight
        self._total += weight

    def count_at(self, now: float) -> float:
        """Return the number of observations, weighted by their age."""
        return self._total / self._weight_at(now)

    def find_percentile_s(self, percentile: float) -> float | None:
        """Return the latency that ``percentile`` percent do not exceed, or None.

        The error is at most half a bucket. It is None without observations.
        """
        left = self._total * percentile / 100
        for bucket, count in enumerate(self._counts):
            left -= count
            if count and left <= 0:
                return MIN_LATENCY_S * BUCKET_GROWTH ** (bucket - 0.5)
        return None

    def _weight_at(self, now: float) -> float:
        # New observations weigh more instead of old ones less, so that an observation
        # changes one bucket only.
        if self._reference_at is None:
            self._reference_at = now
        age_s = max(0.0, now - self._reference_at)
        return float(2.0 ** min(1000.0, age_s / self._half_life_s))


def _bucket_of(latency_s: float) -> int:
    """Return the bucket of a latency; its upper bound is a power of the growth."""
    bounded_s = min(MAX_LATENCY_S, max(MIN_LATENCY_S, latency_s))
    return math.ceil(math.log(bounded_s / MIN_LATENCY_S) / math.log(BUCKET_GROWTH))


@final
class ServiceHedging:
    """The delay and the budget of one service's hedged requests in this entry.

    ``share`` is the number of extra requests for each first attempt.
    """

    def __init__(self, share: float, *, percentile: float = DEFAULT_PERCENTILE):
        self._share = share
        self._percentile = percentile
        self._histogram = LatencyHistogram()
        self._tokens = 0.0

    def on_first_attempt(self) -> None:
        """Add a first attempt's share of an extra request; call when it is sent."""
        self._tokens = min(MAX_SAVED_HEDGES, self._tokens + self._share)

    def on_response(self, total_s: float, now: float) -> None:
        """Observe the seconds from sending an attempt to its complete response.

        For an attempt that is given up, these are the seconds until then: the time that
        it would have taken is longer, and leaving it out would shorten the delay.
        """
        self._histogram.add(total_s, now)

    def find_delay_s(self, now: float) -> float | None:
        """Return after how many seconds an attempt counts as slow, None if unknown."""
        if self._histogram.count_at(now) < MIN_OBSERVATIONS:
            return None
        return self._histogram.find_percentile_s(self._percentile)

    @property
    def has_token(self) -> bool:
        """Whether the share allows an extra request."""
        return self._tokens >= 1.0

    def take_token(self) -> None:
        """Count an extra request that is sent; needs `has_token`."""
        self._tokens -= 1.0
