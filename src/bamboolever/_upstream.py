"""Upstreams: the interface an agent needs of one, and its HTTP form."""

import http.client
import json
import urllib.parse
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, final

from bamboolever._activation import ServedModel

CONNECT_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 600.0
MAX_RESPONSE_BYTES = 8 * 2**20
TERMINAL_EVENT = b"data: [DONE]"


class UpstreamError(Exception):
    """Base of the upstream layer's errors."""


class UpstreamUnreachable(UpstreamError):
    """No connection was made; nothing was sent."""


class UpstreamBroken(UpstreamError):
    """The connection broke after something was sent."""


class OrderRefused(UpstreamError):
    """The upstream refused an order, or failed to carry it out."""


@dataclass(frozen=True)
class UpstreamCall:
    """One call as it is put to the upstream."""

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
    """Status and headers of an upstream's answer."""

    status: int
    content_type: str
    version: str


class ResponseSink(ABC):
    """Receives an answer while it arrives; called on the relaying thread."""

    @abstractmethod
    def on_connected(self, abort: Callable[[], None]) -> None:
        """Give a way to cut the connection from another thread."""

    @abstractmethod
    def on_head(self, head: ResponseHead) -> None:
        """The answer's head arrived."""

    @abstractmethod
    def on_piece(self, data: bytes) -> None:
        """A part of the body arrived."""


class Upstream(ABC):
    """What an agent needs of its upstream; methods block."""

    @abstractmethod
    def describe(self) -> ServedModel:
        """Return what is served. Raises `UpstreamError`."""

    @abstractmethod
    def stage_chunks(self, manifest_digest: str, chunks: Iterable[bytes]) -> None:
        """Hand over verified chunks in their order. Raises `UpstreamError`."""

    @abstractmethod
    def load(self, manifest_digest: str, version: str, fencing: int) -> None:
        """Order the staged version to be served. Raises `UpstreamError`."""

    @abstractmethod
    def relay(self, call: UpstreamCall, sink: ResponseSink) -> bool:
        """Run a call and feed ``sink``; return whether the answer is whole.

        Raises `UpstreamUnreachable` before anything was sent and
        `UpstreamBroken` after that.
        """


@final
class HttpUpstream(Upstream):
    """An upstream that speaks HTTP."""

    def __init__(self, url: str):
        parts = urllib.parse.urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80

    def describe(self) -> ServedModel:
        """See `Upstream.describe`."""
        content = self._order("GET", "/model", b"", CONNECT_TIMEOUT_S)
        try:
            return ServedModel(str(content["version"]), str(content["weights_digest"]))
        except (KeyError, TypeError) as error:
            raise UpstreamBroken("unreadable description") from error

    def stage_chunks(self, manifest_digest: str, chunks: Iterable[bytes]) -> None:
        """See `Upstream.stage_chunks`."""
        with self._connect(ORDER_TIMEOUT_S) as connection:
            for index, data in enumerate(chunks):
                path = f"/staging/{manifest_digest}/{index}"
                _exchange(connection, "PUT", path, data)

    def load(self, manifest_digest: str, version: str, fencing: int) -> None:
        """See `Upstream.load`."""
        order = {
            "manifest_digest": manifest_digest,
            "version": version,
            "fencing": fencing,
        }
        body = json.dumps(order).encode()
        self._order("POST", "/orders/load", body, ORDER_TIMEOUT_S)

    def relay(self, call: UpstreamCall, sink: ResponseSink) -> bool:
        """See `Upstream.relay`."""
        with self._connect(call.timeout_s) as connection:
            sock = connection.sock
            sink.on_connected(lambda: _abort(sock))
            try:
                connection.request(
                    call.method,
                    call.path,
                    body=_call_body(call),
                    headers=_headers(call),
                )
                response = connection.getresponse()
                sink.on_head(_read_head(response))
                if _is_event_stream(response):
                    return _relay_events(response, sink)
                return _relay_whole(response, sink)
            except (OSError, http.client.HTTPException, ValueError) as error:
                raise UpstreamBroken(f"{type(error).__name__}: {error}") from error

    def _order(self, method: str, path: str, body: bytes, timeout_s: float) -> Any:
        with self._connect(timeout_s) as connection:
            return _exchange(connection, method, path, body)

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


def _exchange(
    connection: http.client.HTTPConnection, method: str, path: str, body: bytes
) -> Any:
    try:
        connection.request(method, path, body=body or None)
        response = connection.getresponse()
        data = response.read(MAX_RESPONSE_BYTES)
    except (OSError, http.client.HTTPException) as error:
        raise UpstreamBroken(f"{method} {path}: {error}") from error
    if response.status != 200:
        raise OrderRefused(f"{method} {path}: status {response.status}")
    try:
        return json.loads(data)
    except ValueError as error:
        raise UpstreamBroken(f"{method} {path}: unreadable answer") from error


def _abort(sock: Any) -> None:
    try:
        sock.shutdown(2)
    except OSError:
        pass


def _call_body(call: UpstreamCall) -> bytes | None:
    if not call.resume_from:
        return call.body or None
    content = json.loads(call.body)
    content["resume_from"] = call.resume_from
    return json.dumps(content).encode()


def _headers(call: UpstreamCall) -> dict[str, str]:
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
    return ResponseHead(
        status=response.status,
        content_type=response.headers.get("Content-Type", ""),
        version=response.headers.get("X-Model-Version", ""),
    )


def _is_event_stream(response: http.client.HTTPResponse) -> bool:
    return response.headers.get("Content-Type", "").startswith("text/event-stream")


def _relay_events(response: http.client.HTTPResponse, sink: ResponseSink) -> bool:
    event = b""
    while line := response.readline(MAX_RESPONSE_BYTES):
        event += line
        if line.strip():
            continue
        if event.startswith(TERMINAL_EVENT):
            return True
        if event.strip():
            sink.on_piece(event)
        event = b""
    return False


def _relay_whole(response: http.client.HTTPResponse, sink: ResponseSink) -> bool:
    data = response.read(MAX_RESPONSE_BYTES + 1)
    if len(data) > MAX_RESPONSE_BYTES:
        raise UpstreamBroken("the answer is over the size limit")
    sink.on_piece(data)
    return True
