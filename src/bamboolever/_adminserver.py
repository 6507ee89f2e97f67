"""Serves a daemon's liveness, readiness, metrics and status on its admin port."""

import hmac
from abc import ABC, abstractmethod
from typing import Any, final

from bamboolever._kernel import Kernel, Service
from bamboolever._telemetry import Telemetry
from bamboolever._webserver import WebRequest, WebResponse, WebServer

ADMIN_THREAD_COUNT = 2
BEARER_PREFIX = "Bearer "


class Inspectable(ABC):
    """A daemon that the admin server can inspect.

    The methods are called on the server's threads, once per request.
    """

    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether the daemon accepts new calls."""

    @abstractmethod
    def read_status(self) -> dict[str, Any]:
        """Return the daemon's state as a JSON-serializable dictionary."""

    @abstractmethod
    def read_telemetry(self) -> Telemetry:
        """Return the metrics of the daemon's process."""


@final
class AdminServer(Service):
    """Serves the state of an `Inspectable` over HTTP.

    ``/live`` and ``/ready`` are for the platform's probes and need no authorization.
    ``/metrics`` and ``/status`` need one of the shared keys as a bearer token.
    """

    def __init__(self, host: str, port: int, target: Inspectable, keys: list[str]):
        self._target = target
        self._keys = keys
        self._server = WebServer(host, port, self._handle, threads=ADMIN_THREAD_COUNT)

    @property
    def name(self) -> str:
        """See `Service.name`."""
        return "admin-port"

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._server.port

    def start(self, kernel: Kernel) -> None:
        """See `Service.start`."""
        self._server.start()

    def stop(self) -> None:
        """See `Service.stop`."""
        self._server.stop()

    def _handle(self, request: WebRequest) -> WebResponse:
        if request.method != "GET":
            return WebResponse.from_json({"error": "use GET"}, status=405)
        if request.path == "/live":
            return WebResponse.from_json({"live": True})
        if request.path == "/ready":
            is_ready = self._target.is_ready()
            status = 200 if is_ready else 503
            return WebResponse.from_json({"ready": is_ready}, status=status)
        if not self._is_authorized(request):
            return WebResponse.from_json({"error": "shared key needed"}, status=401)
        if request.path == "/metrics":
            text = self._target.read_telemetry().render_text().encode()
            return WebResponse(200, text, "text/plain; version=0.0.4")
        if request.path == "/status":
            return WebResponse.from_json(self._target.read_status())
        return WebResponse.from_json({"error": "unknown path"}, status=404)

    def _is_authorized(self, request: WebRequest) -> bool:
        given = request.headers.get("authorization", "")
        return any(
            hmac.compare_digest(given.encode(), f"{BEARER_PREFIX}{key}".encode())
            for key in self._keys
        )
