"""The interface between an agent and its upstream, and its HTTP implementation."""

import http.client
import json
import urllib.parse
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, final

from bamboolever._activation import ServedModel
from bamboolever._httpbody import read_body
from bamboolever.net.messages import is_valid_status

CONNECT_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 600.0
MAX_RESPONSE_BYTES = 8 * 2**20
MAX_EVENT_BYTES = 2**20
TERMINAL_EVENT = b"data: [DONE]"


class UpstreamError(Exception):
    """Base class of the errors of an upstream."""


class UpstreamUnreachable(UpstreamError):
    """No connection could be made, so nothing was sent."""


class UpstreamBroken(UpstreamError):
    """The connection or the response failed after something may have been sent."""


class OrderRefused(UpstreamError):
    """The upstream responded to the agent's request with a status other than 200."""


@dataclass(frozen=True)
class UpstreamCall:
    """One call to run at the upstream.

    ``resume_from`` is the number of events of a stream that the caller already has.
    ``dispatch_key`` identifies a non-idempotent call; it is empty otherwise.
    ``timeout_s`` limits each wait for the upstream.
    """

    method: str
    path: str
    content_type: str
    body: bytes
    is_stream: bool
    resume_from: int
    priority: int
    trace_id: str
    dispatch_key: str
    timeout_s: float


@dataclass(frozen=True)
class ResponseHead:
    """Status, content type and model version of an upstream's response."""

    status: int
    content_type: str
    version: str


class ResponseSink(ABC):
    """Receives a response while it arrives; called on the relaying thread."""

    @abstractmethod
    def on_connected(self, abort: Callable[[], None]) -> None:
        """Called once connected, before the call is sent.

        ``abort`` ends the connection and can be called from another thread.
        """

    @abstractmethod
    def on_head(self, head: ResponseHead) -> None:
        """Called when the head of the response arrived."""

    @abstractmethod
    def on_piece(self, data: bytes) -> None:
        """Called for each event of a stream, or once with the complete body."""


class Upstream(ABC):
    """The upstream of one agent; all methods block.

    Every method raises an `UpstreamError` on failure.
    """

    @abstractmethod
    def describe(self) -> ServedModel:
        """Return the version that is served and the digest of its weights."""

    @abstractmethod
    def stage_chunks(self, manifest_digest: str, chunks: Iterable[bytes]) -> None:
        """Send the verified chunks of a version to the upstream, in order."""

    @abstractmethod
    def load(self, manifest_digest: str, version: str, fencing: int) -> None:
        """Make the upstream load and serve a staged version.

        ``fencing`` is the fencing token of the rollout.
        """

    @abstractmethod
    def relay(self, call: UpstreamCall, sink: ResponseSink) -> bool:
        """Run a call and pass its response to ``sink`` while it arrives.

        Returns whether the response is complete. Raises `UpstreamUnreachable` if
        nothing was sent, and `UpstreamBroken` for a failure after that.
        """


