"""A stand-in of an upstream: a plain service or a model engine.

It answers requests with a signature, streams events, stages pieces and takes
orders. Behaviours, one for each next request, make it fail in given ways.
"""

import collections
import hashlib
import json
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, final
from urllib.parse import parse_qs, unquote, urlsplit

from bamboolever._task import IoTask
from bamboolever.net.addresses import Address
from bamboolever.net.handlers import HttpLimits, RequestHandler
from bamboolever.net.messages import Header, Request
from bamboolever.net.server import HttpServer, ServerConnection
from bamboolever.platform import names

EVENT_GAP_S = 0.01
EVENT_COUNT = 5
MODEL = "model-1"
LAYERS = 4


class Behaviour(Enum):
    """How the next request is answered."""

    SOUND = "sound"
    NOT_EXECUTED = "not-executed"
    ERROR = "error"
    UNSIGNED = "unsigned"
    OTHER_ATTEMPT = "other-attempt"
    CUT = "cut"
    CUT_MID_STREAM = "cut-mid-stream"
    MUTE = "mute"
    MUTE_MID_STREAM = "mute-mid-stream"


@dataclass
class ReceivedRequest:
    """A request that this upstream received and whether it executed it."""

    request: Request
    has_run: bool
    is_cancelled: bool = False


@dataclass
class EngineState:
    """What a model engine holds."""

    version: int | None = 1
    staged: dict[int, bytes] = field(default_factory=dict)
    order_count: int = 0
    started_ms: int = 1


@final
class StandInUpstream(RequestHandler):
    """Serves on a task of its own; ``engine`` is None for a plain service."""

    def __init__(
        self,
        address: Address,
        instance_id: str,
        *,
        engine: EngineState | None = None,
        load_s: float = 0.05,
    ):
        self.task = IoTask(f"stand-in {instance_id}")
        self._server = HttpServer(
            self.task, address, self, HttpLimits(), max_connections=256
        )
        self.address = self._server.address
        self.instance_id = instance_id
        self.engine = engine
        self._load_s = load_s
        self._is_loading = False
        self.received_requests: list[ReceivedRequest] = []
        self.behaviours: collections.deque[Behaviour] = collections.deque()

    def start(self) -> None:
        """Serve on a thread of its own."""
        self._server.start()
        self.task.start()

    def stop(self) -> None:
        """Close every connection and end the thread."""
        self.task.send(self._server.close)
        self.task.stop()

    def list_executed_attempts(self) -> list[bytes]:
        """Return the ids of the executed attempts, oldest first."""
        return [
            _attempt(item.request) for item in self.received_requests if item.has_run
        ]

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Answer one request."""
        path = urlsplit(request.target.decode("latin-1")).path
        if path.startswith("/-/"):
            self._answer_engine_call(connection, request, path)
            return
        self._answer_call(connection, request)

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Mark the last request as cancelled."""
        if self.received_requests:
            self.received_requests[-1].is_cancelled = True

    def on_rejected(self, status: int, reason: str) -> None:
        """Ignore malformed requests."""

    # Calls.

    def _answer_call(self, connection: ServerConnection, request: Request) -> None:
        behaviour = self.behaviours.popleft() if self.behaviours else Behaviour.SOUND
        expected = request.get(names.EXPECTED_INSTANCE.lower())
        if expected is not None and expected != self.instance_id.encode():
            self.received_requests.append(ReceivedRequest(request, has_run=False))
            headers = [(names.INSTANCE_ID, self.instance_id.encode())]
            connection.respond(421, headers)
            return
        if behaviour is Behaviour.NOT_EXECUTED or self._is_loading:
            self.received_requests.append(ReceivedRequest(request, has_run=False))
            connection.respond(503, [(names.NOT_EXECUTED, b"1"), self._echo(request)])
            return
        self.received_requests.append(ReceivedRequest(request, has_run=True))
        if behaviour is Behaviour.MUTE:
            return
        if behaviour is Behaviour.CUT:
            connection.abort()
            return
        if behaviour is Behaviour.ERROR:
            connection.respond(500, self._headers(request), b"failed")
            return
        self._serve(connection, request, behaviour)

    def _serve(
        self, connection: ServerConnection, request: Request, behaviour: Behaviour
    ) -> None:
        headers = self._headers(request)
        if behaviour is Behaviour.UNSIGNED:
            headers = [self._echo(request)]
        if behaviour is Behaviour.OTHER_ATTEMPT:
            headers[0] = (names.ATTEMPT_ID, b"another")
        if request.get(names.MODEL.lower()) is None:
            connection.respond(200, headers, b"answer to " + _attempt(request))
            return
        connection.start(200, [*headers, (b"Content-Type", b"text/event-stream")])
        first = int(request.get(names.LAST_EVENT_ID.lower()) or b"0") + 1
        self._send_event(connection, first, behaviour)

    def _send_event(
        self, connection: ServerConnection, number: int, behaviour: Behaviour
    ) -> None:
        if not connection.is_response_due:
            return
        if number == 3 and behaviour is Behaviour.CUT_MID_STREAM:
            connection.send(b"id: 3\nda")
            connection.abort()
            return
        if number == 3 and behaviour is Behaviour.MUTE_MID_STREAM:
            return
        if number > EVENT_COUNT:
            connection.finish()
            return
        connection.send(f"id: {number}\ndata: token {number}\n\n".encode())
        self.task.call_later(
            EVENT_GAP_S, lambda: self._send_event(connection, number + 1, behaviour)
        )

    def _headers(self, request: Request) -> list[Header]:
        headers = [self._echo(request), (names.SIGNATURE, b"signed")]
        if self.engine is not None and self.engine.version is not None:
            version = str(self.engine.version).encode()
            headers.append((names.WEIGHT_VERSION, version))
        return headers

    def _echo(self, request: Request) -> Header:
        return (names.ATTEMPT_ID, _attempt(request))

    # Engine calls.

    def _answer_engine_call(
        self, connection: ServerConnection, request: Request, path: str
    ) -> None:
        engine = self.engine
        if engine is None:
            connection.respond(404, [])
            return
        query = parse_qs(urlsplit(request.target.decode("latin-1")).query)
        if path.encode() == names.REPORT_PATH:
            connection.respond(200, [], json.dumps(self._report(engine)).encode())
        elif path.encode() == names.ORDER_PATH:
            self._order(connection, engine, json.loads(request.body))
        elif path.startswith(names.STAGE_PUT_PATH):
            engine.staged[int(query["number"][0])] = request.body
            connection.respond(200, [])
        elif path.startswith(names.STAGE_GET_PATH) and "number" in query:
            data = engine.staged.get(int(query["number"][0]))
            connection.respond(404 if data is None else 200, [], data or b"")
        elif path.startswith(names.STAGE_GET_PATH):
            held = {"held": sorted(engine.staged)}
            connection.respond(200, [], json.dumps(held).encode())
        else:
            connection.respond(404, [])

    def _report(self, engine: EngineState) -> dict[str, Any]:
        models = []
        if engine.version is not None:
            models = [{"name": MODEL, "version": engine.version, "adapters": []}]
        return {
            "stage": "both",
            "models": models,
            "layers": {"from": 0, "to": LAYERS, "version": engine.version or 0},
            "busy": self._is_loading,
            "sequence": engine.order_count,
            "queued": 0,
            "running": 0,
            "born": engine.started_ms,
        }

    def _order(
        self, connection: ServerConnection, engine: EngineState, order: dict[str, Any]
    ) -> None:
        engine.order_count += 1
        self._is_loading = True
        self.task.call_later(
            self._load_s, lambda: self._loaded(engine, order["version"])
        )
        connection.respond(202, [])

    def _loaded(self, engine: EngineState, version: int) -> None:
        engine.version = version
        self._is_loading = False


