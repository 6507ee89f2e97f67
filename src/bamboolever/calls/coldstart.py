"""Bounds the requests that this entry sends to an upstream that has just started.

Takes what the list of upstreams and the agents say of starts, what responses and failed
connections show, and how many entries may send to the upstream. Decides whether the
upstream counts as cold, and whether this entry may send it a request now.

Load pattern: an upstream, or all of a zone at once, that is back under full demand. It
crashes if all entries together send it much more than a stated rate while it is cold.
Each entry has a token bucket of its own for each cold upstream, so that the bound holds
without messages, and for an entry that is cut off from the others.
"""

import copy
import math
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import final

from bamboolever.fleet.records import UpstreamRecord

# Number of entries that an entry assumes if it knows no other one. It gives the same
# share as that of permits (LONE_SHARE).
LONE_ENTRIES = 5.0
# How long the highest known number of entries is used after the number has fallen:
# entries that are cut off from this one may still send.
ENTRY_MEMORY_S = 120.0
# Requests that are sent within this time may arrive within one second, as network
# delays differ.
WINDOW_S = 1.1
# Share of the bound that is divided among the entries. The rest is a margin for entries
# that have just started and assume fewer entries, so that their own rate is higher.
PLANNED_SHARE = 0.85
# With more entries than planned requests in a second, a hash selects the entries that
# send. Selecting only this share of the planned requests allows for an uneven hash.
SELECTED_SHARE = 0.7
# An upstream may have restarted if for longer than this nothing was heard from it and
# the list of upstreams was not confirmed as current. Agents report each second;
# upstreams rewrite their records within 2.2 s (see fleet/storetimes.py).
SILENCE_S = 4.0
# The process was suspended if none of its timers fired for longer than this; one is due
# every 0.5 s. An upstream takes longer than this to stop and start.
SUSPENSION_S = 1.5
# Absorbs the rounding of levels computed from times.
ROUNDING = 1e-9
ROUNDING_S = 1e-6
SEED_BITS = 32


class ColdCause(Enum):
    """Why an upstream counts as cold; the value is a label of logs and metrics."""

    LISTED = "listed"
    STARTED = "started"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    SUSPENDED = "suspended"


@dataclass(frozen=True)
class ColdStartBound:
    """What a cold upstream of a service tolerates from all entries together.

    It is cold for ``cold_s`` seconds after a start, and tolerates ``per_s`` requests
    per second. In any second it may get ``per_s`` times ``overage`` plus ``slack``.
    """

    cold_s: float
    per_s: float
    overage: float = 1.0
    slack: float = 0.0

    @property
    def allowed(self) -> float:
        """The most requests in any second."""
        return self.per_s * self.overage + self.slack

    def entry_rate(self, entries: float, position: float) -> float:
        """Return the requests per second of one of ``entries`` entries; 0 for none.

        ``position``, from 0 to 1, differs between entries. With more entries than
        requests in a second, those with the lowest positions send.
        """
        planned = PLANNED_SHARE * self.allowed
        quota = math.floor(planned / entries)
        if quota < 1:
            selected = SELECTED_SHARE * planned
            if position * entries >= selected:
                return 0.0
            quota, entries = 1, max(1.0, selected)
        # A bucket of one token passes at most 1 + rate x window in a window.
        return min(self.per_s / entries, (1 - ROUNDING) * quota / WINDOW_S)


@dataclass(frozen=True)
class ColdPeriod:
    """The start of a cold period, for the log; ``seconds`` is None if unknown."""

    upstream: str
    cause: ColdCause
    seconds: float | None


