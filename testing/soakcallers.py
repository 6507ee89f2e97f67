"""Callers of a soak: some send their requests in parts."""

import contextlib
import http.client
import select
import threading
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

from sitebuilders import make_headers, make_stream_headers

CALLER_TIMEOUT_S = 8.0
RECONNECT_S = 0.05
PATHS = ("/stream/1", "/orders/1", "/lookup/1")
BODY_PARTS = (b"bo", b"d", b"y")
MAX_PART_GAP_S = 1.2


@dataclass(frozen=True)
class Outcome:
    """What a caller saw of one request; ``status`` is None without a response.

    Times are seconds of the monotonic clock: the request was sent from ``begun_at`` to
    ``sent_at``; its connection was opened before that, at ``connected_at``. ``error``
    names what ended a response that is not complete.
    """

    entry: str
    path: str
    attempt: str
    connected_at: float
    begun_at: float
    sent_at: float
    ended_at: float
    status: int | None
    is_complete: bool
    body: bytes = b""
    error: str = ""


class EarlyResponse(Exception):
    """The entry has answered, or ended the connection, before it had all parts."""


class Caller(ABC):
    """Sends one request after the other to its entry, on an open connection."""

    def __init__(self, entry, rng, stopped):
        self._entry = entry
        self._rng = rng
        self._stopped = stopped
        self._connection = entry.connect()
        self._connected_at = 0.0
        self.outcomes = []
        self.thread = threading.Thread(target=self._run, daemon=True)

    @abstractmethod
    def _send(self, path, headers):
        """Send a request.

        Raises `OSError` if the connection fails meanwhile, and `EarlyResponse` if
        nothing more is to be sent.
        """

    def _run(self):
        while not self._stopped.is_set():
            outcome = self.call(self._rng.choice(PATHS))
            if outcome is not None:
                self.outcomes.append(outcome)
            if outcome is None or not outcome.is_complete:
                self._connection.close()
                self._stopped.wait(RECONNECT_S)

    def connect(self):
        """Open a connection; raises `OSError` if the entry can't be reached."""
        self._connected_at = time.monotonic()
        self._connection.connect()

    def call(self, path):
        """Return the outcome of one request, None if the entry can't be reached."""
        changes = make_stream_headers() if path.startswith("/stream/") else {}
        headers = make_headers(**changes)
        try:
            if self._connection.sock is None:
                self.connect()
        except OSError:
            return None
        begun_at = time.monotonic()
        sent_at = begun_at
        status, is_complete, body, error = None, False, b"", ""
        try:
            with contextlib.suppress(EarlyResponse):
                self._send(path, headers)
            sent_at = time.monotonic()
            response = self._connection.getresponse()
            status = response.status
            body = response.read()
            is_complete = True
        except http.client.IncompleteRead as failure:
            body, error = failure.partial, "cut"
        except (OSError, http.client.HTTPException) as failure:
            error = type(failure).__name__
        return Outcome(
            self._entry.name,
            path,
            headers["Bamboolever-Attempt-Id"],
            self._connected_at,
            begun_at,
            sent_at,
            time.monotonic(),
            status,
            is_complete,
            body,
            error,
        )


class PromptCaller(Caller):
    """Sends each request at once."""

    def _send(self, path, headers):
        self._connection.request("POST", path, b"body", headers)


class SlowCaller(Caller):
    """Sends the body of each request in parts, with pauses.

    It reads a response that comes in a pause, and sends no more.
    """

    def _body(self):
        for part in BODY_PARTS:
            pause_s = self._rng.uniform(0.0, MAX_PART_GAP_S)
            readable, _, _ = select.select([self._connection.sock], [], [], pause_s)
            if readable:
                raise EarlyResponse
            yield part


class ChunkingCaller(SlowCaller):
    """Sends parts as chunks."""

    def _send(self, path, headers):
        self._connection.request(
            "POST", path, self._body(), headers, encode_chunked=True
        )


class PausingCaller(SlowCaller):
    """Sends parts of a body whose length it has stated."""

    def _send(self, path, headers):
        length = str(sum(len(part) for part in BODY_PARTS))
        headers = {**headers, "Content-Length": length}
        self._connection.request("POST", path, self._body(), headers)


CALLER_TYPES = (PromptCaller, PromptCaller, PromptCaller, ChunkingCaller, PausingCaller)
