"""Runs an agent's calls at its upstream, on executor threads.

Each call ends with exactly one outcome: not run, ran, or unknown. It is not
run only if the agent refused it or never reached the upstream.
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
    CallSink,
    ResponseHead,
    Upstream,
    UpstreamBroken,
    UpstreamCall,
    UpstreamError,
    UpstreamUnreachable,
)

logger = logging.getLogger(__name__)

MAX_REMEMBERED_KEYS = 20_000
SUSPECT_HOLD_S = 1.0

# Reasons of an agent's refusal; each has a counter.
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
    """One call that is at the upstream, or about to be."""

    call_id: int
    connection: FrameConnection
    trace_id: str = ""
    dispatch_key: str = ""
    body_digest: str = ""
    is_suspect: bool = False
    # Whether its upstream's death was already reported with it.
    is_blamed: bool = False
    is_cancelled: bool = False
    abort: Callable[[], None] | None = field(default=None, repr=False)


@final
class CallRelay:
    """Owns the running calls; lives on the agent's task."""

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
        self._held_until = float("-inf")
        self._running: dict[tuple[FrameConnection, int], RunningCall] = {}
        self._seen_keys: OrderedDict[str, None] = OrderedDict()

    @property
    def in_flight(self) -> int:
        """Number of calls at the upstream."""
        return len(self._running)

    def start_call(
        self, connection: FrameConnection, start: CallStart, refusal: str | None
    ) -> None:
        """Run a call, or refuse it for ``refusal`` or a reason found here."""
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
        """Cut a call whose caller went away."""
        running = self._running.get((connection, call_id))
        if running is None:
            return
        running.is_cancelled = True
        self._telemetry.count("calls_cancelled", reason="caller-gone")
        if running.abort is not None:
            running.abort()

    def cancel_connection(self, connection: FrameConnection) -> None:
        """Cut every call of an entry whose connection ended."""
        for owner, call_id in list(self._running):
            if owner is connection:
                self.cancel_call(connection, call_id)

    def _find_refusal(self, start: CallStart) -> str | None:
        if len(self._running) >= self._capacity:
            return REFUSED_BUSY
        reason = self._check_suspects(bool(start.suspect))
        if reason is not None or not start.dispatch_key:
            return reason
        if start.dispatch_key in self._seen_keys:
            return REFUSED_REPEAT
        self._seen_keys[start.dispatch_key] = None
        if len(self._seen_keys) > MAX_REMEMBERED_KEYS:
            self._seen_keys.popitem(last=False)
        return None

    def _check_suspects(self, is_suspect: bool) -> str | None:
        """Run a suspect apart from everything else, so that a death tells."""
        now = self._task.now()
        if any(running.is_suspect for running in self._running.values()):
            return REFUSED_SUSPECT_WAITS if is_suspect else REFUSED_SUSPECT_RUNNING
        if is_suspect and self._running:
            self._held_until = now + SUSPECT_HOLD_S
            return REFUSED_SUSPECT_WAITS
        if is_suspect:
            self._held_until = float("-inf")
            return None
        return REFUSED_SUSPECT_RUNNING if now < self._held_until else None

    def _report_death(self, running: RunningCall) -> None:
        """Name every call that ran, once for each death of the upstream."""
        if running.is_blamed:
            return
        blamed = [running, *self._running.values()]
        for call in blamed:
            call.is_blamed = True
        digests = sorted({call.body_digest for call in blamed if call.body_digest})
        is_exclusive = running.is_suspect and len(digests) == 1
        self._on_upstream_death(UpstreamDeath(digests, is_exclusive))

    def _refuse(self, connection: FrameConnection, call_id: int, reason: str) -> None:
        self._telemetry.count("refusals", reason=reason)
        # An earlier dispatch with the same key may well have run.
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
            self._seen_keys.pop(running.dispatch_key, None)
        if end.reason == "upstream-broken":
            self._report_death(running)
        if end.reason in (REFUSED_UNREACHABLE, "upstream-broken"):
            self._on_upstream_lost()
        running.connection.send(call_end=end)
        self._on_finished()


class _FrameSink(CallSink):
    """Sends an answer's parts to the entry, from the relaying thread."""

    def __init__(self, task: IoTask, running: RunningCall):
        self._task = task
        self._running = running
        self._sequence = 0

    @property
    def is_cancelled(self) -> bool:
        return self._running.is_cancelled

    def on_connection(self, abort: Callable[[], None]) -> None:
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
    """Run one call on this thread and return its end."""
    if sink.is_cancelled:
        return CallEnd(0, Outcome.NOT_RUN, False, "cancelled")
    extra = {"trace_id": call.trace_id}
    try:
        is_whole = upstream.relay(call, sink)
    except UpstreamUnreachable as error:
        logger.warning("upstream unreachable: %s", error, extra=extra)
        return CallEnd(0, Outcome.NOT_RUN, False, REFUSED_UNREACHABLE)
    except UpstreamBroken as error:
        if sink.is_cancelled:
            return CallEnd(0, Outcome.UNKNOWN, False, "cancelled")
        logger.warning("upstream broke: %s", error, extra=extra)
        return CallEnd(0, Outcome.UNKNOWN, False, "upstream-broken")
    except UpstreamError as error:
        logger.warning("upstream failed: %s", error, extra=extra)
        return CallEnd(0, Outcome.UNKNOWN, False, "upstream-failed")
    except Exception:
        logger.exception("the relay failed", extra=extra)
        return CallEnd(0, Outcome.UNKNOWN, False, "agent-error")
    if not is_whole:
        return CallEnd(0, Outcome.UNKNOWN, False, "upstream-broken")
    return CallEnd(0, Outcome.RAN, True, "complete")
