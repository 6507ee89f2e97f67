"""Decides the response to a call whose idempotency key was not granted."""

from bamboolever._admission import RETRY_AFTER_S, make_refusal
from bamboolever._calls import (
    CallAction,
    CallRequest,
    Refusal,
    RefusalReason,
    Respond,
    RunOutcome,
)
from bamboolever._claims import ClaimResult, ClaimVerdict

IN_PROGRESS_RETRY_S = 2.0


def make_repeat_response(request: CallRequest, result: ClaimResult) -> CallAction:
    """Return the final response to a call whose key is taken or cannot be claimed.

    A call that ran before gets the recorded response, unless its body was too large to
    be kept. All others are refused, with an outcome that states whether the call may
    have run.
    """
    record = result.record
    if result.verdict is ClaimVerdict.RECORDED and record is not None:
        if record.is_body_kept:
            return Respond(
                request.call_id, record.status, record.content_type, record.body
            )
        message = "this call ran to its end; its answer was too large to be kept"
        return Refusal(
            request.call_id, RefusalReason.OUTCOME_UNKNOWN, RunOutcome.RAN, message
        )
    if result.verdict is ClaimVerdict.KEY_REUSED:
        message = "this idempotency key was used with another request; use a new key"
        return make_refusal(request, RefusalReason.KEY_REUSED, message)
    if result.verdict is ClaimVerdict.IN_PROGRESS:
        message = "a call with this key is in progress, or its end was not recorded"
        return Refusal(
            request.call_id,
            RefusalReason.IN_PROGRESS,
            RunOutcome.UNKNOWN,
            message,
            IN_PROGRESS_RETRY_S,
        )
    if result.verdict is ClaimVerdict.UNKNOWN:
        message = "a call with this key may have run; it is not run again"
        return Refusal(
            request.call_id, RefusalReason.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN, message
        )
    message = "the key cannot be claimed now, so the call was not run"
    return make_refusal(
        request, RefusalReason.CLAIM_UNAVAILABLE, message, RETRY_AFTER_S
    )
