"""Authenticated connections that carry frames, run by an `IoTask`.

In the handshake the server sends a challenge, the client replies with a hello and the
server with a welcome. The hello and the welcome prove that their sender knows a shared
key.

Each side sends heartbeats while it has nothing else to send. It closes a connection
on which nothing arrived for the idle timeout. This detects a peer that hangs or is
cut off without closing the connection.
"""

import logging
import os
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bamboolever._protocol.ttypes import Challenge, Frame, Heartbeat, Hello, Welcome
from bamboolever._task import READ, WRITE, IoTask
from bamboolever._wire import (
    MAX_FRAME_BYTES,
    NONCE_BYTES,
    FrameDecoder,
    ProtocolError,
    compute_proof,
    encode_frame,
    is_proof_valid,
)

logger = logging.getLogger(__name__)

HEARTBEAT_PERIOD_S = 0.5
IDLE_TIMEOUT_S = 2.0
HANDSHAKE_TIMEOUT_S = 3.0
MAX_SEND_BUFFER_BYTES = 64 * 2**20
MAX_IO_BYTES = 256 * 1024


@dataclass(frozen=True)
class Identity:
    """The identity and shared keys with which this process authenticates.

    A client proves its identity with the first of ``keys``. Proofs made with any of
    them are accepted.
    """

    instance_id: str
    role: str
    region: str
    availability_zone: str
    keys: tuple[bytes, ...]


class ConnectionHandler(ABC):
    """Handles the events of a frame connection; called on the task's thread."""

    @abstractmethod
    def on_open(self, connection: "FrameConnection") -> None:
        """Called once both sides are authenticated."""

    @abstractmethod
    def on_frame(self, connection: "FrameConnection", frame: Frame) -> None:
        """Called for each frame on an open connection, except heartbeats."""

    @abstractmethod
    def on_close(self, connection: "FrameConnection", reason: str) -> None:
        """Called once when the connection ended, also if it never opened.

        ``reason`` is a short text such as "closed by peer". It begins with "silent" if
        nothing arrived before a timeout.
        """


