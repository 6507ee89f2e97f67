"""Recognizes callers' retries of rejected requests.

Takes the rejections by this entry and by the others, each with the digest of the
request and the time of the caller's first attempt. Decides whether a new request is a
caller's retry, and how long ago the first attempt was.

Load pattern: demand beyond capacity. A rejected caller retries once, mostly at another
entry, and its latency target counts from its first attempt. The entries therefore
send each other their rejections.
"""

from collections import OrderedDict

# Callers retry within a third of the time until their deadline.
MAX_AGE_S = 4.0
MAX_REJECTIONS = 20_000


class RejectionHistory:
    """First attempts of rejected requests, by request digest.

    Holds the last `MAX_REJECTIONS` rejections of the last `MAX_AGE_S` seconds. All
    times are seconds of the entry's clock.
    """

    def __init__(self) -> None:
        # Times of the first attempt and of the last rejection.
        self._times: OrderedDict[int, tuple[float, float]] = OrderedDict()

    def on_rejected(self, digest: int, first_at: float, now: float) -> None:
        """Record a rejection; call when this or another entry rejects a request.

        ``first_at`` is the time of the caller's first attempt. If an earlier time
        is known, that one is kept.
        """
        known = self._times.pop(digest, None)
        if known is not None and now - known[1] <= MAX_AGE_S:
            first_at = min(first_at, known[0])
        self._times[digest] = (first_at, now)
        self._remove_expired(now)

    def first_attempt_age_s(self, digest: int, now: float) -> float:
        """Return the seconds since the caller's first attempt.

        Returns 0 if the request was not rejected before.
        """
        known = self._times.get(digest)
        if known is None or now - known[1] > MAX_AGE_S:
            return 0.0
        return max(0.0, now - known[0])

    def _remove_expired(self, now: float) -> None:
        while self._times:
            oldest = next(iter(self._times.values()))
            is_full = len(self._times) > MAX_REJECTIONS
            if not is_full and now - oldest[1] <= MAX_AGE_S:
                return
            self._times.popitem(last=False)
