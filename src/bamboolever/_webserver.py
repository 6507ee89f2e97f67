"""A small HTTP server on `waitress` for the admin ports and the stand-ins."""

import json
import logging
import socket
import threading
import urllib.parse
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, final

from waitress.server import create_server

logger = logging.getLogger(__name__)

# Bodies stay in memory, since an instance has no disk to buffer them on.
MAX_BODY_BYTES = 64 * 2**20
LOOP_TIMEOUT_S = 1.0
RECEIVE_BYTES = 256 * 1024
STOP_TIMEOUT_S = 5.0
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(frozen=True)
class WebRequest:
    """A received request.

    Header names are in lower case. Of a repeated query parameter, the first value
    is kept.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class WebResponse:
    """A response to a request.

    ``body`` is sent with a Content-Length if it is bytes. An iterable of bytes is
    sent as it is produced.
    """

    status: int = 200
    body: bytes | Iterable[bytes] = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)

    @classmethod
    def from_json(cls, content: Any, *, status: int = 200) -> "WebResponse":
        """Return a response with ``content`` as JSON."""
        return cls(status=status, body=json.dumps(content).encode())


WebHandler = Callable[[WebRequest], WebResponse]


@final
class WebServer:
    """Serves HTTP requests with ``handler`` until it is stopped.

    The handler runs on a pool of ``threads`` threads. If it raises, the response
    has status 500. Port 0 chooses a free port; ``port`` is the one in use.
    """

    def __init__(self, host: str, port: int, handler: WebHandler, *, threads: int = 4):
        self._handler = handler
        self._server = create_server(
            self._handle_wsgi,
            host=host,
            port=port,
            threads=threads,
            asyncore_use_poll=True,
            inbuf_overflow=MAX_BODY_BYTES,
            outbuf_overflow=MAX_BODY_BYTES,
            max_request_body_size=MAX_BODY_BYTES,
            recv_bytes=RECEIVE_BYTES,
            clear_untrusted_proxy_headers=True,
            map={},
            ident=None,
        )
        self._is_stopping = False
        self._server.log_socket_errors = False
        self.port: int = self._server.effective_port
        self._thread = threading.Thread(
            target=self._run, name=f"web-{self.port}", daemon=True
        )

    def start(self) -> None:
        """Start to serve on a thread of its own."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listening socket and every connection."""
        self._is_stopping = True
        self._server.pull_trigger()
        if self._thread.is_alive() and self._thread is not threading.current_thread():
            self._thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self._is_stopping:
            self._server.asyncore.loop(
                timeout=LOOP_TIMEOUT_S, map=self._server._map, use_poll=True, count=1
            )
        # The trigger stays open. Worker threads that still run write to its file
        # descriptor, which the system could give to another socket once it is closed.
        for dispatcher in list(self._server._map.values()):
            if dispatcher is not self._server.trigger:
                _close_dispatcher(dispatcher)
        self._server.task_dispatcher.shutdown(cancel_pending=True, timeout=0.0)

    def _handle_wsgi(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        request = _read_request(environ)
        try:
            response = self._handler(request)
        except Exception:
            logger.exception("error while handling %s %s", request.method, request.path)
            response = WebResponse.from_json({"error": "internal error"}, status=500)
        headers = [("Content-Type", response.content_type), *response.headers.items()]
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
        reason_phrase = REASON_PHRASES.get(response.status, "Unknown")
        start_response(f"{response.status} {reason_phrase}", headers)
        if isinstance(response.body, bytes):
            return [response.body]
        return response.body


def _close_dispatcher(dispatcher: Any) -> None:
    try:
        dispatcher.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    dispatcher.del_channel()
    dispatcher.socket.close()


def _read_request(environ: dict[str, Any]) -> WebRequest:
    query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    headers["content-type"] = environ.get("CONTENT_TYPE", "")
    return WebRequest(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query={key: values[0] for key, values in query.items()},
        headers=headers,
        body=environ["wsgi.input"].read(),
    )
