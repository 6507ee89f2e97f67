"""Decodes callers' requests and upstreams' responses, and builds forwarded ones."""

import re
from dataclasses import dataclass

from bamboolever.fleet.records import StatedLoad
from bamboolever.net.addresses import Address
from bamboolever.net.messages import (
    Header,
    Request,
    ResponseHead,
    strip_hop_by_hop_headers,
)
from bamboolever.net.numbers import parse_whole_number
from bamboolever.platform import names

_REPLACED_HEADERS = frozenset(
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
_KNOWN_HEADERS = frozenset(
    name.lower() for name in (*names.USED_HEADERS, *names.UNUSED_HEADERS)
)
_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503
# A float would also accept signs, exponents and words.
_DECIMAL = re.compile(rb"\s*[0-9]{1,15}(?:\.[0-9]{1,15})?\s*")
_COUNT = re.compile(rb"\s*[0-9]{1,9}\s*")
# The slowness that an upstream states while work takes as long as usual.
_USUAL_SLOWNESS = 100


class HeaderError(Exception):
    """Raised when a header does not have the form that the platform gives it."""


@dataclass(frozen=True)
class CallMetadata:
    """Routing data and header values of a caller's request.

    ``remaining_s`` is the number of seconds for which the caller still waits.
    ``shared_parts`` are the ids of the parts of the prompt that other requests may
    share: all but the last, in lower case. Values that are absent or do not decode are
    None; an absent host is empty.
    """

    attempt_id: bytes | None
    host: str
    target: str
    api_key: str | None
    remaining_s: float | None
    model: str | None = None
    prompt_tokens: int | None = None
    max_output_tokens: int | None = None
    last_event_id: bytes | None = None
    shared_parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class UpstreamHeaders:
    """Values of the headers that the entry sets on a forwarded request.

    ``remaining_s`` is the time in seconds until the call's deadline.
    ``last_event_id`` is set when a stream is resumed.
    """

    instance_id: str
    remaining_s: float
    workspace: str | None = None
    last_event_id: bytes | None = None


def decode_call(request: Request) -> CallMetadata:
    """Decode the headers of a caller's request."""
    prompt, output_tokens = _parse_token_counts(request.get(names.TOKEN_COUNTS.lower()))
    remaining_ms = _parse_non_negative(request.get(names.DEADLINE.lower()))
    model = request.get(names.MODEL.lower())
    return CallMetadata(
        attempt_id=request.get(names.ATTEMPT_ID.lower()),
        host=(request.get(b"host") or b"").decode("latin-1"),
        target=request.target.decode("latin-1"),
        api_key=_parse_api_key(request.get(names.AUTHORIZATION.lower())),
        remaining_s=None if remaining_ms is None else remaining_ms / 1000,
        model=None if model is None else model.decode("latin-1"),
        prompt_tokens=prompt,
        max_output_tokens=output_tokens,
        last_event_id=request.get(names.LAST_EVENT_ID.lower()),
        shared_parts=_parse_shared_parts(request.get(names.PREFIX.lower())),
    )


def forward_request(request: Request, upstream_headers: UpstreamHeaders) -> Request:
    """Return a caller's request as it is forwarded to an upstream.

    Hop-by-hop headers are removed, and so are the caller's API key and all headers
    that only the entry may set.
    """
    dropped = _REPLACED_HEADERS
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
    """Return the headers of an upstream's response that are sent to the caller."""
    return strip_hop_by_hop_headers(head.headers)


def is_signed(head: ResponseHead) -> bool:
    """Return whether the upstream signed its response."""
    return head.get(names.SIGNATURE.lower()) is not None


def is_not_executed(head: ResponseHead) -> bool:
    """Return whether the response states that the request was not executed.

    True for status 421, and for a response with the header that states it, unless its
    status is 2xx.
    """
    return head.status == _MISDIRECTED_STATUS or (
        head.get(names.NOT_EXECUTED.lower()) is not None and not head.is_success
    )


def is_misdirected(head: ResponseHead) -> bool:
    """Return whether another instance or version than the expected one responded."""
    return head.status == _MISDIRECTED_STATUS


def echoed_attempt_id(head: ResponseHead) -> bytes | None:
    """Return the attempt id that the response repeats, or None."""
    return head.get(names.ATTEMPT_ID.lower())


def response_version(head: ResponseHead) -> int | None:
    """Return the version of the weights that served the request, or None."""
    return parse_whole_number(head.get(names.WEIGHT_VERSION.lower()))


def is_upstream_leaving(head: ResponseHead) -> bool:
    """Return whether the response says that its upstream is shutting down."""
    return head.get(names.LEAVING.lower()) == b"1"


def upstream_retry_after_s(head: ResponseHead) -> float | None:
    """Return for how many seconds the upstream wants no requests from this instance.

    Returns None unless it rejected the request and named a time.
    """
    if head.status != _UNAVAILABLE_STATUS:
        return None
    return _parse_non_negative(head.get(names.RETRY_AFTER.lower()))


def states_limit(head: ResponseHead) -> bool:
    """Return whether the response says something of its upstream's limit.

    A rejection may come from another process, so it only does if it names a limit.
    """
    if is_misdirected(head):
        return False
    return is_signed(head) or head.get(names.LIMIT.lower()) is not None


def upstream_limit_per_s(head: ResponseHead) -> float | None:
    """Return how many requests a second the upstream takes from all entries.

    Returns None if it names no limit. Raises `HeaderError` if that is not a decimal
    number.
    """
    value = head.get(names.LIMIT.lower())
    if value is None:
        return None
    if _DECIMAL.fullmatch(value) is None:
        raise HeaderError(f"not a decimal number: {value[:40]!r}")
    return float(value)


def stated_load(head: ResponseHead) -> StatedLoad | None:
    """Return the load that the upstream states, or None if it states none.

    A response from another process than the expected one states nothing. Raises
    `HeaderError` unless there are three counts and, possibly, a positive slowness.
    """
    value = head.get(names.SERVER_LOAD.lower())
    if value is None or is_misdirected(head):
        return None
    counts, slowness = value.split(b",")[:3], value.split(b",")[3:]
    if len(counts) < 3 or len(slowness) > 1 or not all(map(_COUNT.fullmatch, counts)):
        raise HeaderError(f"not a load: {value[:40]!r}")
    running, waiting, slots = map(int, counts)
    if not slowness:
        return StatedLoad(running, waiting, slots)
    if _DECIMAL.fullmatch(slowness[0]) is None or float(slowness[0]) == 0:
        raise HeaderError(f"not a slowness: {value[:40]!r}")
    return StatedLoad(running, waiting, slots, float(slowness[0]) / _USUAL_SLOWNESS)


def find_unknown_headers(head: ResponseHead) -> list[Header]:
    """Return the platform's headers that this version does not know."""
    return [
        (name, value)
        for name, value in head.headers
        if name.lower().startswith(names.HEADER_PREFIXES)
        and name.lower() not in _KNOWN_HEADERS
    ]


def retry_after_header(delay_s: float) -> Header:
    """Return the header with the seconds after which a caller may retry."""
    return (names.RETRY_AFTER, f"{delay_s:.3f}".encode())


def attempt_header(attempt_id: bytes) -> Header:
    """Return the header with an attempt id."""
    return (names.ATTEMPT_ID, attempt_id)


def host_header(address: Address) -> Header:
    """Return the Host header of a request to ``address``."""
    return (b"Host", str(address).encode())


def _parse_api_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.strip().partition(b" ")
    if scheme.lower() != names.KEY_SCHEME or not key:
        # Another kind of credential is treated like an unknown key.
        return value.decode("latin-1")
    return key.strip().decode("latin-1")


def _parse_token_counts(value: bytes | None) -> tuple[int | None, int | None]:
    if value is None:
        return None, None
    parts = value.split(b",")
    if len(parts) != 2 or not all(map(_COUNT.fullmatch, parts)):
        return None, None
    return int(parts[0]), int(parts[1])


def _parse_shared_parts(value: bytes | None) -> tuple[str, ...]:
    if value is None:
        return ()
    parts = value.decode("latin-1").lower().split(",")
    ids = (part.partition(":")[0].strip() for part in parts[:-1])
    return tuple(dict.fromkeys(part_id for part_id in ids if part_id))


def _parse_non_negative(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None