class FrameConnection:
    """One non-blocking connection that carries frames in both directions.

    All methods run on the task's thread. ``peer_id`` and ``peer_role`` are the
    peer's after the handshake; a client does not learn the server's role.
    """

    def __init__(
        self,
        task: IoTask,
        sock: socket.socket,
        identity: Identity,
        handler: ConnectionHandler,
        *,
        is_client: bool,
    ):
        self._task = task
        self._sock = sock
        self._identity = identity
        self._handler = handler
        self._is_client = is_client
        self._decoder = FrameDecoder()
        self._send_buffer = bytearray()
        self._nonce = os.urandom(NONCE_BYTES)
        self._peer_nonce = b""
        self._is_connecting = is_client
        self._is_open = False
        self._is_closed = False
        self._is_write_registered = False
        self._has_sent_since_heartbeat = False
        self._last_received_at = task.now()
        self.peer_id = ""
        self.peer_role = ""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task.register(sock, READ | (WRITE if is_client else 0), self._on_ready)
        self._is_write_registered = is_client
        if not is_client:
            self._send(challenge=Challenge(nonce=self._nonce))
        self._heartbeat_timer = task.call_later(
            HEARTBEAT_PERIOD_S, self._on_heartbeat_due
        )

    @property
    def is_open(self) -> bool:
        """Whether both sides are authenticated and the socket is usable."""
        return self._is_open and not self._is_closed

    @property
    def queued_bytes(self) -> int:
        """Number of bytes that wait to be sent."""
        return len(self._send_buffer)

    @classmethod
    def connect(
        cls,
        task: IoTask,
        address: tuple[str, int],
        identity: Identity,
        handler: ConnectionHandler,
    ) -> "FrameConnection":
        """Start to connect to an address and return the connection at once.

        A failure to connect is passed to `ConnectionHandler.on_close`.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.connect_ex(address)
        return cls(task, sock, identity, handler, is_client=True)

    def send(self, **message: Any) -> None:
        """Queue one frame; does nothing on a closed connection.

        ``message`` is one field of `Frame` and its value. If the send buffer would
        exceed `MAX_SEND_BUFFER_BYTES`, the connection is closed.
        """
        if self._is_closed:
            return
        self._send(**message)

    def close(self, reason: str) -> None:
        """Close the connection and call `ConnectionHandler.on_close`, once.

        ``reason`` is passed to the handler.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self._is_open = False
        self._heartbeat_timer.cancel()
        self._task.unregister(self._sock)
        self._sock.close()
        self._handler.on_close(self, reason)

    def _send(self, **message: Any) -> None:
        data = encode_frame(**message)
        if len(self._send_buffer) + len(data) > MAX_SEND_BUFFER_BYTES:
            self._task.send(lambda: self.close("output buffer full"))
            return
        self._has_sent_since_heartbeat = True
        was_empty = not self._send_buffer
        self._send_buffer += data
        if was_empty and not self._is_connecting:
            self._flush()

    def _flush(self) -> None:
        try:
            while self._send_buffer:
                with memoryview(self._send_buffer) as view:
                    sent = self._sock.send(view[:MAX_IO_BYTES])
                del self._send_buffer[:sent]
        except BlockingIOError:
            pass
        except OSError as error:
            # Closing later keeps the handler from running inside a caller's `send`.
            reason = f"send failed: {error}"
            self._send_buffer.clear()
            self._task.send(lambda: self.close(reason))
            return
        self._update_events()

    def _update_events(self) -> None:
        wants_write = bool(self._send_buffer) or self._is_connecting
        if wants_write == self._is_write_registered or self._is_closed:
            return
        self._is_write_registered = wants_write
        events = READ | WRITE if wants_write else READ
        self._task.modify(self._sock, events, self._on_ready)

    def _on_ready(self, events: int) -> None:
        if self._is_connecting and not self._finish_connect():
            return
        if events & WRITE and not self._is_closed:
            self._flush()
        if events & READ and not self._is_closed:
            self._receive()

    def _finish_connect(self) -> bool:
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.close(f"connect failed: {os.strerror(error)}")
            return False
        self._is_connecting = False
        self._update_events()
        return True

    def _receive(self) -> None:
        try:
            data = self._sock.recv(MAX_IO_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(f"receive failed: {error}")
            return
        if not data:
            self.close("closed by peer")
            return
        self._last_received_at = self._task.now()
        try:
            for frame in self._decoder.feed(data):
                self._handle_frame(frame)
                if self._is_closed:
                    return
        except ProtocolError as error:
            self.close(f"protocol error: {error}")

    def _handle_frame(self, frame: Frame) -> None:
        if frame.heartbeat is not None:
            return
        if self._is_open:
            self._handler.on_frame(self, frame)
            return
        if self._is_client:
            self._handle_client_handshake(frame)
            return
        self._handle_server_handshake(frame)

    def _handle_client_handshake(self, frame: Frame) -> None:
        """Reply to the server's challenge, or check its welcome."""
        if frame.challenge is not None and not self._peer_nonce:
            self._peer_nonce = frame.challenge.nonce or b"-"
            nonces = (self._peer_nonce, self._nonce)
            proof = compute_proof(self._identity.keys[0], "client", nonces)
            identity = self._identity
            self._send(
                hello=Hello(
                    instance_id=identity.instance_id,
                    role=identity.role,
                    region=identity.region,
                    availability_zone=identity.availability_zone,
                    nonce=self._nonce,
                    proof=proof,
                )
            )
            return
        if frame.welcome is None:
            raise ProtocolError("expected a welcome")
        nonces = (self._peer_nonce, self._nonce)
        keys = list(self._identity.keys)
        if not is_proof_valid(keys, "server", nonces, frame.welcome.proof or b""):
            raise ProtocolError("the server does not know the shared key")
        self.peer_id = frame.welcome.instance_id
        self._finish_handshake()

    def _handle_server_handshake(self, frame: Frame) -> None:
        """Check the client's hello and reply with a welcome."""
        hello = frame.hello
        if hello is None or not hello.nonce:
            raise ProtocolError("expected a hello")
        nonces = (self._nonce, hello.nonce)
        keys = list(self._identity.keys)
        matching = [
            key
            for key in keys
            if is_proof_valid([key], "client", nonces, hello.proof or b"")
        ]
        if not matching:
            raise ProtocolError("the client does not know the shared key")
        self.peer_id = hello.instance_id or ""
        self.peer_role = hello.role or ""
        proof = compute_proof(matching[0], "server", nonces)
        self._send(welcome=Welcome(instance_id=self._identity.instance_id, proof=proof))
        self._finish_handshake()

    def _finish_handshake(self) -> None:
        self._is_open = True
        self._decoder.max_frame_bytes = MAX_FRAME_BYTES
        self._handler.on_open(self)

    def _on_heartbeat_due(self) -> None:
        idle_s = self._task.now() - self._last_received_at
        limit_s = IDLE_TIMEOUT_S if self._is_open else HANDSHAKE_TIMEOUT_S
        if idle_s > limit_s:
            self.close(f"silent for {idle_s:.1f} s")
            return
        if self._is_open and not self._has_sent_since_heartbeat:
            self._send(heartbeat=Heartbeat(sequence=0))
        # Every frame counts as a heartbeat for the peer.
        self._has_sent_since_heartbeat = False
        self._heartbeat_timer = self._task.call_later(
            HEARTBEAT_PERIOD_S, self._on_heartbeat_due
        )


class FrameListener:
    """Accepts frame connections on one address.

    ``handler_factory`` is called for each accepted connection.
    """

    def __init__(
        self,
        task: IoTask,
        address: tuple[str, int],
        identity: Identity,
        handler_factory: Callable[[], ConnectionHandler],
    ):
        self._task = task
        self._identity = identity
        self._handler_factory = handler_factory
        self._sock = listen(address)
        self.port: int = self._sock.getsockname()[1]

    def start(self) -> None:
        """Start to accept connections; call it on the task's thread."""
        self._task.register(self._sock, READ, self._on_ready)

    def close(self) -> None:
        """Stop accepting connections; accepted ones stay open."""
        self._task.unregister(self._sock)
        self._sock.close()

    def _on_ready(self, _events: int) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        FrameConnection(
            self._task, sock, self._identity, self._handler_factory(), is_client=False
        )


def listen(address: tuple[str, int], backlog: int = 512) -> socket.socket:
    """Return a non-blocking socket that listens on an IPv4 address and port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(backlog)
    sock.setblocking(False)
    return sock
