"""HTTP/1.1 server: accepts connections and closes them at a stop."""

import collections
import logging
from collections.abc import Iterable

from bamboolever._task import READ, IoTask
from bamboolever.net.addresses import Address
from bamboolever.net.connectionstate import ConnectionState
from bamboolever.net.handlers import (
    HttpLimits,
    MakeRejection,
    RequestHandler,
    make_plain_rejection,
)
from bamboolever.net.serverconnection import ServerConnection
from bamboolever.net.sockets import LISTEN_BACKLOG, open_listener

logger = logging.getLogger(__name__)

ACCEPT_RETRY_S = 0.1
# Connections that are accepted before the requests on others are read.
MAX_ACCEPTS_PER_TURN = 16
TOO_MANY_CONNECTIONS = "too many connections"


class HttpServer:
    """Listens on one address and serves the connections that it accepts.

    A connection over ``max_connections`` takes the place of one that is not in use, or
    is closed at once. ``make_rejection`` builds the responses to requests that the
    server itself rejects.
    """

    def __init__(
        self,
        task: IoTask,
        address: Address,
        handler: RequestHandler,
        limits: HttpLimits,
        *,
        max_connections: int,
        make_rejection: MakeRejection | None = None,
    ):
        self.make_rejection = make_rejection or make_plain_rejection
        self.task = task
        self.handler = handler
        self.limits = limits
        self.is_stopping = False
        self._is_listening = True
        self._max_connections = max_connections
        # Oldest first.
        self._connections: dict[ServerConnection, None] = {}
        self._turns: collections.deque[ServerConnection] = collections.deque()
        self._sock = open_listener(address)
        self.address = Address(*self._sock.getsockname())

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def start(self) -> None:
        """Start accepting connections; call on the task's thread."""
        self.task.register(self._sock, READ, self._on_ready)

    def announce_stop(self) -> None:
        """Add ``Connection: close`` to responses from now on.

        Left out are those behind which another request has arrived already.
        """
        self.is_stopping = True

    @property
    def is_idle(self) -> bool:
        """Whether no request is arriving and callers have all of their responses."""
        return all(connection.is_idle for connection in list(self._connections))

    def list_unfinished(self) -> list[ConnectionState]:
        """Return the state of each connection whose end would lose something."""
        states = [connection.state() for connection in self._connections]
        return [state for state in states if not state.is_finished]

    @property
    def is_in_use(self) -> bool:
        """Whether a response is due, or a caller has not received all of one."""
        return any(connection.is_in_use for connection in list(self._connections))

    def close_idle(self) -> None:
        """Close every idle connection."""
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    def reject_incomplete(self, status: int, reason: str) -> None:
        """Reject every request that is not complete yet."""
        for connection in list(self._connections):
            connection.reject_incomplete(status, reason)

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay open.

        Those that the kernel has accepted already are served, too.
        """
        if not self._is_listening:
            return
        self._is_listening = False
        for _ in range(LISTEN_BACKLOG):
            if not self._accept():
                break
        self.task.unregister(self._sock)
        self._sock.close()

    def close(self) -> None:
        """Stop listening and close every connection."""
        self.stop_listening()
        for connection in list(self._connections):
            connection.close()

    def take_turn_later(self, connection: ServerConnection) -> None:
        """Let a connection go on once others had their turn.

        One such connection has its turn in each pass of the loop, however many wait.
        """
        self._turns.append(connection)
        if len(self._turns) == 1:
            self.task.send(self._run_turn)

    def _run_turn(self) -> None:
        connection = self._turns.popleft()
        if self._turns:
            self.task.send(self._run_turn)
        connection.take_turn()

    def remove_connection(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection, None)

    def _on_ready(self, _events: int) -> None:
        # After the sockets that are ready: a connection must not give its place away
        # before its request was read.
        self.task.send(self._accept_batch)

    def _accept_batch(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._is_listening or not self._accept():
                return

    def _accept(self) -> bool:
        """Accept a connection; return whether there was one."""
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            logger.warning("accept failed", extra={"error": str(error)})
            self._pause_accepting()
            return False
        if self._make_room():
            self._connections[ServerConnection(self, sock)] = None
        else:
            self.handler.on_rejected(503, TOO_MANY_CONNECTIONS)
            sock.close()
        return True

    def _pause_accepting(self) -> None:
        """Look again later: without descriptors, the listener stays readable."""
        self.task.unregister(self._sock)
        self.task.call_later(ACCEPT_RETRY_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._is_listening:
            self.start()

    def _make_room(self) -> bool:
        """Return whether another connection may be open, after closing one if needed.

        The oldest without a request that was served goes first, then the oldest idle
        one. A connection on which a response is due stays.
        """
        if len(self._connections) < self._max_connections:
            return True
        connections = self._connections
        victim = _find_unused(each for each in connections if not each.has_served)
        victim = victim or _find_unused(connections)
        if victim is None:
            return False
        victim.reject_incomplete(503, TOO_MANY_CONNECTIONS)
        victim.close()
        return True


def _find_unused(
    connections: Iterable[ServerConnection],
) -> ServerConnection | None:
    return next((each for each in connections if not each.is_in_use), None)
