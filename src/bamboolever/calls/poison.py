"""Detects poison requests: requests that crash the upstreams which run them.

Takes broken responses, the ends of upstreams, responses, and the crashes and
completions that other entries report. Decides which requests are blocked.

Load pattern: one request that is sent again and again, to any entry, and crashes each
upstream that begins it. A broken response alone proves nothing. It makes its request a
suspect until there is evidence of what became of the upstream, whenever that comes: if
the upstream has ended, the suspect has crashed it; if it responds to a later request,
it lives. A request is blocked after crashes of `CRASHES_TO_BLOCK` upstreams.

A crash is a fact with a name: the request and the `upstream_key`, which changes when
the upstream restarts. Reports of other entries are merged by it, in any order and any
number of times.

A request that shares an upstream with a poison request is a suspect too. Once an
upstream completes an equal request, all crashes by requests sent before that are void.
A bystander is blocked only if it was in flight at three crashes and no equal request
was completed since the first of these was sent; its caller is then refused until the
block ends.

A part of a prompt can be at fault too, see `calls.parts`: it has a tracker of its own.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import Any, final

CRASHES_TO_BLOCK = 3
# Stands for how long a caller goes on repeating a request, which no process knows: a
# block ends, and crashes are forgotten, this long after the last one.
CRASH_MAX_AGE_S = 120.0
MAX_TRACKED_REQUESTS = 5000
MAX_CRASHES_PER_REQUEST = 8
MAX_TRACKED_UPSTREAMS = 1000
MAX_SUSPECTS_PER_UPSTREAM = 256
_DIGEST_BYTES = 8


def request_digest(method: bytes, target: bytes, key: str, body: bytes) -> int:
    """Return a 64-bit digest, equal for equal requests with the same API key.

    ``key`` is the API key, empty if there is none.
    """
    parts = (method, target, key.encode(), body)
    digest = hashlib.blake2b(b"\0".join(parts), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big", signed=True)


@dataclass(frozen=True)
class Crash:
    """A crash of one upstream by one request, or by requests with one part.

    ``digest`` names the request or the part, ``upstream`` is an `upstream_key`.
    ``sent_at`` is when the request was sent to it, in seconds of the entry's clock.
    ``tried_parts`` is how many suspected parts the request was a trial of; 0 if it was
    no trial.
    """

    digest: int
    upstream: int
    sent_at: float
    tried_parts: int = 0

    def merge(self, other: "Crash") -> "Crash":
        """Return what two reports of the same crash say together.

        The earlier time counts: a report that was delayed makes the crash look newer.
        A trial of fewer parts says more than one of many.
        """
        trials = [each.tried_parts for each in (self, other) if each.tried_parts]
        return replace(
            self,
            sent_at=min(self.sent_at, other.sent_at),
            tried_parts=min(trials, default=0),
        )


@dataclass(frozen=True)
class _Suspect:
    crash: Crash
    broke_at: float


@final
class CrashTracker:
    """The suspects of each upstream, and the crashes by each request or part.

    ``upstream`` is an `upstream_key`, and a digest names a request or a part. Crashes
    are forgotten ``max_age_s`` after the last one. Times are seconds of the entry's
    clock.
    """

    def __init__(self, max_age_s: float = CRASH_MAX_AGE_S) -> None:
        self._max_age_s = max_age_s
        self._suspects: OrderedDict[int, dict[int, _Suspect]] = OrderedDict()
        self._ended_at: OrderedDict[int, float] = OrderedDict()
        self._crashes: OrderedDict[int, dict[int, Crash]] = OrderedDict()
        self._completed_at: OrderedDict[int, float] = OrderedDict()

    # What this entry sees.

    def on_broken_response(
        self,
        upstream: int,
        digest: int,
        sent_at: float,
        now: float,
        *,
        tried_parts: int = 0,
    ) -> list[int]:
        """Record a request whose response the upstream broke off.

        Returns the requests with a new crash: this one, if the upstream has ended.
        """
        crash = Crash(digest, upstream, sent_at, tried_parts)
        if upstream in self._ended_at:
            return [digest] if self.add_crash(crash, now) else []
        suspects = self._suspects.setdefault(upstream, {})
        known = suspects.get(digest)
        if known is not None:
            crash = crash.merge(known.crash)
        if known is not None or len(suspects) < MAX_SUSPECTS_PER_UPSTREAM:
            suspects[digest] = _Suspect(crash, now)
        _limit(self._suspects, MAX_TRACKED_UPSTREAMS)
        return []

    def on_upstream_ended(self, upstream: int, now: float) -> list[int]:
        """Count a crash for each suspect of an upstream that is known to have ended.

        Returns the requests with a new crash.
        """
        self._ended_at.setdefault(upstream, now)
        _limit(self._ended_at, MAX_TRACKED_UPSTREAMS)
        suspects = self._suspects.pop(upstream, {})
        return [
            digest
            for digest, suspect in suspects.items()
            if self.add_crash(suspect.crash, now)
        ]

    def on_upstream_left(self, upstream: int) -> None:
        """Clear the suspects of an upstream that has ended as it had announced."""
        self._suspects.pop(upstream, None)

    def on_response(self, upstream: int, sent_at: float) -> None:
        """Clear the suspects that the upstream has outlived.

        It has responded to a request that was sent at ``sent_at``. If that is later
        than its supposed end, it has not ended.
        """
        ended_at = self._ended_at.get(upstream)
        if ended_at is not None and ended_at < sent_at:
            del self._ended_at[upstream]
        suspects = self._suspects.get(upstream)
        if suspects is None:
            return
        for digest, suspect in list(suspects.items()):
            if suspect.broke_at < sent_at:
                del suspects[digest]
        if not suspects:
            del self._suspects[upstream]

    # Facts, which other entries report too.

    def add_crash(self, crash: Crash, now: float) -> bool:
        """Add a crash; return whether it is new, not too old and not void."""
        if self._is_void(crash):
            # An earlier report of it was delayed, and looked newer than it was.
            self._remove_crash(crash)
            return False
        if now - crash.sent_at > self._max_age_s:
            return False
        crashes = self._crashes.setdefault(crash.digest, {})
        known = crashes.get(crash.upstream)
        if known is not None:
            crashes[crash.upstream] = known.merge(crash)
            return False
        crashes[crash.upstream] = crash
        if len(crashes) > MAX_CRASHES_PER_REQUEST:
            del crashes[min(crashes.values(), key=_trial_and_time).upstream]
        self._crashes.move_to_end(crash.digest)
        self._limit_crashes()
        return True

    def _limit_crashes(self) -> None:
        # Whoever is in flight during one crash can add many digests: those with more
        # crashes are kept.
        if len(self._crashes) <= MAX_TRACKED_REQUESTS:
            return
        oldest = next(iter(self._crashes))
        single = (key for key, crashes in self._crashes.items() if len(crashes) == 1)
        del self._crashes[next(single, oldest)]

    def _remove_crash(self, crash: Crash) -> None:
        crashes = self._crashes.get(crash.digest, {})
        crashes.pop(crash.upstream, None)
        if not crashes:
            self._crashes.pop(crash.digest, None)

    def add_completion(self, digest: int, at: float) -> bool:
        """Void the crashes by a request that an upstream completed at ``at``.

        Returns whether any was void.
        """
        self._completed_at[digest] = max(at, self._completed_at.get(digest, at))
        self._completed_at.move_to_end(digest)
        _limit(self._completed_at, MAX_TRACKED_REQUESTS)
        crashes = self._crashes.get(digest)
        if crashes is None:
            return False
        left = {
            upstream: crash
            for upstream, crash in crashes.items()
            if not self._is_void(crash)
        }
        if left:
            self._crashes[digest] = left
        else:
            del self._crashes[digest]
        return len(left) < len(crashes)

    def has_ended(self, upstream: int) -> bool:
        """Return whether the upstream is known to have ended."""
        return upstream in self._ended_at

    def completed_at(self, digest: int) -> float | None:
        """Return when an upstream last completed a request, if that is known."""
        return self._completed_at.get(digest)

    def repeated(self) -> list[int]:
        """Return the digests with more than one crash."""
        return [digest for digest, each in self._crashes.items() if len(each) > 1]

    def crashes_by(self, digest: int) -> list[Crash]:
        """Return the known crashes by a request."""
        return list(self._crashes.get(digest, {}).values())

    def near_block(self, now: float) -> list[int]:
        """Return the requests that are blocked or would be after one more crash.

        Forgets the requests whose last crash is too old.
        """
        for digest, crashes in list(self._crashes.items()):
            if self._is_too_old(crashes, now):
                del self._crashes[digest]
        return [
            digest
            for digest, crashes in self._crashes.items()
            if len(crashes) >= CRASHES_TO_BLOCK - 1
        ]

    def is_blocked(self, digest: int, now: float) -> bool:
        """Return whether a request must not be sent to any upstream."""
        return self._count_crashes(digest, now) >= CRASHES_TO_BLOCK

    def may_retry(self, digest: int, now: float) -> bool:
        """Return whether a request may be retried whose response broke off just now.

        Whether that was a crash is not known yet. It counts as one here.
        """
        return self._count_crashes(digest, now) < CRASHES_TO_BLOCK - 1

    def _count_crashes(self, digest: int, now: float) -> int:
        crashes = self._crashes.get(digest, {})
        return 0 if not crashes or self._is_too_old(crashes, now) else len(crashes)

    def _is_void(self, crash: Crash) -> bool:
        completed_at = self._completed_at.get(crash.digest)
        return completed_at is not None and crash.sent_at <= completed_at

    def _is_too_old(self, crashes: dict[int, Crash], now: float) -> bool:
        newest = max(crashes.values(), key=_sent_at)
        return now - newest.sent_at > self._max_age_s


def _sent_at(crash: Crash) -> float:
    return crash.sent_at


def _trial_and_time(crash: Crash) -> tuple[bool, float]:
    return crash.tried_parts > 0, crash.sent_at


def _limit(table: OrderedDict[Any, Any], size: int) -> None:
    while len(table) > size:
        table.popitem(last=False)