@dataclass
class ColdStartScope:
    """What the cold states of one entry's upstreams share.

    ``cells`` is the number of cells that share plain services. ``list_current_at`` is
    the latest time at which the list of upstreams was known to be the newest.
    ``begun`` are the cold periods that began since they were last taken. Times are
    seconds of the entry's clock.
    """

    cells: int = 1
    list_current_at: float = -math.inf
    begun: list[ColdPeriod] = field(default_factory=list)
    _entries: int = 1
    _most_entries: int = 1
    _most_at: float = -math.inf
    _awake_at: float | None = None

    def note_entries(self, count: int, now: float) -> None:
        """Record how many entries of the cell are known, with this one."""
        self._entries = count
        if count >= self._most_entries or now - self._most_at > ENTRY_MEMORY_S:
            self._most_entries, self._most_at = count, now

    def note_awake(self, now: float) -> bool:
        """Return whether the process was suspended since the last call."""
        awake_at, self._awake_at = self._awake_at, now
        return awake_at is not None and now - awake_at > SUSPENSION_S

    def note_list_current(self, as_of: float) -> None:
        """Record that the list of upstreams was the newest at ``as_of``."""
        self.list_current_at = max(self.list_current_at, as_of)

    def count_entries(self, *, is_in_cell: bool) -> float:
        """Return how many entries may send to an upstream, as far as this one knows."""
        count = float(max(self._entries, self._most_entries))
        if count <= 1:
            count = LONE_ENTRIES
        return count if is_in_cell else count * self.cells

    def take_begun(self) -> list[ColdPeriod]:
        """Return the cold periods that began since the last call."""
        begun, self.begun = self.begun, []
        return begun


