"""Sends an entry's responses to the callers that wait for them."""

import logging
from typing import final

from bamboolever._callerhttp import CallerConnection, Headers, make_error_body
from bamboolever._calls import (
    STATUS_BY_REASON,
    AbortStream,
    CallRequest,
    FinishStream,
    Refusal,
    Respond,
    RunOutcome,
    SendPiece,
    StartStream,
)
from bamboolever._telemetry import Telemetry

logger = logging.getLogger(__name__)


@final
class PendingResponses:
    """The callers' connections on which a response is due, by call.

    All methods run on the entry's task. A response to a caller that is gone is dropped.
    """

    def __init__(self, telemetry: Telemetry):
        self._telemetry = telemetry
        self._callers: dict[int, CallerConnection] = {}
        self._calls_by_caller: dict[CallerConnection, int] = {}
        self._requests: dict[int, CallRequest] = {}

    def add(self, connection: CallerConnection, request: CallRequest) -> None:
        """Register the connection that waits for a call's response."""
        self._callers[request.call_id] = connection
        self._calls_by_caller[connection] = request.call_id
        self._requests[request.call_id] = request

    def remove_caller(self, connection: CallerConnection) -> int | None:
        """Remove a caller that closed its connection.

        Returns the id of the call that it waited for, or None.
        """
        call_id = self._calls_by_caller.pop(connection, None)
        if call_id is None:
            return None
        self._callers.pop(call_id, None)
        self._requests.pop(call_id, None)
        return call_id

    def count_refusal(self, reason: str) -> None:
        """Count a refused or failed call by its reason."""
        self._telemetry.count("refusals", reason=reason)

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal to the caller of its call and count it."""
        request = self._requests.get(refusal.call_id)
        connection = self._remove(refusal.call_id)
        if connection is None:
            self.count_refusal(refusal.reason.value)
            return
        trace_id = request.trace_id if request else ""
        self.send_refusal(connection, refusal, trace_id)

    def send_refusal(
        self, connection: CallerConnection, refusal: Refusal, trace_id: str
    ) -> None:
        """Send a refusal on a connection and count it.

        Called directly for a request that is refused before `add`. ``trace_id`` may be
        empty.
        """
        self.count_refusal(refusal.reason.value)
        headers: Headers = [("X-Bamboolever-Outcome", refusal.outcome.value)]
        if trace_id:
            headers.append(("X-Request-Id", trace_id))
        if refusal.retry_after_s is not None:
            headers.append(("Retry-After", str(max(1, round(refusal.retry_after_s)))))
        body = make_error_body(refusal.reason.value, refusal.message)
        status = STATUS_BY_REASON[refusal.reason]
        logger.info(
            "call refused: %s", refusal.reason.value, extra={"trace_id": trace_id}
        )
        connection.respond(status, "application/json", body, headers)

    def respond(self, respond: Respond) -> None:
        """Send a complete response to the caller of its call."""
        request = self._requests.get(respond.call_id)
        connection = self._remove(respond.call_id)
        if connection is None or request is None:
            return
        headers = _response_headers(request, respond.version)
        logger.info("response sent", extra={"trace_id": request.trace_id})
        connection.respond(respond.status, respond.content_type, respond.body, headers)

    def start_stream(self, start: StartStream) -> None:
        """Send the head of a streamed response."""
        connection = self._callers.get(start.call_id)
        request = self._requests.get(start.call_id)
        if connection is None or request is None:
            return
        headers = _response_headers(request, start.version)
        connection.start_stream(start.status, start.content_type, headers)

    def send_piece(self, piece: SendPiece) -> None:
        """Send a piece of a streamed response."""
        connection = self._callers.get(piece.call_id)
        if connection is not None:
            connection.send_piece(piece.data)

    def finish_stream(self, finish: FinishStream) -> None:
        """Send the terminal event of a streamed response and end it."""
        request = self._requests.get(finish.call_id)
        connection = self._remove(finish.call_id)
        if connection is not None and request is not None:
            logger.info("stream finished", extra={"trace_id": request.trace_id})
            connection.finish_stream()

    def abort_stream(self, abort: AbortStream) -> None:
        """Cut off a streamed response that cannot be completed, and count it."""
        self.count_refusal(abort.reason.value)
        connection = self._remove(abort.call_id)
        if connection is not None:
            connection.abort()

    def _remove(self, call_id: int) -> CallerConnection | None:
        connection = self._callers.pop(call_id, None)
        self._requests.pop(call_id, None)
        if connection is not None:
            self._calls_by_caller.pop(connection, None)
        return connection


def _response_headers(request: CallRequest, version: str) -> Headers:
    headers: Headers = [
        ("X-Bamboolever-Outcome", RunOutcome.RAN.value),
        ("X-Request-Id", request.trace_id),
    ]
    if version:
        headers.append(("X-Model-Version", version))
    return headers
