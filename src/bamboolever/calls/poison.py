"""Finds requests that crash the upstreams which run them.

Load pattern: one request that comes again and again, at any entry, and ends each
upstream that begins it. A broken answer alone proves nothing: the request is
blamed when its upstream is then found to be down, and blocked after it was blamed
often enough. Entries tell each other whom they blame.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

CRASHES_TO_BLOCK = 3
BLAME_LIFE_S = 120.0
# A broken answer and the finding that its upstream is down belong together.
BREAK_LIFE_S = 3.0
MAX_TRACKED = 5000
_DIGEST_BYTES = 8


def request_digest(method: bytes, target: bytes, key: str, body: bytes) -> int:
    """Return a number that names equal requests of one caller."""
    parts = (method, target, key.encode(), body)
    digest = hashlib.blake2b(b"\0".join(parts), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big", signed=True)


@dataclass
class _Blame:
    crashes: int
    last_at: float


@dataclass(frozen=True)
class _Break:
    digest: int
    at: float


class CrashTracker:
    """Broken answers by upstream, and blamed requests; times in seconds."""

    def __init__(self) -> None:
        self._breaks: dict[int, list[_Break]] = {}
        self._blamed: OrderedDict[int, _Blame] = OrderedDict()

    def on_broken_answer(self, upstream: int, digest: int, now: float) -> None:
        """An upstream's answer to a request broke."""
        recent = [
            item for item in self._breaks.get(upstream, []) if _is_recent(item, now)
        ]
        self._breaks[upstream] = [*recent, _Break(digest, now)]

    def on_upstream_down(self, upstream: int, now: float) -> list[int]:
        """An upstream was found to be down; return the requests blamed for it."""
        broken = self._breaks.pop(upstream, [])
        blamed = {item.digest for item in broken if _is_recent(item, now)}
        for digest in blamed:
            self.on_crash(digest, now)
        return sorted(blamed)

    def on_crash(self, digest: int, now: float) -> None:
        """Count a crash, by own finding or another entry's word."""
        known = self._blamed.get(digest)
        if known is None or now - known.last_at > BLAME_LIFE_S:
            known = self._blamed[digest] = _Blame(0, now)
        known.crashes += 1
        known.last_at = now
        self._blamed.move_to_end(digest)
        if len(self._blamed) > MAX_TRACKED:
            self._blamed.popitem(last=False)

    def on_completed(self, digest: int) -> None:
        """A request ran to its end: it is no longer blamed."""
        self._blamed.pop(digest, None)

    def is_blocked(self, digest: int, now: float) -> bool:
        """Tell whether a request must not be sent to another upstream."""
        known = self._blamed.get(digest)
        if known is None or now - known.last_at > BLAME_LIFE_S:
            return False
        return known.crashes >= CRASHES_TO_BLOCK


def _is_recent(item: _Break, now: float) -> bool:
    return now - item.at <= BREAK_LIFE_S
