"""Messages about calls: what arrives, what is decided, how calls are refused."""

from dataclasses import dataclass
from enum import Enum


class RunOutcome(Enum):
    """What is known of a call that ended; values stand in responses."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Why a call was refused or failed; each has a counter."""

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
    """One admitted-to-be call; times are seconds of the entry's clock."""

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
    """The final answer of a call that gave none of its own."""

    call_id: int
    reason: RefusalReason
    outcome: RunOutcome
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class Respond:
    """Send a whole response."""

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
    """Send one event of a streamed response."""

    call_id: int
    data: bytes


@dataclass(frozen=True)
class FinishStream:
    """Send the terminal event and end the response."""

    call_id: int


@dataclass(frozen=True)
class AbortStream:
    """End a streamed response so that the caller sees a failure."""

    call_id: int
    reason: RefusalReason
    outcome: RunOutcome


@dataclass(frozen=True)
class Dispatch:
    """Send an attempt to an upstream's agent."""

    attempt_id: int
    upstream_id: str
    request: CallRequest
    deadline_at: float
    required_version: str
    resume_from: int
    is_suspect: bool = False


@dataclass(frozen=True)
class CancelAttempt:
    """Tell an agent that an attempt's answer is no longer wanted."""

    attempt_id: int
    upstream_id: str


@dataclass(frozen=True)
class ClaimCall:
    """Claim a non-idempotent call's key before its only dispatch."""

    request: CallRequest


@dataclass(frozen=True)
class SettleClaim:
    """Record how a claimed call ended; NOT_RUN gives the key back."""

    request: CallRequest
    outcome: RunOutcome
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@dataclass(frozen=True)
class ShareQuarantine:
    """Tell the other entries of a request that crashes upstreams."""

    body_digest: str


@dataclass(frozen=True)
class CountRetry:
    """Count a retry by its reason."""

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
