"""Serves staged pieces and manifests to other agents over HTTP.

Takes requests for pieces, some of them urgent, and decides in which order and at what
rate the pieces are sent.

Load pattern: a version is transferred while this agent's engine streams responses over
the same slow link. Pieces are sent in small slices below the link's rate, one piece
after another, so that the events of responses never queue behind them. Requests from a
region that lacks the piece go first, because every agent of that region waits for it.
"""

import collections
import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import final
from urllib.parse import quote, unquote

from bamboolever._task import IoTask
from bamboolever.daemons.manifestfetch import parse_manifest_target
from bamboolever.net.addresses import Address
from bamboolever.net.handlers import RequestHandler
from bamboolever.net.messages import Request
from bamboolever.net.numbers import parse_whole_number
from bamboolever.net.serverconnection import ServerConnection

logger = logging.getLogger(__name__)

PATH_PREFIX = "/pieces/"
URGENT_QUERY = "?urgent"
SLICE_BYTES = 4096
# Share of the link that pieces may use while the engine serves responses.
PIECE_LINK_SHARE = 0.88


class PieceSource(ABC):
    """What a `PieceHandler` serves."""

    @abstractmethod
    def read_piece(
        self,
        model: str,
        version: int,
        number: int,
        on_done: Callable[[bytes | None], None],
    ) -> None:
        """Read a piece; ``on_done`` is called with its bytes, or None without it."""

    @abstractmethod
    def serve_manifest(
        self, connection: ServerConnection, model: str, version: int | None
    ) -> None:
        """Respond with a manifest, now or later; version None is the newest."""

    @abstractmethod
    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Forget a request whose caller disconnected."""


def make_piece_request(
    address: Address, model: str, version: int, number: int, *, is_urgent: bool
) -> Request:
    """Return the HTTP request for a piece from another agent.

    ``is_urgent`` marks a request from a region that lacks the piece; it is served
    before others.
    """
    query = URGENT_QUERY if is_urgent else ""
    target = f"{PATH_PREFIX}{quote(model, safe='')}/{version}/{number}{query}"
    return Request(b"GET", target.encode(), ((b"Host", str(address).encode()),))


@dataclass
class _Upload:
    connection: ServerConnection
    data: bytes
    is_urgent: bool
    sent_bytes: int = 0


@final
class PieceHandler(RequestHandler):
    """Responds to requests with the piece or the manifest that they name, or 404.

    ``link_bytes_per_s`` 0 means unlimited. ``is_serving`` returns whether the engine
    shares the link; if not, pieces may use all of it.
    """

    def __init__(
        self,
        task: IoTask,
        source: PieceSource,
        link_bytes_per_s: float,
        is_serving: Callable[[], bool],
    ):
        self._task = task
        self._source = source
        self._bytes_per_s = link_bytes_per_s
        self._is_serving = is_serving
        self._uploads: collections.deque[_Upload] = collections.deque()
        self._is_sending = False
        self.sent_count = 0

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Called for each request: serves the manifest, or queues the piece."""
        target = request.target.decode("latin-1")
        manifest_name = parse_manifest_target(target)
        if manifest_name is not None:
            self._source.serve_manifest(connection, *manifest_name)
            return
        is_urgent = target.endswith(URGENT_QUERY)
        parsed = _parse_target(target.removesuffix(URGENT_QUERY))
        if parsed is None:
            connection.respond(404, [])
            return

        def on_read(data: bytes | None) -> None:
            if data is None:
                connection.respond(404, [])
                return
            self._enqueue(_Upload(connection, data, is_urgent=is_urgent))
            if not self._is_sending:
                self._is_sending = True
                self._send_slice()

        self._source.read_piece(*parsed, on_read)

    @property
    def upload_count(self) -> int:
        """Number of pieces that are being sent or queued."""
        return len(self._uploads)

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Called when the requesting agent disconnects: drops its requests."""
        self._source.on_caller_gone(connection)
        self._uploads = collections.deque(
            upload for upload in self._uploads if upload.connection is not connection
        )

    def on_rejected(self, status: int, reason: str) -> None:
        """Called for a malformed request: logs the reason."""
        logger.warning("piece request rejected", extra={"reason": reason})

    def _enqueue(self, upload: _Upload) -> None:
        position = len(self._uploads)
        while upload.is_urgent and position > 0:
            previous = self._uploads[position - 1]
            if previous.is_urgent or previous.sent_bytes:
                break
            position -= 1
        self._uploads.insert(position, upload)

    def _send_slice(self) -> None:
        if not self._uploads:
            self._is_sending = False
            return
        upload = self._uploads[0]
        size_bytes = len(upload.data) if self._bytes_per_s <= 0 else SLICE_BYTES
        part = upload.data[upload.sent_bytes : upload.sent_bytes + size_bytes]
        if not upload.connection.is_head_sent:
            upload.connection.start(200, [])
        upload.connection.send(part)
        upload.sent_bytes += len(part)
        if upload.sent_bytes >= len(upload.data):
            self._uploads.popleft()
            self.sent_count += 1
            upload.connection.finish()
        share = PIECE_LINK_SHARE if self._is_serving() else 1.0
        bytes_per_s = self._bytes_per_s * share
        delay_s = len(part) / bytes_per_s if bytes_per_s > 0 else 0.0
        self._task.call_later(delay_s, self._send_slice)


def _parse_target(target: str) -> tuple[str, int, int] | None:
    if not target.startswith(PATH_PREFIX):
        return None
    parts = target.removeprefix(PATH_PREFIX).split("/")
    if len(parts) != 3:
        return None
    version, number = (parse_whole_number(part.encode()) for part in parts[1:])
    if version is None or number is None:
        return None
    return unquote(parts[0]), version, number
