"""Stand-in for an agent that sends many streams at a fixed rate, to load an entry."""

from typing import final

from bamboolever._connection import (
    ConnectionHandler,
    FrameConnection,
    FrameListener,
    Identity,
)
from bamboolever._protocol.ttypes import (
    CallEnd,
    CallHead,
    CallPiece,
    CallStart,
    Frame,
    Outcome,
    Report,
)
from bamboolever._task import IoTask

EVENT = b'data: {"object":"text_completion","choices":[{"text":"deadbeef "}]}\n\n'


@final
class StandInAgent(ConnectionHandler):
    """Responds to every call with ``pieces`` events, one every ``gap_s`` seconds.

    ``key`` is the shared key for the handshake with entries.
    """

    def __init__(
        self, instance_id: str, service: str, key: str, *, pieces: int, gap_s: float
    ):
        self._task = IoTask(instance_id)
        self._service = service
        self._pieces = pieces
        self._gap_s = gap_s
        self._sent_counts: dict[tuple[FrameConnection, int], int] = {}
        self._identity = Identity(instance_id, "agent", "r", "z", (key.encode(),))
        self._listener = FrameListener(
            self._task, ("127.0.0.1", 0), self._identity, lambda: self
        )
        self.port = self._listener.port

    def start(self) -> None:
        """Start to serve on a thread of its own."""
        self._task.start()
        self._task.send(self._listener.start)

    def stop(self) -> None:
        """Stop the thread and all streams."""
        self._task.stop()

    def on_open(self, connection: FrameConnection) -> None:
        """Send a report when an entry has connected.

        The reported capacity is too large to limit the entry.
        """
        self._send_report(connection)

    def on_frame(self, connection: FrameConnection, frame: Frame) -> None:
        """Start or cancel a stream when an entry sends a frame that requests it."""
        if frame.call_start is not None:
            self._start_stream(connection, frame.call_start)
        elif frame.call_cancel is not None:
            self._sent_counts.pop((connection, frame.call_cancel.call_id), None)

    def on_close(self, connection: FrameConnection, reason: str) -> None:
        """Stop the connection's streams when it is closed."""
        for key in [key for key in self._sent_counts if key[0] is connection]:
            del self._sent_counts[key]

    def _send_report(self, connection: FrameConnection) -> None:
        report = Report(
            instance_id=self._identity.instance_id,
            service_name=self._service,
            state="serving",
            version="v1",
            capacity=100_000,
            accepting=True,
        )
        connection.send(report=report)

    def _start_stream(self, connection: FrameConnection, start: CallStart) -> None:
        call_id = start.call_id
        self._sent_counts[(connection, call_id)] = 0
        head = CallHead(call_id, 200, "text/event-stream", "v1")
        connection.send(call_head=head)
        self._send_piece(connection, call_id)

    def _send_piece(self, connection: FrameConnection, call_id: int) -> None:
        sent = self._sent_counts.get((connection, call_id))
        if sent is None:
            return
        if sent == self._pieces:
            del self._sent_counts[(connection, call_id)]
            connection.send(call_end=CallEnd(call_id, Outcome.RAN, True, "complete"))
            return
        self._sent_counts[(connection, call_id)] = sent + 1
        connection.send(call_piece=CallPiece(call_id, sent, EVENT))
        self._task.call_later(
            self._gap_s, lambda: self._send_piece(connection, call_id)
        )
