"""Parses a caller's HTTP request into a `CallRequest`, or refuses it with a reason."""

import hashlib
import json
import uuid
from dataclasses import dataclass
from typing import Any

from bamboolever._callerhttp import CallerRequest
from bamboolever._calls import CallRequest, RefusalReason
from bamboolever._claims import MAX_KEY_BYTES
from bamboolever._documents import (
    CONTRACT_KIND,
    SERVICE_KIND,
    Contract,
    Route,
    ServiceDocument,
)
from bamboolever._feed import ConfigurationFeed

SERVICE_PREFIX = "/services/"
MODEL_PREFIX = "/v1/"
MAX_TRACE_ID_CHARS = 64
PROMPT_PREFIX_CHARS = 256
BEARER_PREFIX = "bearer "


class RequestRefused(Exception):
    """An HTTP request is not a valid call; ``reason`` becomes the error code."""

    def __init__(self, reason: RefusalReason, message: str):
        super().__init__(message)
        self.reason = reason


@dataclass(frozen=True)
class ParsedCall:
    """A call with the contract of its workspace and the document of its service."""

    request: CallRequest
    contract: Contract
    service: ServiceDocument


@dataclass(frozen=True)
class _Destination:
    service: str
    path: str
    is_stream: bool
    prefix_key: str


def index_api_keys(feed: ConfigurationFeed) -> dict[str, Contract]:
    """Return the contracts in force, by the hex SHA-256 digests of their API keys."""
    index: dict[str, Contract] = {}
    for _, document in feed.list_documents(CONTRACT_KIND):
        if isinstance(document, Contract):
            for digest in document.api_key_sha256:
                index[digest] = document
    return index


def parse_call(
    received: CallerRequest,
    *,
    call_id: int,
    contracts: dict[str, Contract],
    feed: ConfigurationFeed,
    now: float,
) -> ParsedCall:
    """Return the call that an HTTP request describes.

    ``contracts`` is the result of `index_api_keys`. ``now`` is in seconds of the
    entry's clock; the deadline counts from it.

    Raises `RequestRefused` if the request is not a valid call. Nothing was dispatched
    then.
    """
    contract = _find_contract(received, contracts)
    if len(received.body) > contract.max_body:
        message = f"the body is over the contract's {contract.max_body} bytes"
        raise RequestRefused(RefusalReason.BODY_TOO_LARGE, message)
    destination = _find_destination(received)
    document = feed.get(SERVICE_KIND, destination.service)
    if not isinstance(document, ServiceDocument):
        message = f"no service or model is named {destination.service[:80]!r}"
        raise RequestRefused(RefusalReason.UNKNOWN_SERVICE, message)
    if destination.service not in contract.services:
        message = f"the contract does not allow the service {destination.service!r}"
        raise RequestRefused(RefusalReason.SERVICE_NOT_ALLOWED, message)
    route = _find_route(document, received.method, destination.path)
    key = _read_key(received, route)
    body_digest = _digest_call(received.method, destination, received.body)
    scoped_key = f"{contract.workspace}/{document.name}/{key}" if key else ""
    request = CallRequest(
        call_id=call_id,
        trace_id=_read_trace_id(received),
        workspace=contract.workspace,
        service=document.name,
        method=received.method,
        path=destination.path,
        content_type=received.headers.get("content-type", "")[:200],
        body=received.body,
        is_stream=destination.is_stream,
        is_idempotent=route.idempotent,
        idempotency_key=scoped_key,
        priority=contract.priority,
        arrived_at=now,
        deadline_at=now + _read_timeout(received, contract),
        body_digest=body_digest,
        prefix_key=destination.prefix_key,
    )
    return ParsedCall(request, contract, document)


