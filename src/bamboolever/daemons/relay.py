"""Relays one caller's request to an upstream and the response back.

Takes an admitted request, the dispatcher's placement, and the events of the
connection to the upstream. Decides whether each attempt has succeeded, failed or not
run, and how the call ends for its caller.

Load pattern: upstreams that crash, stall or mix up responses under load.

- A response that repeats another request's attempt id never reaches the caller, nor
  does a success without an attempt id or a signature: it may belong to another
  request.
- A stream is forwarded in complete events. After a failure, or when it ends inside an
  event, it is resumed on another upstream from the last event id. If that fails too,
  the caller's connection is cut, so that the stream does not look complete. Silence
  alone cuts none: where no other upstream can go on at once, the silent one is awaited.
- Any other response is buffered until it is complete, so that the caller does not
  notice a retry.
- A request that may have run is retried only if the route allows it. The caller gets
  503 if the request has certainly not run. Otherwise it gets the upstream's error
  response, 502 if there is none, or 504 after the timeout.
- A second attempt may be sent beside a slow one (`daemons.hedges`). The first complete
  success ends the call and the other attempt. An attempt that fails while the other one
  is under way leaves the call to that one.
"""

from typing import final

from bamboolever.calls.admission import find_max_duration_s, find_priority
from bamboolever.calls.coldstart import ColdCause
from bamboolever.calls.dispatcher import Rejection, RejectReason
from bamboolever.calls.hedging import HedgeInput
from bamboolever.calls.parts import WELL_BEGUN_EVENTS, PromptParts
from bamboolever.calls.placement import PendingCall, Placement
from bamboolever.calls.retry import AttemptOutcome, RetryInput, find_retry_refusal
from bamboolever.calls.upstream import UpstreamView
from bamboolever.config.model import Route, RouteKind, Workspace
from bamboolever.daemons.attempttimers import AttemptTimers
from bamboolever.daemons.eventstream import EventStream
from bamboolever.daemons.hedgedattempt import HedgedAttempt
from bamboolever.daemons.ownresponses import (
    FAILED_STATUS,
    REJECTED_STATUS,
    TIMED_OUT_STATUS,
    respond_failed,
    respond_rejected,
    respond_timed_out,
)
from bamboolever.daemons.relaycontext import CallRecord, RelayContext
from bamboolever.daemons.responsefacts import may_be_of_another_request, note_response
from bamboolever.net.buffers import ResponseBuffer
from bamboolever.net.client import ClientConnection
from bamboolever.net.exchange import ExchangeFailure, FailureKind, ResponseHandler
from bamboolever.net.messages import BodyFraming, Request, ResponseHead
from bamboolever.net.serverconnection import ServerConnection
from bamboolever.net.timers import RearmableTimer
from bamboolever.platform import calls as wire
from bamboolever.platform.calls import CallMetadata, UpstreamHeaders

# The body of a rejection is not needed: reading its end only saves a connection.
REJECTION_BODY_TIMEOUT_S = 0.1
MAX_REJECTION_BODY_BYTES = 16 * 2**10
SILENT_UPSTREAM = "silent upstream"


