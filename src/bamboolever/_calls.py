"""Data types of calls: the request, reasons of refusal and the coordinator's actions.

The entry executes the actions, each of which describes one step of a call.
"""

from dataclasses import dataclass
from enum import Enum


class RunOutcome(Enum):
    """Whether a call ran, as far as is known.

    The values are sent to callers in the header ``X-Bamboolever-Outcome``.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Why a call was refused or failed.

    The values are the error codes in responses and label the counter ``refusals``.
    """

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    UNKNOWN_KEY = "unknown-api-key"
    SERVICE_NOT_ALLOWED = "service-not-allowed"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_ROUTE = "unknown-route"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_REUSED = "idempotency-key-reused"
    RATE = "rate-limit"
    QUEUE_FULL = "queue-full"
    SHED = "shed-low-priority"
    DEADLINE_QUEUED = "deadline-passed-in-queue"
    NO_UPSTREAM = "no-upstream"
    QUARANTINED = "request-quarantined"
    CLAIM_UNAVAILABLE = "claim-store-unavailable"
    IN_PROGRESS = "already-in-progress"
    OUTCOME_UNKNOWN = "earlier-outcome-unknown"
    NOT_READY = "entry-not-ready"
    UPSTREAM_LOST = "upstream-lost"
    TIMED_OUT = "timed-out"
    RETRIES_EXHAUSTED = "retries-exhausted"
    VERSION_GONE = "version-gone"


STATUS_BY_REASON: dict[RefusalReason, int] = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.SERVICE_NOT_ALLOWED: 403,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.KEY_REQUIRED: 400,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.RATE: 429,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.SHED: 503,
    RefusalReason.DEADLINE_QUEUED: 504,
    RefusalReason.NO_UPSTREAM: 503,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.CLAIM_UNAVAILABLE: 503,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.OUTCOME_UNKNOWN: 409,
    RefusalReason.NOT_READY: 503,
    RefusalReason.UPSTREAM_LOST: 502,
    RefusalReason.TIMED_OUT: 504,
    RefusalReason.RETRIES_EXHAUSTED: 502,
    RefusalReason.VERSION_GONE: 502,
}


@dataclass(frozen=True)
class CallRequest:
    """A parsed call, before its admission.

    Times are seconds of the entry's clock. ``idempotency_key`` is scoped to the
    workspace and service, or empty. ``body_digest`` covers the method, the service, the
    path and the body. ``prefix_key`` is a digest of the prompt's beginning, or empty.
    """

    call_id: int
    trace_id: str
    workspace: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    is_stream: bool
    is_idempotent: bool
    idempotency_key: str
    priority: int
    arrived_at: float
    deadline_at: float
    body_digest: str
    prefix_key: str = ""


@dataclass(frozen=True)
class Refusal:
    """Send an error as the final response of a call.

    ``outcome`` states whether the call may have run. ``retry_after_s`` is sent as the
    header ``Retry-After``; None leaves it out.
    """

    call_id: int
    reason: RefusalReason
    outcome: RunOutcome
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class Respond:
    """Send a complete response, which is final. ``version`` is empty if not known."""

    call_id: int
    status: int
    content_type: str
    body: bytes
    version: str = ""


@dataclass(frozen=True)
class StartStream:
    """Send the head of a streamed response."""

    call_id: int
    status: int
    content_type: str
    version: str


@dataclass(frozen=True)
class SendPiece:
    """Send a piece of a streamed response."""

    call_id: int
    data: bytes


@dataclass(frozen=True)
class FinishStream:
    """Send the terminal event of a streamed response and end it."""

    call_id: int


@dataclass(frozen=True)
class AbortStream:
    """Cut off a streamed response, so that the caller detects the failure."""

    call_id: int
    reason: RefusalReason
    outcome: RunOutcome


@dataclass(frozen=True)
class Dispatch:
    """Send an attempt of a call to an upstream's agent.

    For a stream that resumes, ``required_version`` is the version that it began with
    and ``resume_from`` the number of pieces already sent. For other calls they are
    empty and 0. ``is_suspect`` asks the agent to run the call alone.
    """

    attempt_id: int
    upstream_id: str
    request: CallRequest
    deadline_at: float
    required_version: str
    resume_from: int
    is_suspect: bool = False


@dataclass(frozen=True)
class CancelAttempt:
    """Cancel an attempt at an upstream's agent; its response is no longer needed."""

    attempt_id: int
    upstream_id: str


@dataclass(frozen=True)
class ClaimCall:
    """Claim the idempotency key of a non-idempotent call before its dispatch."""

    request: CallRequest


@dataclass(frozen=True)
class SettleClaim:
    """Record how a claimed call ended, or release its key if it did not run.

    ``status``, ``content_type`` and ``body`` are those of the response, if it ran.
    """

    request: CallRequest
    outcome: RunOutcome
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@dataclass(frozen=True)
class ShareQuarantine:
    """Make all entries quarantine a request that crashes upstreams."""

    body_digest: str


@dataclass(frozen=True)
class CountRetry:
    """Count a retry, with the reason of the failed attempt."""

    reason: str


CallAction = (
    Refusal
    | Respond
    | StartStream
    | SendPiece
    | FinishStream
    | AbortStream
    | Dispatch
    | CancelAttempt
    | ClaimCall
    | SettleClaim
    | ShareQuarantine
    | CountRetry
)
