"""Runs the calls that entries send to an agent at the agent's upstream.

The relay takes calls and cancellations from the entries' connections. It runs each
call or refuses it:

- At capacity, calls are refused, so that the entry tries another upstream.
- A dispatch key that was seen before is refused, as the earlier dispatch may have run.
- A suspect, a request that may have crashed an upstream, runs only while nothing else
  runs. If the upstream dies then, the suspect is the cause.

Calls run on executor threads. Each ends with exactly one outcome: not run, ran or
unknown. It is "not run" only if it was refused, was cancelled before its start, or
the upstream could not be reached.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass, field
from typing import final

from bamboolever._connection import FrameConnection
from bamboolever._protocol.ttypes import (
    CallEnd,
    CallHead,
    CallPiece,
    CallStart,
    Outcome,
    UpstreamDeath,
)
from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry
from bamboolever._upstream import (
    ResponseHead,
    ResponseSink,
    Upstream,
    UpstreamBroken,
    UpstreamCall,
    UpstreamError,
    UpstreamUnreachable,
)

logger = logging.getLogger(__name__)

MAX_SEEN_DISPATCH_KEYS = 20_000
#: How long other calls are refused after a suspect had to wait, so that the upstream
#: becomes idle for it.
SUSPECT_HOLD_S = 1.0

# Reasons of an agent's refusal. They label the counter "refusals".
REFUSED_LEAVING = "leaving"
REFUSED_SWAPPING = "swapping"
REFUSED_BUSY = "upstream-busy"
REFUSED_VERSION = "version-not-served"
REFUSED_REPEAT = "repeated-dispatch"
REFUSED_SUSPECT_WAITS = "suspect-waits"
REFUSED_SUSPECT_RUNNING = "suspect-running"
REFUSED_UNREACHABLE = "upstream-unreachable"


@dataclass
class RunningCall:
    """One call that runs at the upstream or waits for an executor thread.

    ``connection`` is the entry's, and ``call_id`` is unique on it. ``abort`` closes the
    connection to the upstream; it is None until that is open.
    """

    call_id: int
    connection: FrameConnection
    trace_id: str = ""
    dispatch_key: str = ""
    body_digest: str = ""
    is_suspect: bool = False
    # Whether a reported death of the upstream already includes this call.
    is_death_reported: bool = False
    is_cancelled: bool = False
    abort: Callable[[], None] | None = field(default=None, repr=False)


@final
class CallRelay:
    """Runs calls at an agent's upstream and reports their ends.

    All methods run on the agent's task; calls block threads of ``executor``.
    ``capacity`` is the number of calls that may run at once. ``on_upstream_lost`` is
    called when a call finds the upstream unreachable or broken, ``on_upstream_death``
    once per death with the requests that ran, and ``on_finished`` after each call.
    """

    def __init__(
        self,
        task: IoTask,
        executor: Executor,
        upstream: Upstream,
        telemetry: Telemetry,
        *,
        capacity: int,
        on_upstream_lost: Callable[[], None],
        on_finished: Callable[[], None],
        on_upstream_death: Callable[[UpstreamDeath], None],
    ):
        self._task = task
        self._executor = executor
        self._upstream = upstream
        self._telemetry = telemetry
        self._capacity = capacity
        self._on_upstream_lost = on_upstream_lost
        self._on_finished = on_finished
        self._on_upstream_death = on_upstream_death
        self._suspect_hold_until = float("-inf")
        self._running: dict[tuple[FrameConnection, int], RunningCall] = {}
        self._seen_dispatch_keys: OrderedDict[str, None] = OrderedDict()

    @property
    def in_flight(self) -> int:
        """Number of calls that run at the upstream, of all entries."""
        return len(self._running)

    def start_call(
        self, connection: FrameConnection, start: CallStart, refusal: str | None
    ) -> None:
        """Run a call of an entry, or refuse it.

        ``refusal`` is a reason to refuse it that the agent already found, or None. The
        end of the call is sent on ``connection`` in both cases.
        """
        reason = refusal or self._find_refusal(start)
        if reason is not None:
            self._refuse(connection, start.call_id, reason)
            return
        running = RunningCall(
            start.call_id,
            connection,
            trace_id=start.trace_id or "",
            dispatch_key=start.dispatch_key or "",
            body_digest=start.body_digest or "",
            is_suspect=bool(start.suspect),
        )
        self._running[(connection, start.call_id)] = running
        call = _make_upstream_call(start)
        sink = _FrameSink(self._task, running)
        self._task.submit(
            self._executor,
            lambda: _run_call(self._upstream, call, sink),
            lambda future: self._finish(running, future.result()),
        )

    def cancel_call(self, connection: FrameConnection, call_id: int) -> None:
        """Cancel a running call whose caller is gone; unknown ids are ignored."""
        running = self._running.get((connection, call_id))
        if running is None:
            return
        running.is_cancelled = True
        self._telemetry.count("calls_cancelled", reason="caller-gone")
        if running.abort is not None:
            running.abort()

    def cancel_connection(self, connection: FrameConnection) -> None:
        """Cancel every call of an entry whose connection ended."""
        for call_connection, call_id in list(self._running):
            if call_connection is connection:
                self.cancel_call(connection, call_id)

    def _find_refusal(self, start: CallStart) -> str | None:
        if len(self._running) >= self._capacity:
            return REFUSED_BUSY
        reason = self._check_suspects(bool(start.suspect))
        if reason is not None or not start.dispatch_key:
            return reason
        if start.dispatch_key in self._seen_dispatch_keys:
            return REFUSED_REPEAT
        self._seen_dispatch_keys[start.dispatch_key] = None
        if len(self._seen_dispatch_keys) > MAX_SEEN_DISPATCH_KEYS:
            self._seen_dispatch_keys.popitem(last=False)
        return None

    def _check_suspects(self, is_suspect: bool) -> str | None:
        """Return the reason to refuse a call so that suspects run alone, or None."""
        now = self._task.now()
        if any(running.is_suspect for running in self._running.values()):
            return REFUSED_SUSPECT_WAITS if is_suspect else REFUSED_SUSPECT_RUNNING
        if is_suspect and self._running:
            self._suspect_hold_until = now + SUSPECT_HOLD_S
            return REFUSED_SUSPECT_WAITS
        if is_suspect:
            self._suspect_hold_until = float("-inf")
            return None
        return REFUSED_SUSPECT_RUNNING if now < self._suspect_hold_until else None

    def _report_death(self, running: RunningCall) -> None:
        """Report the requests that ran when the upstream died, once per death."""
        if running.is_death_reported:
            return
        affected = [running, *self._running.values()]
        for call in affected:
            call.is_death_reported = True
        digests = sorted({call.body_digest for call in affected if call.body_digest})
        is_exclusive = running.is_suspect and len(digests) == 1
        self._on_upstream_death(UpstreamDeath(digests, is_exclusive))

    def _refuse(self, connection: FrameConnection, call_id: int, reason: str) -> None:
        self._telemetry.count("refusals", reason=reason)
        # The earlier dispatch with the same key may have run.
        is_repeat = reason == REFUSED_REPEAT
        outcome = Outcome.UNKNOWN if is_repeat else Outcome.NOT_RUN
        end = CallEnd(call_id, outcome, False, reason)
        connection.send(call_end=end)

    def _finish(self, running: RunningCall, end: CallEnd) -> None:
        self._running.pop((running.connection, running.call_id), None)
        end.call_id = running.call_id
        logger.info("call ended: %s", end.reason, extra={"trace_id": running.trace_id})
        if end.outcome == Outcome.NOT_RUN:
            self._telemetry.count("refusals", reason=end.reason)
            self._seen_dispatch_keys.pop(running.dispatch_key, None)
        if end.reason == "upstream-broken":
            self._report_death(running)
        if end.reason in (REFUSED_UNREACHABLE, "upstream-broken"):
            self._on_upstream_lost()
        running.connection.send(call_end=end)
        self._on_finished()


class _FrameSink(ResponseSink):
    """Forwards the upstream's response to the entry.

    Called on the executor thread; frames are sent on the agent's task.
    """

    def __init__(self, task: IoTask, running: RunningCall):
        self._task = task
        self._running = running
        self._sequence = 0

    @property
    def is_cancelled(self) -> bool:
        return self._running.is_cancelled

    def on_connected(self, abort: Callable[[], None]) -> None:
        self._running.abort = abort

    def on_head(self, head: ResponseHead) -> None:
        running = self._running
        message = CallHead(
            running.call_id, head.status, head.content_type, head.version
        )
        self._task.send(lambda: running.connection.send(call_head=message))

    def on_piece(self, data: bytes) -> None:
        running = self._running
        message = CallPiece(running.call_id, self._sequence, data)
        self._sequence += 1
        self._task.send(lambda: running.connection.send(call_piece=message))


def _make_upstream_call(start: CallStart) -> UpstreamCall:
    return UpstreamCall(
        method=start.method,
        path=start.path,
        content_type=start.content_type or "",
        body=start.body or b"",
        is_stream=bool(start.stream),
        resume_from=start.resume_from or 0,
        priority=start.priority or 0,
        trace_id=start.trace_id or "",
        dispatch_key=start.dispatch_key or "",
        timeout_s=(start.deadline_ms or 0) / 1000.0,
    )


def _run_call(upstream: Upstream, call: UpstreamCall, sink: _FrameSink) -> CallEnd:
    """Run one call on the calling thread and return its end, without the call's id."""
    if sink.is_cancelled:
        return CallEnd(0, Outcome.NOT_RUN, False, "cancelled")
    extra = {"trace_id": call.trace_id}
    try:
        is_complete = upstream.relay(call, sink)
    except UpstreamUnreachable as error:
        logger.warning("upstream unreachable: %s", error, extra=extra)
        return CallEnd(0, Outcome.NOT_RUN, False, REFUSED_UNREACHABLE)
    except UpstreamBroken as error:
        if sink.is_cancelled:
            return CallEnd(0, Outcome.UNKNOWN, False, "cancelled")
        logger.warning("connection to the upstream broke: %s", error, extra=extra)
        return CallEnd(0, Outcome.UNKNOWN, False, "upstream-broken")
    except UpstreamError as error:
        logger.warning("upstream failed: %s", error, extra=extra)
        return CallEnd(0, Outcome.UNKNOWN, False, "upstream-failed")
    except Exception:
        logger.exception("unexpected error while relaying a call", extra=extra)
        return CallEnd(0, Outcome.UNKNOWN, False, "agent-error")
    if not is_complete:
        return CallEnd(0, Outcome.UNKNOWN, False, "upstream-broken")
    return CallEnd(0, Outcome.RAN, True, "complete")
