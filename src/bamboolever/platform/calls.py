"""Decodes callers' requests and upstreams' answers; builds what is sent on."""

from dataclasses import dataclass

from bamboolever.net.addresses import Address
from bamboolever.net.messages import (
    Header,
    Request,
    ResponseHead,
    strip_hop_by_hop_headers,
)
from bamboolever.platform import names

_REPLACED = frozenset(
    name.lower()
    for name in (
        names.DEADLINE,
        names.WORKSPACE,
        names.EXPECTED_INSTANCE,
        names.EXPECTED_VERSION,
        names.REQUEST_PRIORITY,
        names.LAYER_PATH,
        names.AUTHORIZATION,
    )
)
_MISDIRECTED = 421


@dataclass(frozen=True)
class CallMetadata:
    """What a caller's request says beside its method, path and body."""

    attempt_id: bytes | None
    host: str
    target: str
    api_key: str | None
    deadline_s: float | None
    model: str | None = None
    prompt_tokens: int | None = None
    max_output_tokens: int | None = None
    last_event_id: bytes | None = None


@dataclass(frozen=True)
class UpstreamHeaders:
    """What the entry adds to a request that it passes on."""

    instance_id: str
    remaining_s: float
    workspace: str | None = None
    last_event_id: bytes | None = None


def decode_call(request: Request) -> CallMetadata:
    """Return what a caller's request says; unreadable values count as absent."""
    prompt, output = _token_counts(request.get(names.TOKEN_COUNTS.lower()))
    deadline_ms = _number(request.get(names.DEADLINE.lower()))
    model = request.get(names.MODEL.lower())
    return CallMetadata(
        attempt_id=request.get(names.ATTEMPT_ID.lower()),
        host=(request.get(b"host") or b"").decode("latin-1"),
        target=request.target.decode("latin-1"),
        api_key=_api_key(request.get(names.AUTHORIZATION.lower())),
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        model=None if model is None else model.decode("latin-1"),
        prompt_tokens=prompt,
        max_output_tokens=output,
        last_event_id=request.get(names.LAST_EVENT_ID.lower()),
    )


def forward_request(request: Request, upstream_headers: UpstreamHeaders) -> Request:
    """Return the request as it goes to an upstream."""
    dropped = _REPLACED
    if upstream_headers.last_event_id is not None:
        dropped = dropped | {names.LAST_EVENT_ID.lower()}
    headers: list[Header] = [
        (name, value)
        for name, value in strip_hop_by_hop_headers(request.headers)
        if name.lower() not in dropped
    ]
    remaining_ms = max(1, int(upstream_headers.remaining_s * 1000))
    headers.append((names.DEADLINE, str(remaining_ms).encode()))
    headers.append((names.EXPECTED_INSTANCE, upstream_headers.instance_id.encode()))
    if upstream_headers.workspace is not None:
        headers.append((names.WORKSPACE, upstream_headers.workspace.encode()))
    if upstream_headers.last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, upstream_headers.last_event_id))
    return Request(request.method, request.target, tuple(headers), request.body)


def response_headers(head: ResponseHead) -> list[Header]:
    """Return an upstream's headers as they go back to the caller."""
    return strip_hop_by_hop_headers(head.headers)


def is_signed(head: ResponseHead) -> bool:
    """Tell whether the upstream signed its answer."""
    return head.get(names.SIGNATURE.lower()) is not None


def is_not_executed(head: ResponseHead) -> bool:
    """Tell whether the answer says that the request has not run."""
    return head.status == _MISDIRECTED or (
        head.get(names.NOT_EXECUTED.lower()) is not None and not head.is_success
    )


def is_misdirected(head: ResponseHead) -> bool:
    """Tell whether another upstream or another version answered."""
    return head.status == _MISDIRECTED


def echoed_attempt_id(head: ResponseHead) -> bytes | None:
    """Return the attempt id that the answer repeats, or None."""
    return head.get(names.ATTEMPT_ID.lower())


def answered_version(head: ResponseHead) -> int | None:
    """Return the weight version that produced the answer, or None."""
    value = _number(head.get(names.WEIGHT_VERSION.lower()))
    return None if value is None else int(value)


def retry_after_header(delay_s: float) -> Header:
    """Return the header that tells a caller when to come back."""
    return (names.RETRY_AFTER, f"{delay_s:.3f}".encode())


def attempt_header(attempt_id: bytes) -> Header:
    """Return the header that repeats the attempt id to the caller."""
    return (names.ATTEMPT_ID, attempt_id)


def host_header(address: Address) -> Header:
    """Return the Host header of the project's own calls."""
    return (b"Host", str(address).encode())


def _api_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.strip().partition(b" ")
    if scheme.lower() != names.KEY_SCHEME or not key:
        # Any other credential is as unknown as a key that nobody holds.
        return value.decode("latin-1")
    return key.strip().decode("latin-1")


def _token_counts(value: bytes | None) -> tuple[int | None, int | None]:
    if value is None:
        return None, None
    parts = value.split(b",")
    if len(parts) != 2 or not all(part.strip().isdigit() for part in parts):
        return None, None
    return int(parts[0]), int(parts[1])


def _number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None
