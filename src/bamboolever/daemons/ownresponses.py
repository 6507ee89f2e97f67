"""Final responses that an entry makes itself, without an upstream's signature."""

from bamboolever.calls.dispatcher import RejectReason
from bamboolever.calls.retryafter import FINAL_REJECT_REASONS
from bamboolever.net.messages import Header
from bamboolever.net.serverconnection import ServerConnection
from bamboolever.platform import calls as wire

REJECTED_STATUS = 503
FAILED_STATUS = 502
TIMED_OUT_STATUS = 504
DEFAULT_RETRY_AFTER_S = 0.5


def respond_rejected(
    caller: ServerConnection,
    attempt_id: bytes | None,
    reason: RejectReason,
    retry_after_s: float | None,
) -> None:
    """State that the request has not run and when its caller may retry it.

    Nothing is said of a retry that would be rejected too.
    """
    headers = _attempt_headers(attempt_id)
    if reason not in FINAL_REJECT_REASONS:
        delay_s = DEFAULT_RETRY_AFTER_S if retry_after_s is None else retry_after_s
        headers.append(wire.retry_after_header(delay_s))
    caller.respond(REJECTED_STATUS, headers, reason.value.encode())


def respond_failed(caller: ServerConnection, attempt_id: bytes | None) -> None:
    """State that no complete response could be had; the request may have run."""
    caller.respond(FAILED_STATUS, _attempt_headers(attempt_id))


def respond_timed_out(caller: ServerConnection, attempt_id: bytes | None) -> None:
    """State that the time was over; the request may have run."""
    caller.respond(TIMED_OUT_STATUS, _attempt_headers(attempt_id))


def _attempt_headers(attempt_id: bytes | None) -> list[Header]:
    return [] if attempt_id is None else [wire.attempt_header(attempt_id)]