@final
class StandInOrigin(RequestHandler):
    """Serves the manifest and the pieces of versions."""

    def __init__(self, address: Address, pieces: int, piece_bytes: int):
        self.task = IoTask("stand-in origin")
        self._server = HttpServer(
            self.task, address, self, HttpLimits(), max_connections=256
        )
        self.address = self._server.address
        self._pieces = pieces
        self._piece_bytes = piece_bytes
        self.newest_version = 1
        self.served_pieces: list[tuple[int, int]] = []
        self.pieces_to_corrupt = 0

    def start(self) -> None:
        """Serve on a thread of its own."""
        self._server.start()
        self.task.start()

    def stop(self) -> None:
        """Close every connection and end the thread."""
        self.task.send(self._server.close)
        self.task.stop()

    def piece(self, version: int, number: int) -> bytes:
        """Return the true bytes of a piece."""
        seed = f"{version}:{number}:".encode()
        return (seed * (self._piece_bytes // len(seed) + 1))[: self._piece_bytes]

    def pieces_by_number(self, version: int) -> dict[int, bytes]:
        """Return all pieces of a version by their number."""
        return {number: self.piece(version, number) for number in range(self._pieces)}

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Answer for a manifest or a piece."""
        parts = urlsplit(request.target.decode("latin-1"))
        query = parse_qs(parts.query)
        version = int(query.get("version", [str(self.newest_version)])[0])
        if parts.path.startswith(names.MANIFEST_PATH):
            model = unquote(parts.path.removeprefix(names.MANIFEST_PATH))
            connection.respond(200, [], self._manifest(model, version))
            return
        number = int(query["number"][0])
        self.served_pieces.append((version, number))
        data = self.piece(version, number)
        if self.pieces_to_corrupt > 0:
            self.pieces_to_corrupt -= 1
            data = b"x" + data[1:]
        connection.respond(200, [], data)

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Ignore: answers are given at once."""

    def on_rejected(self, status: int, reason: str) -> None:
        """Ignore malformed requests."""

    def _manifest(self, model: str, version: int) -> bytes:
        digests = [
            hashlib.sha256(self.piece(version, number)).hexdigest()
            for number in range(self._pieces)
        ]
        document = {
            "model": model,
            "version": version,
            "chunkBytes": self._piece_bytes,
            "layers": LAYERS,
            "digests": digests,
        }
        return json.dumps(document).encode()


def _attempt(request: Request) -> bytes:
    return request.get(names.ATTEMPT_ID.lower()) or b""
