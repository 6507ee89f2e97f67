"""One hedged request: a second attempt of a call beside its slow first one.

Takes the call's request and the upstream that `daemons.hedges` chose. Decides whether
the response is a complete success by the rules of `daemons.relay`, which alone may take
its place; anything else leaves the first attempt as it is.

Load pattern: see `calls.hedging`. The response is buffered, so that the caller gets one
answer, from whichever attempt is complete first.
"""

from typing import TYPE_CHECKING, final

from bamboolever.calls.coldstart import ColdCause
from bamboolever.calls.retry import AttemptOutcome
from bamboolever.calls.stall import find_stall_timeout_s
from bamboolever.calls.upstream import UpstreamView
from bamboolever.daemons.relaycontext import RelayContext
from bamboolever.daemons.responsefacts import may_be_of_another_request, note_response
from bamboolever.net.buffers import ResponseBuffer
from bamboolever.net.client import ClientConnection
from bamboolever.net.exchange import ExchangeFailure, FailureKind, ResponseHandler
from bamboolever.net.messages import BodyFraming, Request, ResponseHead
from bamboolever.net.timers import RearmableTimer
from bamboolever.platform import calls as wire

if TYPE_CHECKING:
    from bamboolever.daemons.relay import CallRelay


@final
class HedgedAttempt(ResponseHandler):
    """The second attempt of ``relay``'s call, at ``view``, where it is counted.

    Ends with one call of `CallRelay.on_hedge_won` or `CallRelay.on_hedge_failed`, or
    with `cancel`; after that it holds neither a connection, a timer nor a place at the
    upstream.
    """

    def __init__(self, context: RelayContext, relay: "CallRelay", view: UpstreamView):
        self._context = context
        self._task = context.task
        self._relay = relay
        self.view = view
        self._sent_at = self._task.now()
        self._connection: ClientConnection | None = None
        self._head: ResponseHead | None = None
        self._body = ResponseBuffer(context.buffers)
        self._stall_timeout_s = find_stall_timeout_s(relay.route)
        self._stall_timer = RearmableTimer(self._task)

    def start(self, request: Request) -> None:
        """Send the request."""
        self._await_progress()
        self._connection = self._context.pool.send(
            self.view.record.address, request, self
        )

    def cancel(self) -> None:
        """Close the connection and give back the place at the upstream."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.cancel()
        self._release()

    def _release(self) -> None:
        self._stall_timer.disarm()
        self._body.clear()
        self.view.remove_call(self._relay.call_id)
        self._context.on_capacity_changed(self._relay.service)

    def _await_progress(self) -> None:
        if self._stall_timeout_s is not None:
            self._stall_timer.arm(self._stall_timeout_s, self._on_stall)

    def _on_stall(self) -> None:
        is_slow = self.view.may_be_slow(self._task.now())
        self._fail(AttemptOutcome.UNKNOWN, is_fault=not is_slow)

    # The upstream's response.

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to this request."""
        return self._relay.accepts(head)

    def may_reuse_after(self, head: ResponseHead) -> bool:
        """Return whether its id would identify a second copy of the response."""
        return self._relay.may_reuse_after(head)

    def on_head(self, head: ResponseHead) -> None:
        """Drop the attempt unless the response is a signed success."""
        if may_be_of_another_request(head, self._connection):
            self._fail(AttemptOutcome.UNKNOWN)
            return
        self._head = head
        model = self._relay.metadata.model
        note_response(self._context, self.view, head, self._sent_at, model)
        if wire.is_not_executed(head):
            self._fail(AttemptOutcome.NOT_RUN)
        elif not head.is_success:
            # The first attempt will get the same, if the request is the cause.
            self._fail(AttemptOutcome.FAILED, is_fault=head.status >= 500)
        elif not wire.is_signed(head):
            self._fail(AttemptOutcome.UNKNOWN)

    def on_data(self, data: bytes) -> None:
        """Buffer a part of the body; drop the attempt if there is no room for it."""
        self._await_progress()
        if self._body.add(data) is not None:
            self._fail(AttemptOutcome.UNKNOWN)

    def on_end(self) -> None:
        """Report the complete success to the relay."""
        self._connection = None
        head, view, relay = self._head, self.view, self._relay
        assert head is not None
        view.on_success()
        if head.body_framing is BodyFraming.CONNECTION_CLOSE:
            self._context.on_unproven_end(relay, view, self._sent_at)
        else:
            self._context.on_completed(relay, view, self._sent_at)
        body = self._body.take()
        self._release()
        relay.on_hedge_won(head, body)

    def on_failure(self, failure: ExchangeFailure) -> None:
        """Drop the attempt; called when it ends without a complete response."""
        self._connection = None
        if failure.kind is FailureKind.CONNECT:
            self.view.on_unreachable(self._task.now())
            self.view.cold.assume(ColdCause.UNREACHABLE, self._task.now())
            if failure.is_refused:
                self._context.on_connection_refused(self.view)
        elif failure.is_request_sent:
            self._context.on_broken_response(self._relay, self.view, self._sent_at)
        is_sent = failure.is_request_sent
        self._fail(AttemptOutcome.UNKNOWN if is_sent else AttemptOutcome.NOT_RUN)

    def _fail(self, outcome: AttemptOutcome, *, is_fault: bool = True) -> None:
        self.cancel()
        is_counted = is_fault and outcome is not AttemptOutcome.NOT_RUN
        if is_counted and self.view.on_failure(self._task.now()):
            self._context.count("upstream.ejected", service=self._relay.service)
        self._relay.on_hedge_failed(outcome)