@final
class HttpUpstream(Upstream):
    """An upstream that is reached over HTTP at ``url``."""

    def __init__(self, url: str):
        parts = urllib.parse.urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80

    def describe(self) -> ServedModel:
        """See `Upstream.describe`."""
        content = self._request("GET", "/model", b"", CONNECT_TIMEOUT_S)
        try:
            return ServedModel(str(content["version"]), str(content["weights_digest"]))
        except (KeyError, TypeError) as error:
            raise UpstreamBroken("invalid description of the served model") from error

    def stage_chunks(self, manifest_digest: str, chunks: Iterable[bytes]) -> None:
        """See `Upstream.stage_chunks`."""
        with self._connect(ORDER_TIMEOUT_S) as connection:
            for index, data in enumerate(chunks):
                path = f"/staging/{manifest_digest}/{index}"
                _send_request(connection, "PUT", path, data)

    def load(self, manifest_digest: str, version: str, fencing: int) -> None:
        """See `Upstream.load`."""
        order = {
            "manifest_digest": manifest_digest,
            "version": version,
            "fencing": fencing,
        }
        body = json.dumps(order).encode()
        self._request("POST", "/orders/load", body, ORDER_TIMEOUT_S)

    def relay(self, call: UpstreamCall, sink: ResponseSink) -> bool:
        """See `Upstream.relay`."""
        with self._connect(call.timeout_s) as connection:
            sock = connection.sock
            sink.on_connected(lambda: _shut_down_socket(sock))
            try:
                connection.request(
                    call.method,
                    call.path,
                    body=_make_body(call),
                    headers=_make_headers(call),
                )
                response = connection.getresponse()
                sink.on_head(_read_head(response))
                if _is_event_stream(response):
                    return _relay_events(response, sink)
                return _relay_body(response, sink)
            except (OSError, http.client.HTTPException, ValueError) as error:
                raise UpstreamBroken(f"{type(error).__name__}: {error}") from error

    def _request(self, method: str, path: str, body: bytes, timeout_s: float) -> Any:
        with self._connect(timeout_s) as connection:
            return _send_request(connection, method, path, body)

    @contextmanager
    def _connect(self, timeout_s: float) -> Iterator[http.client.HTTPConnection]:
        connection = http.client.HTTPConnection(
            self._host, self._port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            connection.connect()
        except OSError as error:
            raise UpstreamUnreachable(str(error)) from error
        if connection.sock is not None:
            connection.sock.settimeout(timeout_s)
        try:
            yield connection
        finally:
            connection.close()


def _send_request(
    connection: http.client.HTTPConnection, method: str, path: str, body: bytes
) -> Any:
    try:
        connection.request(method, path, body=body or None)
        response = connection.getresponse()
        data = read_body(response, MAX_RESPONSE_BYTES)
    except (OSError, http.client.HTTPException) as error:
        raise UpstreamBroken(f"{method} {path}: {error}") from error
    if response.status != 200:
        raise OrderRefused(f"{method} {path}: status {response.status}")
    try:
        return json.loads(data)
    except ValueError as error:
        raise UpstreamBroken(
            f"{method} {path}: the response is not valid JSON"
        ) from error


def _shut_down_socket(sock: Any) -> None:
    try:
        sock.shutdown(2)
    except OSError:
        pass


def _make_body(call: UpstreamCall) -> bytes | None:
    if not call.resume_from:
        return call.body or None
    content = json.loads(call.body)
    content["resume_from"] = call.resume_from
    return json.dumps(content).encode()


def _make_headers(call: UpstreamCall) -> dict[str, str]:
    headers = {
        "X-Trace-Id": call.trace_id,
        "X-Dispatch-Key": call.dispatch_key,
        "X-Priority": str(call.priority),
        "Connection": "close",
    }
    if call.content_type:
        headers["Content-Type"] = call.content_type
    return headers


def _read_head(response: http.client.HTTPResponse) -> ResponseHead:
    if not is_valid_status(response.status):
        raise UpstreamBroken(f"invalid status {response.status}")
    return ResponseHead(
        status=response.status,
        content_type=response.headers.get("Content-Type", ""),
        version=response.headers.get("X-Model-Version", ""),
    )


def _is_event_stream(response: http.client.HTTPResponse) -> bool:
    return response.headers.get("Content-Type", "").startswith("text/event-stream")


def _relay_events(response: http.client.HTTPResponse, sink: ResponseSink) -> bool:
    event = bytearray()
    while line := response.readline(MAX_EVENT_BYTES):
        event += line
        if len(event) > MAX_EVENT_BYTES:
            raise UpstreamBroken("an event is over the size limit")
        if line.strip():
            continue
        if event.startswith(TERMINAL_EVENT):
            return True
        if event.strip():
            sink.on_piece(bytes(event))
        event.clear()
    return False


def _relay_body(response: http.client.HTTPResponse, sink: ResponseSink) -> bool:
    data = read_body(response, MAX_RESPONSE_BYTES + 1)
    if len(data) > MAX_RESPONSE_BYTES:
        raise UpstreamBroken("the response is over the size limit")
    sink.on_piece(data)
    return True
