"""Detects poison requests: requests that crash the upstreams which run them.

Takes broken responses, upstreams found to be down, completed requests, and the crash
reports of other entries. Decides which requests are blocked.

Load pattern: one request that is sent again and again, to any entry, and crashes each
upstream that begins it. A broken response alone proves nothing. It counts as a crash
by the request when the upstream is found to be down shortly after, and the request is
blocked after `CRASHES_TO_BLOCK` crashes. Entries send each other the crashes that
they detect.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

CRASHES_TO_BLOCK = 3
# Crashes are forgotten, and a block ends, this long after the last crash.
CRASH_MAX_AGE_S = 120.0
# Longest time from a broken response to the finding that its upstream is down.
CRASH_DETECTION_S = 3.0
MAX_TRACKED_REQUESTS = 5000
_DIGEST_BYTES = 8


def request_digest(method: bytes, target: bytes, key: str, body: bytes) -> int:
    """Return a 64-bit digest, equal for equal requests with the same API key.

    ``key`` is the API key, empty if there is none.
    """
    parts = (method, target, key.encode(), body)
    digest = hashlib.blake2b(b"\0".join(parts), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big", signed=True)


@dataclass
class _CrashCount:
    crashes: int
    last_at: float


@dataclass(frozen=True)
class _BrokenResponse:
    digest: int
    broke_at: float


class CrashTracker:
    """Counts crashes by request digest.

    ``upstream`` is an `upstream_key`, which changes when the upstream restarts. Times
    are seconds of the entry's clock.
    """

    def __init__(self) -> None:
        self._broken: dict[int, list[_BrokenResponse]] = {}
        self._counts: OrderedDict[int, _CrashCount] = OrderedDict()

    def on_broken_response(self, upstream: int, digest: int, now: float) -> None:
        """Record a request; call when the upstream's response to it breaks off."""
        recent = [
            response
            for response in self._broken.get(upstream, [])
            if _is_recent(response, now)
        ]
        self._broken[upstream] = [*recent, _BrokenResponse(digest, now)]

    def on_upstream_down(self, upstream: int, now: float) -> list[int]:
        """Count a crash for each suspect; call when an upstream is found to be down.

        Returns the digests of the suspects: the requests whose responses from this
        upstream broke off within the last `CRASH_DETECTION_S` seconds.
        """
        broken = self._broken.pop(upstream, [])
        suspects = {response.digest for response in broken if _is_recent(response, now)}
        for digest in suspects:
            self.on_crash(digest, now)
        return sorted(suspects)

    def on_crash(self, digest: int, now: float) -> None:
        """Count a crash by a suspected request; call when another entry reports one."""
        known = self._counts.get(digest)
        if known is None or now - known.last_at > CRASH_MAX_AGE_S:
            known = self._counts[digest] = _CrashCount(0, now)
        known.crashes += 1
        known.last_at = now
        self._counts.move_to_end(digest)
        if len(self._counts) > MAX_TRACKED_REQUESTS:
            self._counts.popitem(last=False)

    def on_completed(self, digest: int) -> None:
        """Reset a request's crash count; call when an upstream completes it."""
        self._counts.pop(digest, None)

    def is_blocked(self, digest: int, now: float) -> bool:
        """Return whether a request must not be sent to any upstream."""
        known = self._counts.get(digest)
        if known is None or now - known.last_at > CRASH_MAX_AGE_S:
            return False
        return known.crashes >= CRASHES_TO_BLOCK


def _is_recent(response: _BrokenResponse, now: float) -> bool:
    return now - response.broke_at <= CRASH_DETECTION_S
