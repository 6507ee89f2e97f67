"""Stand-ins for upstreams (plain services and model engines) and a weight origin.

An upstream signs its responses. An engine also streams events, stages pieces and
accepts orders. Tests queue behaviours that make the next calls fail.
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
from bamboolever.net.server import HttpServer
from bamboolever.net.serverconnection import ServerConnection
from bamboolever.platform import names

EVENT_GAP_S = 0.01
EVENT_COUNT = 5
# A sound engine pauses so long when it has to read a request again.
PAUSE_S = 1.9
MODEL = "model-1"
LAYER_COUNT = 4


class Behaviour(Enum):
    """How the upstream responds to one request.

    SOUND: with a success. NOT_EXECUTED: with a 503 that states that the request was
    not executed. RETRY_LATER: the same, with a Retry-After. ERROR: with a 500.
    UNSIGNED: with a success without a signature.
    OTHER_ATTEMPT: with another attempt's id. CUT: it closes the connection. MUTE: it
    does not respond. CUT_MID_STREAM: it closes the connection within the third event
    of a stream. MUTE_MID_STREAM: it sends two events and no more. PAUSE_MID_STREAM: it
    pauses for `PAUSE_S` before the third, or before the first of a resumed stream. All
    but NOT_EXECUTED and RETRY_LATER count as executed.
    """

    SOUND = "sound"
    NOT_EXECUTED = "not-executed"
    RETRY_LATER = "retry-later"
    ERROR = "error"
    UNSIGNED = "unsigned"
    OTHER_ATTEMPT = "other-attempt"
    CUT = "cut"
    CUT_MID_STREAM = "cut-mid-stream"
    MUTE = "mute"
    MUTE_MID_STREAM = "mute-mid-stream"
    PAUSE_MID_STREAM = "pause-mid-stream"


@dataclass
class ReceivedRequest:
    """A request, whether it was executed and whether its caller disconnected.

    It arrived at ``arrived_at``, in seconds of the upstream's task.
    """

    request: Request
    has_run: bool
    arrived_at: float
    is_cancelled: bool = False


@dataclass
class EngineState:
    """The state of a model engine: loaded version, staged pieces and orders.

    Without a version no weights are loaded. ``started_ms`` is the start time in
    milliseconds; a test changes it to simulate a restart.
    """

    version: int | None = 1
    staged: dict[int, bytes] = field(default_factory=dict)
    order_count: int = 0
    started_ms: int = 1


@final
class StandInUpstream(RequestHandler):
    """An upstream on its own task; ``engine`` is None for a plain service.

    ``behaviours`` holds the behaviours for the next calls, in order; further calls
    succeed. While ``is_leaving``, responses say so; ``limit`` is the limit that they
    name. ``extra_headers`` are added to all of them. The events of a stream come
    ``event_gap_s`` seconds apart. An order takes ``load_s`` seconds,
    during which no calls are executed. A request whose prompt has ``crashing_part``
    among its parts ends the upstream as soon as its response has begun.
    """

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
        self.is_leaving = False
        self.event_gap_s = EVENT_GAP_S
        self.limit: bytes | None = None
        self.extra_headers: tuple[Header, ...] = ()
        self.crashing_part: bytes | None = None
        self.is_crashed = False
        self.received_requests: list[ReceivedRequest] = []
        self.behaviours: collections.deque[Behaviour] = collections.deque()

    def start(self) -> None:
        """Start serving on a thread of its own."""
        self._server.start()
        self.task.start()

    def stop(self) -> None:
        """Close every connection and stop the thread."""
        if not self.is_crashed:
            self.task.send(self._server.close)
        self.task.stop()

    def list_executed_attempts(self) -> list[bytes]:
        """Return the ids of the executed attempts, oldest first."""
        return [
            _attempt_id(received.request)
            for received in self.received_requests
            if received.has_run
        ]

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Respond to a call, or to an agent's request to the engine."""
        path = urlsplit(request.target.decode("latin-1")).path
        if path.startswith("/-/"):
            self._respond_to_engine_call(connection, request, path)
            return
        self._respond_to_call(connection, request)

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Mark the last received request as cancelled."""
        if self.received_requests:
            self.received_requests[-1].is_cancelled = True

    def on_rejected(self, status: int, reason: str) -> None:
        """Ignore rejected requests."""

    # Calls.

    def _respond_to_call(self, connection: ServerConnection, request: Request) -> None:
        behaviour = self.behaviours.popleft() if self.behaviours else Behaviour.SOUND
        expected = request.get(names.EXPECTED_INSTANCE.lower())
        if expected is not None and expected != self.instance_id.encode():
            self.received_requests.append(self._received(request, has_run=False))
            headers = [(names.INSTANCE_ID, self.instance_id.encode())]
            connection.respond(421, headers)
            return
        rejects = (Behaviour.NOT_EXECUTED, Behaviour.RETRY_LATER)
        if behaviour in rejects or self._is_loading:
            self.received_requests.append(self._received(request, has_run=False))
            headers = [(names.NOT_EXECUTED, b"1"), self._attempt_id_header(request)]
            if behaviour is Behaviour.RETRY_LATER:
                headers.append((names.RETRY_AFTER, b"30"))
            if self.limit is not None:
                headers.append((names.LIMIT, self.limit))
            connection.respond(503, headers)
            return
        self.received_requests.append(self._received(request, has_run=True))
        if behaviour is Behaviour.MUTE:
            return
        if behaviour is Behaviour.CUT:
            connection.abort()
            return
        if behaviour is Behaviour.ERROR:
            connection.respond(500, self._response_headers(request), b"failed")
            return
        self._send_response(connection, request, behaviour)

    def _send_response(
        self, connection: ServerConnection, request: Request, behaviour: Behaviour
    ) -> None:
        headers = self._response_headers(request)
        if behaviour is Behaviour.UNSIGNED:
            headers = [self._attempt_id_header(request)]
        if behaviour is Behaviour.OTHER_ATTEMPT:
            headers[0] = (names.ATTEMPT_ID, b"another")
        if request.get(names.MODEL.lower()) is None:
            connection.respond(200, headers, b"answer to " + _attempt_id(request))
            return
        connection.start(200, [*headers, (b"Content-Type", b"text/event-stream")])
        if self._is_crashed_by(request):
            self.task.call_later(EVENT_GAP_S, self._crash)
            return
        first = int(request.get(names.LAST_EVENT_ID.lower()) or b"0") + 1
        if first > 1 and behaviour is Behaviour.PAUSE_MID_STREAM:
            self.task.call_later(
                PAUSE_S, lambda: self._send_event(connection, first, Behaviour.SOUND)
            )
            return
        self._send_event(connection, first, behaviour)

    def _is_crashed_by(self, request: Request) -> bool:
        if self.crashing_part is None:
            return False
        parts = (request.get(names.PREFIX.lower()) or b"").split(b",")
        return any(part.partition(b":")[0] == self.crashing_part for part in parts)

    def _crash(self) -> None:
        self.is_crashed = True
        self._server.close()

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
        delay_s = self.event_gap_s
        if number == 2 and behaviour is Behaviour.PAUSE_MID_STREAM:
            delay_s = PAUSE_S
        self.task.call_later(
            delay_s, lambda: self._send_event(connection, number + 1, behaviour)
        )

    def _response_headers(self, request: Request) -> list[Header]:
        headers = [self._attempt_id_header(request), (names.SIGNATURE, b"signed")]
        if self.engine is not None and self.engine.version is not None:
            version = str(self.engine.version).encode()
            headers.append((names.WEIGHT_VERSION, version))
        if self.is_leaving:
            headers.append((names.LEAVING, b"1"))
        if self.limit is not None:
            headers.append((names.LIMIT, self.limit))
        return [*headers, *self.extra_headers]

    def _received(self, request: Request, *, has_run: bool) -> ReceivedRequest:
        return ReceivedRequest(request, has_run, self.task.now())

    def _attempt_id_header(self, request: Request) -> Header:
        return (names.ATTEMPT_ID, _attempt_id(request))

    # Requests to the engine.

    def _respond_to_engine_call(
        self, connection: ServerConnection, request: Request, path: str
    ) -> None:
        engine = self.engine
        if engine is None:
            connection.respond(404, [])
            return
        query = parse_qs(urlsplit(request.target.decode("latin-1")).query)
        if path.encode() == names.REPORT_PATH:
            connection.respond(200, [], json.dumps(self._make_report(engine)).encode())
        elif path.encode() == names.ORDER_PATH:
            self._start_order(connection, engine, json.loads(request.body))
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

    def _make_report(self, engine: EngineState) -> dict[str, Any]:
        models = []
        if engine.version is not None:
            models = [{"name": MODEL, "version": engine.version, "adapters": []}]
        return {
            "stage": "both",
            "models": models,
            "layers": {"from": 0, "to": LAYER_COUNT, "version": engine.version or 0},
            "busy": self._is_loading,
            "sequence": engine.order_count,
            "queued": 0,
            "running": 0,
            "born": engine.started_ms,
        }

    def _start_order(
        self, connection: ServerConnection, engine: EngineState, order: dict[str, Any]
    ) -> None:
        engine.order_count += 1
        self._is_loading = True
        self.task.call_later(
            self._load_s, lambda: self._finish_loading(engine, order["version"])
        )
        connection.respond(202, [])

    def _finish_loading(self, engine: EngineState, version: int) -> None:
        engine.version = version
        self._is_loading = False


@final
class StandInOrigin(RequestHandler):
    """Serves manifests and pieces up to ``newest_version`` on its own task.

    ``pieces_to_corrupt`` is how many of the next pieces are sent corrupted, and
    ``manifests_to_corrupt`` how many of the next manifests have a wrong digest.
    ``wrong_versions`` are the versions that the next manifests state.
    ``served_pieces`` lists the version and the number of each piece sent. While
    ``is_silent``, no request gets a response.
    """

    def __init__(self, address: Address, piece_count: int, piece_bytes: int):
        self.task = IoTask("stand-in origin")
        self._server = HttpServer(
            self.task, address, self, HttpLimits(), max_connections=256
        )
        self.address = self._server.address
        self._piece_count = piece_count
        self._piece_bytes = piece_bytes
        self.newest_version = 1
        self.served_pieces: list[tuple[int, int]] = []
        self.pieces_to_corrupt = 0
        self.manifests_to_corrupt = 0
        self.wrong_versions: collections.deque[int] = collections.deque()
        self.is_silent = False

    def start(self) -> None:
        """Start serving on a thread of its own."""
        self._server.start()
        self.task.start()

    def stop(self) -> None:
        """Close every connection and stop the thread."""
        self.task.send(self._server.close)
        self.task.stop()

    def piece_data(self, version: int, number: int) -> bytes:
        """Return the uncorrupted bytes of a piece."""
        seed = f"{version}:{number}:".encode()
        return (seed * (self._piece_bytes // len(seed) + 1))[: self._piece_bytes]

    def pieces_by_number(self, version: int) -> dict[int, bytes]:
        """Return the uncorrupted pieces of a version by piece number."""
        return {
            number: self.piece_data(version, number)
            for number in range(self._piece_count)
        }

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Respond with a manifest or a piece."""
        if self.is_silent:
            return
        parts = urlsplit(request.target.decode("latin-1"))
        query = parse_qs(parts.query)
        version = int(query.get("version", [str(self.newest_version)])[0])
        if version > self.newest_version:
            connection.respond(404, [])
            return
        if parts.path.startswith(names.MANIFEST_PATH):
            model = unquote(parts.path.removeprefix(names.MANIFEST_PATH))
            connection.respond(200, [], self._make_manifest(model, version))
            return
        number = int(query["number"][0])
        self.served_pieces.append((version, number))
        data = self.piece_data(version, number)
        if self.pieces_to_corrupt > 0:
            self.pieces_to_corrupt -= 1
            data = b"x" + data[1:]
        connection.respond(200, [], data)

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Do nothing: every response is sent at once."""

    def on_rejected(self, status: int, reason: str) -> None:
        """Ignore rejected requests."""

    def _make_manifest(self, model: str, version: int) -> bytes:
        digests = [
            hashlib.sha256(self.piece_data(version, number)).hexdigest()
            for number in range(self._piece_count)
        ]
        if self.manifests_to_corrupt > 0:
            self.manifests_to_corrupt -= 1
            digests[0] = "00" * 32
        stated = self.wrong_versions.popleft() if self.wrong_versions else version
        document = {
            "model": model,
            "version": stated,
            "chunkBytes": self._piece_bytes,
            "layers": LAYER_COUNT,
            "digests": digests,
        }
        return json.dumps(document).encode()


def _attempt_id(request: Request) -> bytes:
    return request.get(names.ATTEMPT_ID.lower()) or b""
