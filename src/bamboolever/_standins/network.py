"""Stand-in for the network: relays that shape, count, silence and cut links."""

import socket
from collections import Counter
from dataclasses import dataclass
from typing import final

from bamboolever._connection import listen
from bamboolever._ratelimit import TokenBucket
from bamboolever._task import READ, WRITE, IoTask

READ_BYTES = 64 * 1024
MAX_PENDING_BYTES = 512 * 1024
BURST_BYTES = 64 * 1024


@dataclass(frozen=True)
class LinkName:
    """A direction between two regions."""

    source: str
    destination: str


@final
class _RelayDirection:
    """One direction of a relayed connection."""

    def __init__(
        self,
        relay: "StandInNetwork",
        link: LinkName,
        connection: "_RelayedConnection",
        is_forward: bool,
    ):
        self._relay = relay
        self._link = link
        self._connection = connection
        self._is_forward = is_forward
        self.pending = bytearray()
        self.is_paused = False

    def receive(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._connection.close()
            return
        if not data:
            self._connection.close()
            return
        wait_s = self._relay.reserve_bytes(self._link, len(data))
        if wait_s <= 0:
            self._deliver(data)
            return
        self.is_paused = True
        self._relay.task.call_later(wait_s, lambda: self._resume(data))

    def _resume(self, data: bytes) -> None:
        self.is_paused = False
        self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        if self._connection.is_silent or self._connection.is_closed:
            return
        self.pending += data
        self._connection.flush(self._is_forward)
        self._connection.update_events()


@final
class _RelayedConnection:
    """The two sockets of one relayed connection."""

    def __init__(
        self,
        relay: "StandInNetwork",
        client: socket.socket,
        target: tuple[str, int],
        link: LinkName,
    ):
        self._relay = relay
        self._client = client
        self._server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._link = link
        self.is_silent = False
        self.is_closed = False
        back = LinkName(link.destination, link.source)
        self._forward = _RelayDirection(relay, link, self, True)
        self._backward = _RelayDirection(relay, back, self, False)
        self._events = {self._client: -1, self._server: -1}
        for sock in (self._client, self._server):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connect_ex(target)
        self.update_events()

    @property
    def link(self) -> LinkName:
        return self._link

    def update_events(self) -> None:
        if self.is_closed:
            return
        self._update_events(
            self._client, self._forward, self._backward, self._on_client
        )
        self._update_events(
            self._server, self._backward, self._forward, self._on_server
        )

    def _update_events(
        self,
        sock: socket.socket,
        incoming: _RelayDirection,
        outgoing: _RelayDirection,
        callback: object,
    ) -> None:
        is_full = len(incoming.pending) > MAX_PENDING_BYTES
        can_read = not (incoming.is_paused or is_full or self.is_silent)
        events = (READ if can_read else 0) | (WRITE if outgoing.pending else 0)
        if events == self._events[sock]:
            return
        if self._events[sock] > 0:
            self._relay.task.unregister(sock)
        if events:
            self._relay.task.register(sock, events, callback)  # type: ignore[arg-type]
        self._events[sock] = events

    def _on_client(self, events: int) -> None:
        self._on_ready(events, self._client, self._forward, is_forward=False)

    def _on_server(self, events: int) -> None:
        self._on_ready(events, self._server, self._backward, is_forward=True)

    def _on_ready(
        self,
        events: int,
        sock: socket.socket,
        incoming: _RelayDirection,
        *,
        is_forward: bool,
    ) -> None:
        if events & WRITE:
            self.flush(is_forward)
        if events & READ and not self.is_closed:
            incoming.receive(sock)
        self.update_events()

    def flush(self, is_forward: bool) -> None:
        direction = self._forward if is_forward else self._backward
        sock = self._server if is_forward else self._client
        try:
            while direction.pending and not self.is_closed:
                with memoryview(direction.pending) as view:
                    sent = sock.send(view)
                del direction.pending[:sent]
        except BlockingIOError:
            pass
        except OSError as error:
            if error.errno not in (11, 107, 115):
                self.close()

    def silence(self) -> None:
        """Stop forwarding and tell neither end."""
        self.is_silent = True
        self._forward.pending.clear()
        self._backward.pending.clear()
        self.update_events()

    def close(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        for sock in (self._client, self._server):
            self._relay.task.unregister(sock)
            sock.close()
        self._relay.remove_connection(self)


@final
class StandInNetwork:
    """Relays TCP between regions with one shared rate for each direction."""

    def __init__(
        self, *, region_pair_bytes_per_s: float, local_bytes_per_s: float = 1e9
    ):
        self.task = IoTask("stand-in-network")
        self._region_pair_bytes_per_s = region_pair_bytes_per_s
        self._local_bytes_per_s = local_bytes_per_s
        self._buckets: dict[LinkName, TokenBucket] = {}
        self._connections: set[_RelayedConnection] = set()
        self._partitions: set[frozenset[str]] = set()
        self.bytes_by_link: Counter[LinkName] = Counter()

    @property
    def cross_region_bytes(self) -> int:
        """Bytes that crossed between two regions, all directions together."""
        return sum(
            byte_count
            for link, byte_count in self.bytes_by_link.items()
            if link.source != link.destination
        )

    def start(self) -> None:
        """Start the relay's thread."""
        self.task.start()

    def stop(self) -> None:
        """Stop the relay's thread."""
        self.task.stop()

    def open_relay(
        self, source: str, destination: str, target: tuple[str, int]
    ) -> tuple[str, int]:
        """Return an address in ``source`` that leads to ``target``."""
        sock = listen(("127.0.0.1", 0))
        link = LinkName(source, destination)
        self.task.send(
            lambda: self.task.register(
                sock, READ, lambda _events: self._accept(sock, target, link)
            )
        )
        address: tuple[str, int] = sock.getsockname()
        return address

    def silence_connections(self) -> None:
        """Make each open connection silent for good; new ones work."""
        self.task.send(self._silence_all)

    def set_partition(self, first: str, second: str, *, is_partitioned: bool) -> None:
        """Cut or restore two regions from each other."""
        self.task.send(
            lambda: self._set_partition(frozenset((first, second)), is_partitioned)
        )

    def reserve_bytes(self, link: LinkName, byte_count: int) -> float:
        """Count bytes and return the seconds they have to wait."""
        self.bytes_by_link[link] += byte_count
        bucket = self._buckets.get(link)
        if bucket is None:
            is_local = link.source == link.destination
            bytes_per_s = (
                self._local_bytes_per_s if is_local else self._region_pair_bytes_per_s
            )
            bucket = self._buckets[link] = TokenBucket(bytes_per_s, BURST_BYTES)
        return bucket.reserve(self.task.now(), byte_count)

    def remove_connection(self, connection: _RelayedConnection) -> None:
        """Drop a closed connection."""
        self._connections.discard(connection)

    def _silence_all(self) -> None:
        for connection in list(self._connections):
            connection.silence()

    def _set_partition(self, regions: frozenset[str], is_partitioned: bool) -> None:
        if not is_partitioned:
            self._partitions.discard(regions)
            return
        self._partitions.add(regions)
        for connection in list(self._connections):
            if (
                frozenset((connection.link.source, connection.link.destination))
                == regions
            ):
                connection.silence()

    def _accept(
        self, listener: socket.socket, target: tuple[str, int], link: LinkName
    ) -> None:
        try:
            client, _ = listener.accept()
        except OSError:
            return
        if frozenset((link.source, link.destination)) in self._partitions:
            client.close()
            return
        self._connections.add(_RelayedConnection(self, client, target, link))
