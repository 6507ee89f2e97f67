"""The calls of one watch that are in flight at the store.

Takes when calls are sent, what has arrived of their responses and which were answered.
Decides when a call is overdue, whether a further one may be sent beside it, and which
one makes room.

Load pattern: a store that is slow, and one that is silent for a while, look the same
until it responds. A call that may still be answered is therefore kept; a further one
goes beside it on another connection, and the first useful response wins.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboolever._task import IoTask
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.exchange import ExchangeFailure, FailureKind
from bamboolever.net.fetch import Fetch, FetchResult, Response
from bamboolever.net.messages import Request
from bamboolever.net.responsetimes import ResponseTimes
from bamboolever.platform.store import StoredDocument

# With a further call after each 1 to 2 s, a response may take 4 s before its call makes
# room for another.
MAX_CALLS = 3
# A watch call is overdue after its wait at the store and this, if the store does not
# take longer as a rule. Stands for the way there and back, and a packet sent again.
RESPONSE_MARGIN_S = 1.5
# The same for a call that does not wait. It grows while there is no response, as the
# store may be slow rather than silent.
MIN_PROBE_OVERDUE_S = 1.0
MAX_PROBE_OVERDUE_S = 2.0
PROBE_OVERDUE_GROWTH = 1.5
# When the store responds to another watch, a call that has waited for longer than this,
# and than responses take, may have been lost.
HUNG_CALL_S = 0.5
# Limit for the connection to the store. A packet of the handshake that is lost on a
# full link is sent again after 1 s.
CONNECT_TIMEOUT_S = 2.5
TIMER_TOLERANCE_S = 0.001


@dataclass
class ListingProgress:
    """The pages of a listing that have arrived, and where the next one starts.

    ``revision`` and ``sent_at`` are those of the first page: what changed since, the
    watch that follows returns.
    """

    is_stale_ok: bool = False
    after: str = ""
    documents: list[StoredDocument] = field(default_factory=list)
    size_bytes: int = 0
    revision: int | None = None
    sent_at: float = 0.0


@dataclass(eq=False)
class StoreCall:
    """One call: a page of ``listing``, or with None a watch from ``revision``.

    ``wait_s`` is how long the store may hold it. It is overdue when nothing of its
    response arrived for longer than the store usually takes.
    """

    sent_at: float
    listing: ListingProgress | None = None
    after: str = ""
    revision: int = 0
    wait_s: float = 0.0
    is_shared: bool = False
    is_overdue: bool = False
    fetch: Fetch | None = None

    def as_of(self, received_at: float, *, has_changes: bool) -> float:
        """Return when what a response to this watch tells was surely the newest."""
        # A response with changes, or before the end of the wait, may have been made at
        # any time after the request was sent, so the time of the request counts.
        if has_changes or received_at - self.sent_at < self.wait_s:
            return self.sent_at
        # A response without changes was made at the end of the wait.
        return self.sent_at + self.wait_s

    def is_cut_off(self, failure: ExchangeFailure) -> bool:
        """Return whether the store may have ended the wait, which is no outage.

        It closed the connection of a call that waits for changes, and had sent nothing.
        """
        if self.listing is not None or not self.wait_s:
            return False
        is_closed = failure.kind in (FailureKind.CLOSED, FailureKind.RESET)
        return is_closed and (self.fetch is None or not self.fetch.has_head)

    @property
    def progressed_at(self) -> float:
        """When something of the response arrived last, or the call was sent."""
        return self.sent_at if self.fetch is None else self.fetch.progressed_at

    def silent_s(self, now: float) -> float:
        """Return for how long the call is silent, its wait at the store left out."""
        return now - max(self.sent_at + self.wait_s, self.progressed_at)


class StoreCalls:
    """Sends the calls of one watch and keeps those in flight, oldest first.

    ``on_result`` receives each call with its response or failure, ``on_overdue`` why
    the last call that was not overdue has become so. ``response_times`` are those of
    the store.
    """

    def __init__(
        self,
        task: IoTask,
        pool: ConnectionPool,
        store_address: Callable[[], Address],
        response_times: ResponseTimes,
        on_result: Callable[[StoreCall, FetchResult], None],
        on_overdue: Callable[[str], None],
    ):
        self._task = task
        self._pool = pool
        self._store_address = store_address
        self._response_times = response_times
        self._on_result = on_result
        self._on_overdue = on_overdue
        self._calls: list[StoreCall] = []
        self._probe_overdue_s = MIN_PROBE_OVERDUE_S
        self._sent_at = -math.inf

    @property
    def is_any(self) -> bool:
        """Whether a call is in flight."""
        return bool(self._calls)

    @property
    def has_current(self) -> bool:
        """Whether a call is in flight that is not overdue."""
        return any(not call.is_overdue for call in self._calls)

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a response to a shared call has arrived."""
        return any(
            call.is_shared and call.fetch is not None and call.fetch.received_bytes > 0
            for call in self._calls
            if not call.is_overdue
        )

    @property
    def is_arriving(self) -> bool:
        """Whether a part of a response has just arrived."""
        now = self._task.now()
        return any(
            call.fetch is not None
            and call.fetch.received_bytes > 0
            and now - call.progressed_at < HUNG_CALL_S
            for call in self._calls
        )

    @property
    def are_silent(self) -> bool:
        """Whether no call was sent, or brought bytes, within the last `hung_s`."""
        now = self._task.now()
        return all(now - call.progressed_at >= self.hung_s for call in self._calls)

    @property
    def hung_s(self) -> float:
        """Seconds of silence after which a call or its response may be lost."""
        return max(HUNG_CALL_S, self._response_times.longest_s)

    @property
    def sent_at(self) -> float:
        """When the last call was sent; minus infinity before the first."""
        return self._sent_at

    def send(self, call: StoreCall, request: Request, max_bytes: int) -> None:
        """Send a call, or report one as overdue while all in flight bring bytes.

        At most `MAX_CALLS` are in flight; one that stalls makes room.
        """
        if not self._make_room():
            self._on_overdue("responses are still arriving")
            return
        self._sent_at = call.sent_at
        self._calls.append(call)
        call.fetch = Fetch.start(
            self._pool,
            self._store_address(),
            request,
            lambda result: self._take(call, result),
            timeout_s=None,
            max_bytes=max_bytes,
        )
        self._check_later(call, self._overdue_s(call))

    def on_answered(self, answered: StoreCall) -> None:
        """Cancel overdue calls older than one that was answered, unless they progress.

        Their responses could tell nothing that this one does not.
        """
        self._probe_overdue_s = MIN_PROBE_OVERDUE_S
        for call in list(self._calls):
            is_older = call.sent_at <= answered.sent_at
            if is_older and call.is_overdue and self._stalls(call):
                self._drop(call)

    def doubt(self) -> None:
        """Make the calls overdue that may have been lost.

        Called when the store responded to another watch. Those of which something
        arrives, or which have not waited for as long as responses take, are left.
        """
        now = self._task.now()
        for call in self._calls:
            if now - call.progressed_at >= self.hung_s:
                call.is_overdue = True

    def drop_waiting_before(self, revision: int) -> int:
        """Cancel the calls that wait for changes up to ``revision``; return how many.

        The changes are known, so their responses were lost or can tell nothing new.
        Those that have begun to arrive are left.
        """
        outdated = [
            call
            for call in self._calls
            if call.listing is None
            and call.revision < revision
            and (call.fetch is None or not call.fetch.has_head)
        ]
        for call in outdated:
            self._drop(call)
        return len(outdated)

    def cancel_all(self) -> None:
        """Give all calls up."""
        for call in list(self._calls):
            self._drop(call)

    def _take(self, call: StoreCall, result: FetchResult) -> None:
        self._calls.remove(call)
        if isinstance(result, Response):
            time_s = result.head_at - result.sent_at
            if time_s >= call.wait_s:
                self._response_times.record(time_s - call.wait_s)
        self._on_result(call, result)

    def _make_room(self) -> bool:
        if len(self._calls) < MAX_CALLS:
            return True
        for call in self._calls:
            if call.is_overdue and self._stalls(call):
                self._drop(call)
                return True
        return False

    def _stalls(self, call: StoreCall) -> bool:
        return call.silent_s(self._task.now()) >= self._response_times.overdue_s

    def _drop(self, call: StoreCall) -> None:
        self._calls.remove(call)
        if call.fetch is not None:
            call.fetch.cancel()

    def _overdue_s(self, call: StoreCall) -> float:
        usual_s = self._response_times.overdue_s
        if call.wait_s:
            return max(RESPONSE_MARGIN_S, usual_s)
        overdue_s = self._probe_overdue_s
        self._probe_overdue_s = min(
            MAX_PROBE_OVERDUE_S, overdue_s * PROBE_OVERDUE_GROWTH
        )
        return max(overdue_s, usual_s)

    def _check_later(self, call: StoreCall, limit_s: float) -> None:
        def check() -> None:
            if call.is_overdue or call not in self._calls:
                return
            silent_s = call.silent_s(self._task.now())
            if silent_s < limit_s - TIMER_TOLERANCE_S:
                self._check_later(call, self._response_times.overdue_s)
                return
            call.is_overdue = True
            if not self.has_current:
                self._on_overdue(f"no response for {silent_s:.1f} s")

        delay_s = limit_s - call.silent_s(self._task.now())
        self._task.call_later(max(TIMER_TOLERANCE_S, delay_s), check)