def _find_contract(received: CallerRequest, contracts: dict[str, Contract]) -> Contract:
    header = received.headers.get("authorization", "")
    if not header.lower().startswith(BEARER_PREFIX):
        message = "send the workspace's API key as 'Authorization: Bearer KEY'"
        raise RequestRefused(RefusalReason.UNKNOWN_KEY, message)
    key = header[len(BEARER_PREFIX) :].strip()
    contract = contracts.get(hashlib.sha256(key.encode("latin-1")).hexdigest())
    if contract is None:
        raise RequestRefused(
            RefusalReason.UNKNOWN_KEY, "this API key belongs to no workspace"
        )
    return contract


def _find_destination(received: CallerRequest) -> _Destination:
    path = received.path.split("?", 1)[0]
    if path.startswith(SERVICE_PREFIX):
        service, _, rest = path[len(SERVICE_PREFIX) :].partition("/")
        return _Destination(service, f"/{rest}", False, "")
    if not path.startswith(MODEL_PREFIX):
        message = "use /v1/... for models or /services/NAME/... for plain services"
        raise RequestRefused(RefusalReason.UNKNOWN_ROUTE, message)
    content = _read_json(received.body)
    model = content.get("model")
    if not isinstance(model, str):
        raise RequestRefused(
            RefusalReason.BAD_REQUEST, 'the body needs "model", a string'
        )
    is_stream = content.get("stream", False)
    if not isinstance(is_stream, bool):
        raise RequestRefused(
            RefusalReason.BAD_REQUEST, '"stream" must be true or false'
        )
    if "resume_from" in content:
        raise RequestRefused(
            RefusalReason.BAD_REQUEST, '"resume_from" is not for callers'
        )
    prompt = content.get("prompt", content.get("messages", ""))
    prefix = json.dumps(prompt)[:PROMPT_PREFIX_CHARS]
    prefix_key = hashlib.blake2b(prefix.encode(), digest_size=8).hexdigest()
    return _Destination(model, path, is_stream, prefix_key)


def _read_json(body: bytes) -> dict[str, Any]:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise RequestRefused(
            RefusalReason.BAD_REQUEST, "the body is no JSON"
        ) from error
    if not isinstance(content, dict):
        raise RequestRefused(
            RefusalReason.BAD_REQUEST, "the body must be a JSON object"
        )
    return content


def _find_route(service: ServiceDocument, method: str, path: str) -> Route:
    for route in service.routes:
        if route.method != method:
            continue
        if route.path == path:
            return route
        if route.path.endswith("/*") and path.startswith(route.path[:-1]):
            return route
    message = f"{service.name} has no route {method} {path[:80]}"
    raise RequestRefused(RefusalReason.UNKNOWN_ROUTE, message)


def _read_key(received: CallerRequest, route: Route) -> str:
    key = received.headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_BYTES or not key.isprintable():
        message = f"an Idempotency-Key has at most {MAX_KEY_BYTES} printable bytes"
        raise RequestRefused(RefusalReason.BAD_REQUEST, message)
    if not key and not route.idempotent and route.require_key:
        message = "this route runs at most once; send an Idempotency-Key header"
        raise RequestRefused(RefusalReason.KEY_REQUIRED, message)
    return key


def _read_timeout(received: CallerRequest, contract: Contract) -> float:
    text = received.headers.get("x-timeout-ms")
    if text is None:
        return contract.deadline
    if not (text.isascii() and text.isdigit() and len(text) <= 9 and int(text) > 0):
        message = "X-Timeout-Ms must be a whole number of milliseconds above zero"
        raise RequestRefused(RefusalReason.BAD_REQUEST, message)
    return min(contract.deadline, int(text) / 1000.0)


def _read_trace_id(received: CallerRequest) -> str:
    trace_id = received.headers.get("x-request-id", "")
    if trace_id and len(trace_id) <= MAX_TRACE_ID_CHARS and trace_id.isprintable():
        return trace_id
    return uuid.uuid4().hex


def _digest_call(method: str, destination: _Destination, body: bytes) -> str:
    digest = hashlib.sha256()
    for part in (method, destination.service, destination.path):
        digest.update(part.encode() + b"\0")
    digest.update(body)
    return digest.hexdigest()