@final
class CallRelay(ResponseHandler):
    """One call, from its admission to its final outcome.

    ``first_attempt_age_s`` is how many seconds before this request its caller first
    sent it; 0 if it was not rejected before. ``digest`` is the same for equal requests
    of one caller; ``prompt`` has the parts that it shares with others. Times are
    seconds of the task's clock. Methods are called on the task's thread.
    """

    def __init__(
        self,
        context: RelayContext,
        connection: ServerConnection,
        request: Request,
        metadata: CallMetadata,
        route: Route,
        service: str,
        workspace: Workspace | None,
        *,
        call_id: int,
        first_attempt_age_s: float,
        digest: int,
        prompt: PromptParts,
    ):
        self._context = context
        self._task = context.task
        self.caller_connection = connection
        self._request = request
        self.metadata = metadata
        self.route = route
        self.service = service
        self.workspace = workspace
        self.call_id = call_id
        self.first_attempt_age_s = first_attempt_age_s
        self.digest = digest
        self.prompt = prompt
        self.arrived_at = self._task.now()
        self._timeout_at = self.arrived_at + find_max_duration_s(
            route, metadata.remaining_s
        )
        self.record = CallRecord()
        self._tried: set[str] = set()
        self._attempts = 0
        self._sent_at = 0.0
        self._is_silence_counted = False
        self._is_done = False
        self._upstream: UpstreamView | None = None
        self._upstream_connection: ClientConnection | None = None
        self._response_head: ResponseHead | None = None
        self._first_response_head: ResponseHead | None = None
        self._attempt_outcome: AttemptOutcome | None = None
        self._response_body = ResponseBuffer(context.buffers)
        self._stream = EventStream(connection, metadata.last_event_id, context.buffers)
        self._may_have_run = False
        self._hedge: HedgedAttempt | None = None
        self._hedge_timer = RearmableTimer(self._task)
        # The failure of the first attempt while the hedged request is awaited.
        self._unanswered: tuple[AttemptOutcome, str] | None = None
        self._timeout_timer = self._task.call_later(
            self._timeout_at - self.arrived_at, self._on_timeout
        )
        self._timers = AttemptTimers(
            self._task,
            route,
            self._begin_by,
            self._on_stall,
            self._on_version_ended,
        )

    # Placement.

    def start(self) -> None:
        """Queue the call for its first attempt."""
        self._context.on_first_attempt(self.service)
        self._enqueue()

    def on_placed(self, placement: Placement) -> None:
        """Send the request to the upstream that the dispatcher has chosen."""
        view = placement.upstream
        self._upstream = view
        self._attempts += 1
        self._sent_at = self._task.now()
        self._is_silence_counted = False
        self._tried.add(view.instance_id)
        self.record.upstreams.append(view.instance_id)
        self.record.predicted_s = placement.predicted_s
        self._response_head = None
        self.record.body_framing = None
        self._attempt_outcome = None
        self._response_body.clear()
        self._stream.begin_attempt()
        request = wire.forward_request(
            self._request, self._build_upstream_headers(view)
        )
        self._upstream_connection = self._context.pool.send(
            view.record.address, request, self
        )
        self._note_round_trip(view)
        self._timers.start_attempt()
        if self._attempts == 1:
            self._await_slowness()

    def on_rejected(self, rejection: Rejection) -> None:
        """End the call; called when the dispatcher finds no upstream that can serve it.

        A stream that the caller has received in part is cut. Otherwise the status is
        502 if the request may have run on an upstream, else 503.
        """
        self.record.usable_upstreams = rejection.usable_upstreams
        self.record.waiting_calls = rejection.waiting_calls
        if self._stream.is_begun:
            self._abort("no-upstream-to-resume")
            return
        if self._may_have_run:
            self._respond_failed(f"rejected: {rejection.reason.value}")
            return
        self._reject(rejection.reason, rejection.retry_after_s)

    def _enqueue(self) -> None:
        self._context.enqueue(self, self._make_pending())

    def _make_pending(self) -> PendingCall:
        now = self._task.now()
        target_at = (
            self.arrived_at + self.route.target_latency_s - self.first_attempt_age_s
        )
        return PendingCall(
            call_id=self.call_id,
            arrived_at=now,
            target_at=target_at,
            timeout_at=self._timeout_at,
            prompt_tokens=self.metadata.prompt_tokens or 0,
            priority=find_priority(self.route, self.workspace),
            first_attempt_age_s=self.first_attempt_age_s,
            model=self.metadata.model,
            tried=self._tried,
            is_resumed=self._stream.is_begun,
        )

    def _build_upstream_headers(self, view: UpstreamView) -> UpstreamHeaders:
        workspace = self.workspace.name if self.workspace is not None else None
        return UpstreamHeaders(
            instance_id=view.instance_id,
            remaining_s=self._timeout_at - self._task.now(),
            workspace=workspace,
            last_event_id=self._stream.resume_id,
        )

    # The upstream's response.

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to this request.

        One with another attempt id does not, nor a success without an attempt id.
        """
        echoed_id = wire.echoed_attempt_id(head)
        if echoed_id is None:
            return not head.is_success
        return echoed_id == self.metadata.attempt_id

    def may_reuse_after(self, head: ResponseHead) -> bool:
        """Return whether a second copy of the response would be told by its id."""
        return wire.echoed_attempt_id(head) is not None

    def on_head(self, head: ResponseHead) -> None:
        """Classify a response by its head; called before its body arrives.

        The attempt has not run, has failed, or continues as a signed success. What may
        belong to another request proves nothing.
        """
        if may_be_of_another_request(head, self._upstream_connection):
            self._fail_attempt("a failure without an attempt id")
            return
        self._response_head = head
        self.record.body_framing = head.body_framing
        view = self._upstream
        assert view is not None
        note_response(self._context, view, head, self._sent_at, self.metadata.model)
        self._note_round_trip(view)
        if not self._is_stream():
            self._timers.on_begun()
        if wire.is_not_executed(head):
            self._attempt_outcome = AttemptOutcome.NOT_RUN
            self._timers.await_rejection_end(
                REJECTION_BODY_TIMEOUT_S, self._end_rejected_attempt
            )
            return
        if head.is_success and not wire.is_signed(head):
            self._fail_attempt("unsigned success")
            return
        if not head.is_success:
            self._attempt_outcome = AttemptOutcome.FAILED
            return
        if self._stream.is_begun and self._first_response_head is not None:
            if not head.may_be_event_stream:
                self._fail_attempt("another type of content for the rest of the stream")
            return
        self._first_response_head = head

    def on_data(self, data: bytes) -> None:
        """Forward a stream's complete events, or buffer the body of another response.

        Called for each part of the body.
        """
        if self._attempt_outcome is AttemptOutcome.NOT_RUN:
            self._response_body.add(data)
            if len(self._response_body) > MAX_REJECTION_BODY_BYTES:
                self._end_rejected_attempt()
            return
        if self._attempt_outcome is None and self._is_event_stream():
            self._relay_events(data)
            return
        self._timers.on_progress()
        overflow = self._response_body.add(data)
        if overflow is not None:
            self._response_body.clear()
            self._fail_attempt(overflow)

    def on_end(self) -> None:
        """Finish the call, or handle the attempt as failed if it has not succeeded.

        Called when the response is complete.
        """
        self._upstream_connection = None
        self.record.partial_event_bytes = self._stream.partial_event_bytes
        if self._attempt_outcome is AttemptOutcome.NOT_RUN:
            self._on_attempt_failed(AttemptOutcome.NOT_RUN, "not executed")
            return
        if self._attempt_outcome is AttemptOutcome.FAILED:
            self._on_upstream_error()
            return
        view = self._upstream
        assert view is not None
        truncation = self._find_truncation()
        if truncation is not None:
            self._context.on_broken_response(self, view, self._sent_at)
            self._on_attempt_failed(AttemptOutcome.UNKNOWN, truncation)
            return
        view.on_success()
        view.cold.on_heard(self._task.now(), is_home=view.is_home)
        if self._is_proven_complete():
            self._context.on_completed(self, view, self._sent_at)
        else:
            self._context.on_unproven_end(self, view, self._sent_at)
        if self._is_event_stream():
            self._end_stream()
            return
        self._observe_time()
        self._record_first_byte()
        self._forward_response()

    def on_failure(self, failure: ExchangeFailure) -> None:
        """Handle a failed attempt; called when it ends without a complete response.

        It has not run if no byte of the request was sent or the response said so.
        """
        self._upstream_connection = None
        self.record.partial_event_bytes = self._stream.partial_event_bytes
        detail = f"{failure.kind.value}: {failure.detail}"
        if self._attempt_outcome is AttemptOutcome.NOT_RUN:
            self._on_attempt_failed(AttemptOutcome.NOT_RUN, f"not executed; {detail}")
            return
        outcome = (
            AttemptOutcome.UNKNOWN
            if failure.is_request_sent
            else AttemptOutcome.NOT_RUN
        )
        view = self._upstream
        assert view is not None
        if failure.kind is FailureKind.CONNECT:
            view.on_unreachable(self._task.now())
            view.cold.assume(ColdCause.UNREACHABLE, self._task.now())
            if failure.is_refused:
                self._context.on_connection_refused(view)
        elif failure.is_request_sent:
            self._context.on_broken_response(self, view, self._sent_at)
        self._on_attempt_failed(outcome, detail)

    # Hedged requests.

    def _await_slowness(self) -> None:
        self._context.hedges.on_first_attempt(self.service)
        delay_s = self._context.hedges.find_delay_s(self)
        if delay_s is not None:
            self._hedge_timer.arm(delay_s, self._on_slow)

    def _on_slow(self) -> None:
        if self._is_done or self._upstream_connection is None:
            return
        if self._attempt_outcome is not None:
            return
        remaining_s = self._timeout_at - self._task.now()
        inputs = HedgeInput(self._attempts, self.route.max_attempts, remaining_s)
        placement = self._context.hedges.acquire(self, self._make_pending(), inputs)
        if placement is None:
            return
        view = placement.upstream
        self._attempts += 1
        self._tried.add(view.instance_id)
        self.record.hedge_upstream = view.instance_id
        self._hedge = HedgedAttempt(self._context, self, view)
        self._hedge.start(
            wire.forward_request(self._request, self._build_upstream_headers(view))
        )
        self._context.on_capacity_changed(self.service)

    def on_hedge_won(self, head: ResponseHead, body: bytes) -> None:
        """End the call with the complete success of the hedged request."""
        if self._is_done:
            return
        self._end_hedge("won")
        if self._upstream_connection is not None:
            self._cancel_attempt()
            self._observe_time()
        self._response_head = head
        self.record.body_framing = head.body_framing
        self.record.first_byte_s = self._task.now() - self.arrived_at
        self._forward_response(body)

    def on_hedge_failed(self, outcome: AttemptOutcome) -> None:
        """Go on with the first attempt, or with its failure if it has ended."""
        if self._is_done:
            return
        self._end_hedge("failed")
        if outcome is not AttemptOutcome.NOT_RUN:
            self._may_have_run = True
        if self._unanswered is not None:
            (first_outcome, detail), self._unanswered = self._unanswered, None
            self._retry_or_end(first_outcome, detail)

    def _end_hedge(self, outcome: str) -> None:
        hedge, self._hedge = self._hedge, None
        if hedge is not None:
            hedge.cancel()
            self.record.hedge_outcome = outcome
            self._context.hedges.on_ended(self.service, outcome)

    def _observe_time(self) -> None:
        if not self._is_stream():
            elapsed_s = self._task.now() - self._sent_at
            self._context.hedges.on_response(self.service, elapsed_s)

    def _end_rejected_attempt(self) -> None:
        if self._is_done or self._upstream_connection is None:
            return
        self._cancel_attempt()
        self._on_attempt_failed(
            AttemptOutcome.NOT_RUN, "not executed; its body did not end"
        )

    # Streams.

    def _is_stream(self) -> bool:
        return self.route.kind is RouteKind.STREAMING

    def _is_event_stream(self) -> bool:
        # A streaming route may also respond with another type of content.
        head = self._response_head
        assert head is not None
        return self._is_stream() and (self._stream.is_begun or head.may_be_event_stream)

    def _find_truncation(self) -> str | None:
        head = self._response_head
        if head is None or not self._is_event_stream():
            return None
        return self._stream.find_truncation(head.body_framing)

    def _is_proven_complete(self) -> bool:
        # A response that ends with its connection may have been ended by a crash.
        head = self._response_head
        assert head is not None
        is_framed = head.body_framing is not BodyFraming.CONNECTION_CLOSE
        return is_framed or self.attempt_events >= WELL_BEGUN_EVENTS

    def _relay_events(self, data: bytes) -> None:
        assert self._first_response_head is not None
        known_events = self.attempt_events
        if self._stream.forward(data, self._first_response_head):
            self.record.status = self._first_response_head.status
            self.record.events = self._stream.event_count
            self._record_first_byte()
            self._timers.on_begun()
            self._timers.on_progress()
        if known_events < WELL_BEGUN_EVENTS <= self.attempt_events:
            self._context.on_well_begun(self)
        if self._stream.is_malformed:
            self._fail_attempt("bytes that cannot follow in the stream")
        elif self._stream.is_over_limit:
            self._fail_attempt("event over the limit")

    def _end_stream(self) -> None:
        assert self._first_response_head is not None
        self.record.status = self._first_response_head.status
        self._finish("served")
        self._stream.finish(self._first_response_head)

    def _record_first_byte(self) -> None:
        view = self._upstream
        if view is not None:
            view.on_first_event(self.call_id)
        if self.record.first_byte_s is None:
            self.record.first_byte_s = self._task.now() - self.arrived_at

    # Failed attempts.

    def _on_upstream_error(self) -> None:
        head = self._response_head
        assert head is not None
        if head.status < 500 and self._stream.is_begun:
            self._abort(f"status {head.status} for the rest of the stream")
            return
        if head.status < 500:
            self._forward_response()
            return
        if self._is_stream() or self.route.is_retry_safe:
            self._on_attempt_failed(AttemptOutcome.FAILED, f"status {head.status}")
            return
        self._forward_response()

    def _fail_attempt(self, detail: str) -> None:
        """End an attempt whose response cannot be used; it may have run."""
        self._cancel_attempt()
        self._on_attempt_failed(AttemptOutcome.UNKNOWN, detail)

    def _on_attempt_failed(
        self, outcome: AttemptOutcome, detail: str, *, is_fault: bool = True
    ) -> None:
        self._note_failed_attempt(outcome, detail, is_fault=is_fault)
        if self._hedge is not None:
            self._unanswered = (outcome, detail)
            self._context.log.attempt_failed(
                self, outcome.value, detail, "hedge-under-way"
            )
            self._context.on_capacity_changed(self.service)
            return
        self._retry_or_end(outcome, detail)

    def _note_failed_attempt(
        self, outcome: AttemptOutcome, detail: str, *, is_fault: bool = True
    ) -> None:
        self._timers.end_attempt()
        self._hedge_timer.disarm()
        view = self._upstream
        if view is not None:
            view.remove_call(self.call_id)
            is_counted = is_fault and outcome is not AttemptOutcome.NOT_RUN
            if is_counted and view.on_failure(self._task.now()):
                self._context.count("upstream.ejected", service=self.service)
        if outcome is not AttemptOutcome.NOT_RUN:
            self._may_have_run = True
        self.record.attempt_failures.append(detail)

    def _make_retry_input(self, outcome: AttemptOutcome) -> RetryInput:
        return RetryInput(
            outcome=outcome,
            is_retry_safe=self.route.is_retry_safe,
            attempts=self._attempts,
            max_attempts=self.route.max_attempts,
            remaining_s=self._timeout_at - self._task.now(),
            is_position_known=self._stream.is_position_known,
        )

    def _retry_or_end(self, outcome: AttemptOutcome, detail: str) -> None:
        inputs = self._make_retry_input(outcome)
        refusal = find_retry_refusal(inputs) or self._context.acquire_retry(self)
        self._context.log.attempt_failed(
            self, outcome.value, detail, refusal or "sent-again"
        )
        if refusal is None:
            self._enqueue()
        elif self._stream.is_begun:
            self._abort(f"{detail}; {refusal}")
        elif outcome is AttemptOutcome.NOT_RUN and not self._may_have_run:
            self._reject(RejectReason.NO_ROOM, None)
        elif outcome is AttemptOutcome.FAILED:
            self._forward_response()
        else:
            self._respond_failed(f"{detail}; {refusal}")
        self._context.on_capacity_changed(self.service)

    # Final outcomes.

    def _forward_response(self, body: bytes | None = None) -> None:
        """Send the response; ``body`` None means the one that is buffered."""
        head = self._response_head
        assert head is not None
        self.record.status = head.status
        headers = wire.response_headers(head)
        if body is None:
            body = self._response_body.take()
        self._finish("served" if head.is_success else "upstream-error")
        self.caller_connection.respond(head.status, headers, body)

    def _reject(self, reason: RejectReason, retry_after_s: float | None) -> None:
        self.record.status = REJECTED_STATUS
        self._finish("rejected", reason.value)
        attempt_id = self.metadata.attempt_id
        respond_rejected(self.caller_connection, attempt_id, reason, retry_after_s)

    def _respond_failed(self, detail: str) -> None:
        self.record.status = FAILED_STATUS
        self._finish("failed", detail)
        respond_failed(self.caller_connection, self.metadata.attempt_id)

    def _abort(self, detail: str) -> None:
        self._finish("cut", detail)
        self.caller_connection.abort()

    def _on_timeout(self) -> None:
        if self._is_done:
            return
        is_unsent = self._attempts == 0
        self._cancel_attempt()
        if self._stream.is_begun:
            self._abort("timeout")
        elif is_unsent:
            self._reject(RejectReason.TIMED_OUT, None)
        else:
            self.record.status = TIMED_OUT_STATUS
            self._finish("timed-out")
            respond_timed_out(self.caller_connection, self.metadata.attempt_id)

    def on_caller_gone(self) -> None:
        """Cancel the attempt and end the call; called when the caller disconnected."""
        if self._is_done:
            return
        self._cancel_attempt()
        self._finish("caller-gone")

    def _finish(self, outcome: str, detail: str = "") -> None:
        self._is_done = True
        self.record.outcome = outcome
        self.record.detail = detail
        self._timeout_timer.cancel()
        self._timers.end_attempt()
        self._hedge_timer.disarm()
        self._end_hedge("lost" if outcome == "served" else "cancelled")
        self._response_body.clear()
        self._stream.release()
        if self._upstream is not None:
            self._upstream.remove_call(self.call_id)
        self._context.cancel_placement(self)
        self._context.on_ended(self)
        self._context.on_capacity_changed(self.service)

    def _cancel_attempt(self) -> None:
        if self._upstream_connection is not None:
            self._upstream_connection.cancel()
            self._upstream_connection = None

    # Time limits of an attempt.

    @property
    def upstream(self) -> UpstreamView | None:
        """The upstream of the current attempt, or of the last one."""
        return self._upstream

    @property
    def timeout_at(self) -> float:
        """Until when the call may last, in seconds of the task's clock."""
        return self._timeout_at

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have begun the request."""
        return self._may_have_run

    @property
    def attempt_events(self) -> int:
        """How many events of the current attempt's stream were forwarded."""
        return self._stream.attempt_events

    def on_version_added(self) -> None:
        """Withdraw an attempt in time for the end of an older version."""
        self._timers.check_begin()

    def _begin_by(self) -> float | None:
        return self._context.begin_by(self)

    def _note_round_trip(self, view: UpstreamView) -> None:
        connection = self._upstream_connection
        if connection is not None and connection.round_trip_s is not None:
            view.round_trip_s = connection.round_trip_s

    def _on_version_ended(self) -> None:
        if self._is_done or self._upstream_connection is None:
            return
        self._cancel_attempt()
        self._on_attempt_failed(AttemptOutcome.UNKNOWN, "version ended", is_fault=False)

    def _on_stall(self) -> None:
        if self._is_done or self._upstream_connection is None:
            return
        if self._stream.is_begun:
            self._replace_or_await()
            return
        self._cancel_attempt()
        view, now = self._upstream, self._task.now()
        if view is not None and self._is_stream():
            view.on_unreachable(now)
        self._observe_time()
        # An upstream that stated that it is slow is not counted as failed.
        is_slow = view is not None and not self._is_stream() and view.may_be_slow(now)
        self._on_attempt_failed(
            AttemptOutcome.UNKNOWN, SILENT_UPSTREAM, is_fault=not is_slow
        )

    def _replace_or_await(self) -> None:
        """Go on with a silent stream elsewhere, or wait if nothing could go on with it.

        A sound upstream is silent, too, while it reads a preempted request again.
        """
        view = self._upstream
        if view is not None and not self._is_silence_counted:
            self._is_silence_counted = True
            view.on_unreachable(self._task.now())
        pending = self._make_pending()
        placement = None
        if find_retry_refusal(self._make_retry_input(AttemptOutcome.UNKNOWN)) is None:
            placement = self._context.acquire_replacement(self, pending)
        if placement is None:
            self._timers.check_silence_again()
            return
        self._cancel_attempt()
        self._note_failed_attempt(AttemptOutcome.UNKNOWN, SILENT_UPSTREAM)
        self._context.log.attempt_failed(
            self, AttemptOutcome.UNKNOWN.value, SILENT_UPSTREAM, "sent-again"
        )
        self.on_placed(placement)
        self._context.on_capacity_changed(self.service)
