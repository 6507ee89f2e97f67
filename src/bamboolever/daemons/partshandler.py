"""Lists and clears the suspected and blocked parts of prompts over HTTP.

`GET /blocked-parts` returns them as JSON. `DELETE /blocked-parts/NAME` clears one at
all entries, by its id or digest. Any other path gets the daemon's status.
"""

import json
from typing import final

from bamboolever.daemons.crashreports import CrashReports
from bamboolever.daemons.statushandler import StatusHandler
from bamboolever.net.handlers import RequestHandler
from bamboolever.net.messages import Header, Request
from bamboolever.net.serverconnection import ServerConnection

PARTS_PATH = b"/blocked-parts"

_JSON: Header = (b"Content-Type", b"application/json")
_ALLOW: Header = (b"Allow", b"GET, DELETE")


@final
class PartsHandler(RequestHandler):
    """Serves operators on an entry's metrics port; ``status`` serves the other paths.

    Methods are called on the entry's thread.
    """

    def __init__(self, crashes: CrashReports, status: StatusHandler):
        self._crashes = crashes
        self._status = status

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Called for each request: responds at once."""
        path, _, name = request.target.rpartition(b"/")
        if request.target == PARTS_PATH and request.method == b"GET":
            document = {"parts": self._crashes.charged_parts()}
            connection.respond(200, [_JSON], json.dumps(document).encode())
        elif path == PARTS_PATH and request.method == b"DELETE":
            self._clear(connection, name.decode("latin-1"))
        elif PARTS_PATH in (request.target, path):
            connection.respond(405, [_ALLOW])
        else:
            self._status.on_request(connection, request)

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Called when a caller disconnects: ignored, since no response is pending."""

    def on_rejected(self, status: int, reason: str) -> None:
        """Called for a malformed request: ignored, the response states the reason."""

    def _clear(self, connection: ServerConnection, name: str) -> None:
        if self._crashes.clear_by_name(name):
            connection.respond(204, [])
            return
        hint = (
            f"no part {name!r} is blocked or suspected here; see GET /blocked-parts\n"
        )
        connection.respond(404, [], hint.encode())
