"""Serves a daemon's readiness and metrics over HTTP."""

from collections.abc import Callable
from typing import final

from bamboolever.net.handlers import RequestHandler
from bamboolever.net.messages import Request
from bamboolever.net.serverconnection import ServerConnection

METRICS_PATH = b"/metrics"

_TEXT = (b"Content-Type", b"text/plain; charset=utf-8")


@final
class StatusHandler(RequestHandler):
    """Serves the daemon's readiness and its metrics.

    Requests for ``readiness_path`` get 200 or 503, those for `METRICS_PATH` metrics.
    """

    def __init__(
        self,
        readiness_path: bytes,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], str],
    ):
        self._readiness_path = readiness_path
        self._is_ready = is_ready
        self._render_metrics = render_metrics

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Called for each request: responds at once."""
        if request.target == self._readiness_path:
            connection.respond(200 if self._is_ready() else 503, [_TEXT])
            return
        if request.target == METRICS_PATH:
            connection.respond(200, [_TEXT], self._render_metrics().encode())
            return
        connection.respond(404, [_TEXT], b"unknown path\n")

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Called when a caller disconnects: ignored, since no response is pending."""

    def on_rejected(self, status: int, reason: str) -> None:
        """Called for a malformed request: ignored, the response states the reason."""