@final
class ColdStart:
    """Whether one upstream is cold, and this entry's token bucket for it.

    Without a bound it is never cold. Until the first response after an assumed start it
    stays cold. Times are seconds of the entry's clock.
    """

    def __init__(self) -> None:
        self.bound: ColdStartBound | None = None
        self._scope = ColdStartScope()
        self._name = ""
        self._is_in_cell = True
        self._phase = 0.0
        self._position = 0.0
        self._until = -math.inf
        self._assumed_at = -math.inf
        self._heard_at = -math.inf
        self._is_used = False
        self._started_ms: int | None = None
        self._stated: tuple[int | None, int | None, float] | None = None
        self._level = 0.0
        self._refilled_at = 0.0
        self._promised_at = -math.inf

    def configure(
        self,
        bound: ColdStartBound | None,
        scope: ColdStartScope,
        *,
        name: str,
        seed: int,
        is_in_cell: bool,
    ) -> None:
        """Set the bound of the upstream ``name``, and what it shares with others.

        ``seed``, of 64 bits, differs between entries. ``is_in_cell`` is set if only the
        entries of one cell send to the upstream.
        """
        self.bound = bound
        self._scope = scope
        self._name = name
        self._is_in_cell = is_in_cell
        self._phase = (seed >> SEED_BITS) / 2**SEED_BITS
        self._position = (seed % 2**SEED_BITS) / 2**SEED_BITS

    def snapshot(self) -> "ColdStart":
        """Return a copy; what happens to it changes neither this nor the scope."""
        copied = copy.copy(self)
        copied._scope = replace(self._scope, begun=list(self._scope.begun))
        return copied

    # Observations of starts.

    def on_record(self, record: UpstreamRecord, now: float) -> None:
        """Take a record of the list; one that is known already changes nothing.

        The time that it states counts from now: it may have been written earlier.
        """
        stated = (record.started_ms, record.heartbeat, record.cold_remaining_s)
        if stated == self._stated:
            return
        is_first, self._stated = self._stated is None, stated
        self._heard_at = now
        is_new_start = not is_first and self._takes_start(record.started_ms)
        if is_first:
            self._takes_start(record.started_ms)
        remaining_s = record.cold_remaining_s
        if is_new_start:
            remaining_s = remaining_s or self._cold_s
            self._begin(now + remaining_s, ColdCause.STARTED, now, is_known=True)
        elif remaining_s > 0:
            self._begin(now + remaining_s, ColdCause.LISTED, now)

    def on_agent_state(
        self, started_ms: int, now: float, *, is_down: bool, is_home: bool
    ) -> None:
        """Take what the upstream's agent says of its process.

        ``started_ms`` is the Unix time of its last known start, 0 if unknown.
        """
        if is_down:
            self.assume(ColdCause.UNREACHABLE, now)
        elif started_ms and self._started_ms and self._takes_start(started_ms):
            until = now + self._cold_s
            self._begin(until, ColdCause.STARTED, now, is_known=True)
        else:
            self.on_heard(now, is_home=is_home)

    def on_heard(self, now: float, *, is_home: bool) -> None:
        """Record news of the upstream: of another process, or the end of a response.

        This entry sends nothing to a cold engine of another cell, so that such news
        take the place of the first response.
        """
        self._heard_at = now
        if self._until == math.inf and not is_home:
            self._until = now + self._cold_s

    def assume(self, cause: ColdCause, now: float) -> None:
        """Assume that the upstream has started again, or will have when it responds."""
        if self.bound is None:
            return
        self._begin(math.inf, cause, now)
        self._assumed_at = now
        self._is_used = False

    def on_response(self, sent_at: float, now: float) -> None:
        """Take a response to a request that was sent at ``sent_at``."""
        self._heard_at = now
        if self._until == math.inf and sent_at >= self._assumed_at:
            self._until = now + self._cold_s

    @property
    def _cold_s(self) -> float:
        return 0.0 if self.bound is None else self.bound.cold_s

    def _takes_start(self, started_ms: int | None) -> bool:
        """Record a start; return whether it is later than the known one."""
        known = self._started_ms
        if started_ms is None or (known is not None and started_ms <= known):
            return False
        self._started_ms = started_ms
        return True

    def _begin(
        self, until: float, cause: ColdCause, now: float, *, is_known: bool = False
    ) -> None:
        """Begin or extend a cold period; ``is_known`` ends an assumption."""
        if now >= self._until:
            # Spreads the first tokens of the entries over one token interval.
            self._level = self._phase
            self._refilled_at = now
            if self.bound is not None:
                seconds = until - now if until < math.inf else None
                self._scope.begun.append(ColdPeriod(self._name, cause, seconds))
        if is_known and self._until == math.inf:
            self._until = until
        self._until = max(self._until, until)

    # Requests.

    def is_cold(self, now: float) -> bool:
        """Return whether requests to the upstream need a token."""
        if self.bound is None:
            return False
        heard_at = max(self._heard_at, self._scope.list_current_at)
        if self._is_used and now >= self._until and now - heard_at > SILENCE_S:
            self.assume(ColdCause.SILENT, now)
        return now < self._until

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent to the upstream now."""
        if not self.is_cold(now):
            return True
        self._refill(now)
        return self._level >= 1.0 - ROUNDING

    def take_token(self, now: float) -> bool:
        """Use up a token if the upstream is cold; call when a request is placed.

        Returns whether one was used.
        """
        if self.bound is None:
            return False
        is_cold = self.is_cold(now)
        if not self._is_used:
            self._is_used = True
            self._heard_at = max(self._heard_at, now)
        if not is_cold:
            return False
        self._refill(now)
        self._level = max(0.0, self._level - 1.0)
        return True

    def next_token_at(self, now: float) -> float:
        """Return when a request may be sent; infinite if this entry sends none."""
        if self.may_send(now):
            return now
        rate = self._rate()
        if not rate:
            return self._until
        token_at = now + (1.0 - self._level) / rate + ROUNDING_S
        return min(self._until, token_at)

    def next_promise_at(self, now: float) -> float:
        """Return when the next token is due that is promised to no caller."""
        step_s = 1.0 / self._rate() if self._rate() else 0.0
        return max(
            self.next_token_at(now), min(self._until, self._promised_at + step_s)
        )

    def promise_token(self, now: float) -> float:
        """Promise the next token to a caller, and return when it is due."""
        self._promised_at = self.next_promise_at(now)
        return self._promised_at

    def _rate(self) -> float:
        if self.bound is None:
            return 0.0
        entries = self._scope.count_entries(is_in_cell=self._is_in_cell)
        return self.bound.entry_rate(entries, self._position)

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._refilled_at) * self._rate()
        self._level = min(1.0, self._level + gained)
        self._refilled_at = now
