"""What an entry knows of the limit that an upstream has named.

Takes what responses say of the limit, here and at other entries, and the permits that
this entry was granted. Decides whether a request may be sent to the upstream now, and
how many permits a second all entries may use.

Load pattern: an upstream in need names how many requests a second it takes from all
entries together. While it does, each request needs a permit. When it stops, the entries
must not all send at once: the number of permits grows until none is needed.
"""

import math
from dataclasses import dataclass
from typing import final

# A limit below this is exceeded a little: only a response can end a limit.
MIN_PERMITS_PER_S = 0.25
# After the end of a limit the number of permits doubles this often, for this long.
DOUBLING_S = 0.5
SLOW_START_S = 3.0
MIN_START_PER_S = 1.0
# A permit expires this long after the request for it was sent.
PERMIT_TTL_S = 1.0
# An unanswered request for permits is repeated after this time.
REQUEST_TTL_S = 0.6
# Permits that an entry asks for at once.
MAX_WANTED = 8
# The end of a limit is told to other entries for this long.
ENDED_REPORT_S = 10.0
# Engines of other cells: a limit that is not heard of again is forgotten.
UNCONFIRMED_S = 10.0


@dataclass(frozen=True)
class LimitStatement:
    """What a response said of its upstream's limit.

    ``per_s`` is in requests per second; None means that it named none. It was stated
    between ``sent_at``, when the request was sent, and ``received_at``, in seconds of
    the entry's clock. ``statement_id`` is the same at all entries.
    """

    statement_id: int
    per_s: float | None
    sent_at: float
    received_at: float

    def is_before(self, other: "LimitStatement") -> bool:
        """Return whether this was surely stated before ``other``."""
        return self.received_at <= other.sent_at

    def is_lower(self, other: "LimitStatement") -> bool:
        """Return whether this names a lower limit than ``other``."""
        return _or_infinite(self.per_s) < _or_infinite(other.per_s)


@final
class UpstreamLimit:
    """The limit of one upstream and this entry's permits for it.

    ``wanted`` is the number of requests that lacked a permit since the last request for
    permits. ``due_at`` is when the next permit is due, None if that is unknown;
    ``step_s`` is the time between this entry's permits. ``is_keeper_silent`` means that
    the last but one request had no answer. ``promised_at`` is when the last caller was
    told to come back. Times are seconds of the entry's clock.
    """

    def __init__(self) -> None:
        self.statement: LimitStatement | None = None
        self.wanted = 0
        self.due_at: float | None = None
        self.step_s = 0.0
        self.is_keeper_silent = False
        self._ended_at = -math.inf
        self._ended_per_s = 0.0
        self._heard_at = -math.inf
        self._permits: list[float] = []
        self._asked_at = -math.inf
        self._request_number = 0
        self._is_answered = True
        self.promised_at = -math.inf

    @property
    def per_s(self) -> float | None:
        """The limit in requests per second, None if none is named."""
        return None if self.statement is None else self.statement.per_s

    # What responses say.

    def learn(self, new: LimitStatement, now: float) -> bool:
        """Take a statement unless a later one is known; return whether that changes it.

        Of two that may have been made in either order, the lower one holds: the next
        response settles it.
        """
        known = self.statement
        if known is not None and new.statement_id == known.statement_id:
            self._heard_at = now
            return False
        if known is not None and not _replaces(new, known):
            return False
        former_per_s = self.per_s
        self.statement = new
        self._heard_at = now
        if new.per_s is None and former_per_s is not None:
            self._ended_at = now
            self._ended_per_s = max(MIN_START_PER_S, former_per_s)
        return new.per_s != former_per_s

    def forget_unconfirmed(self, now: float) -> bool:
        """Forget a limit that was not heard of for a while; return whether it was."""
        if self.per_s is None or now - self._heard_at < UNCONFIRMED_S:
            return False
        self.statement = None
        return True

    def is_reported(self, now: float) -> bool:
        """Return whether other entries have to be told of the statement."""
        return self.per_s is not None or now - self._ended_at < ENDED_REPORT_S

    def permits_per_s(self, now: float) -> float | None:
        """Return how many permits a second there are for all entries.

        Returns None if requests need no permit.
        """
        if self.per_s is not None:
            return max(self.per_s, MIN_PERMITS_PER_S)
        elapsed_s = now - self._ended_at
        if elapsed_s >= SLOW_START_S:
            return None
        return self._ended_per_s * 2.0 ** (elapsed_s / DOUBLING_S)

    def is_limited(self, now: float) -> bool:
        """Return whether each request to the upstream needs a permit."""
        return self.per_s is not None or now - self._ended_at < SLOW_START_S

    # Permits.

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent to the upstream now."""
        return not self.is_limited(now) or self._has_permit(now)

    def take_permit(self, now: float) -> bool:
        """Use up a permit if requests need one; call when a request is placed.

        Returns whether one was used.
        """
        if not self.is_limited(now) or not self._has_permit(now):
            return False
        self._permits.pop(0)
        return True

    def _has_permit(self, now: float) -> bool:
        while self._permits and self._permits[0] <= now:
            self._permits.pop(0)
        return bool(self._permits)

    def want_permit(self) -> None:
        """Note that a request lacks a permit."""
        self.wanted = min(MAX_WANTED, self.wanted + 1)

    def begin_request(self, number: int, now: float) -> int:
        """Begin a request for permits; return for how many.

        Returns 0 if none are wanted, or while another request is open.
        """
        if not self.wanted or now - self._asked_at < REQUEST_TTL_S:
            return 0
        wanted, self.wanted = self.wanted, 0
        self._asked_at = now
        self._request_number = number
        self.is_keeper_silent = not self._is_answered
        self._is_answered = False
        return wanted

    def on_granted(
        self, number: int, count: int, due_s: float, step_s: float, now: float
    ) -> bool:
        """Take what was granted for a request; return whether permits were added.

        Without any, the next one is due in ``due_s``. The answer to another request
        than the last one is ignored, as its permits may have expired.
        """
        if number != self._request_number:
            return False
        self._is_answered = True
        self.step_s = step_s
        self.due_at = now + due_s
        if not count:
            return False
        self._permits += [self._asked_at + PERMIT_TTL_S] * count
        self._asked_at = -math.inf
        return self._has_permit(now)

    # Times for callers.

    def may_be_due_by(self, time: float, now: float) -> bool:
        """Return whether a permit may come until ``time``."""
        if self.due_at is None or now >= self.due_at:
            return True
        return self.due_at <= time

    def next_permit_at(self, now: float) -> float:
        """Return when the next permit is due that is promised to no caller."""
        return max(now, self.due_at or now, self.promised_at + self.step_s)

    def promise_permit(self, now: float) -> None:
        """Promise the next permit to a caller that is to come back then."""
        self.promised_at = self.next_permit_at(now)


def _replaces(new: LimitStatement, known: LimitStatement) -> bool:
    if known.is_before(new):
        return True
    return not new.is_before(known) and new.is_lower(known)


def _or_infinite(per_s: float | None) -> float:
    return math.inf if per_s is None else per_s
