"""Stand-in for the network: TCP relays between regions.

The relays limit the rate of each link and count its bytes. To inject faults, they
silence connections and partition regions.
"""

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
    """A link in one direction from one region to another, or within one region."""

    source: str
    destination: str


@final
class _RelayDirection:
    """Bytes in one direction of a relayed connection.

    ``pending`` holds received bytes that are not yet sent on. ``is_paused`` means that
    a received block waits for the link's rate and that nothing more is read until then.
    """

    def __init__(
        self,
        network: "StandInNetwork",
        link: LinkName,
        connection: "_RelayedConnection",
        is_forward: bool,
    ):
        self._network = network
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
        wait_s = self._network.reserve_bytes(self._link, len(data))
        if wait_s <= 0:
            self._deliver(data)
            return
        self.is_paused = True
        self._network.task.call_later(wait_s, lambda: self._resume(data))

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
    """A connection from a client to a relay, and the relay's connection to the target.

    "Forward" is the direction from the client to the target.
    """

    def __init__(
        self,
        network: "StandInNetwork",
        client: socket.socket,
        target: tuple[str, int],
        link: LinkName,
    ):
        self._network = network
        self._client = client
        self._server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._link = link
        self.is_silent = False
        self.is_closed = False
        back = LinkName(link.destination, link.source)
        self._forward = _RelayDirection(network, link, self, True)
        self._backward = _RelayDirection(network, back, self, False)
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
        self._set_events(self._client, self._forward, self._backward, self._on_client)
        self._set_events(self._server, self._backward, self._forward, self._on_server)

    def _set_events(
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
            self._network.task.unregister(sock)
        if events:
            self._network.task.register(sock, events, callback)  # type: ignore[arg-type]
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
            # EAGAIN, ENOTCONN, EINPROGRESS: still connecting to the target.
            if error.errno not in (11, 107, 115):
                self.close()

    def silence(self) -> None:
        """Stop reading and drop unsent data, but keep both connections open."""
        self.is_silent = True
        self._forward.pending.clear()
        self._backward.pending.clear()
        self.update_events()

    def close(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        for sock in (self._client, self._server):
            self._network.task.unregister(sock)
            sock.close()
        self._network.remove_connection(self)


@final
class StandInNetwork:
    """Relays TCP connections between regions on a thread of its own.

    All connections from one region to another share one rate,
    ``region_pair_bytes_per_s``. Those within a region share ``local_bytes_per_s``.
    ``bytes_by_link`` counts the bytes received on each link.
    """

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
        """Bytes received on all links between different regions."""
        return sum(
            byte_count
            for link, byte_count in self.bytes_by_link.items()
            if link.source != link.destination
        )

    def start(self) -> None:
        """Start the thread that relays."""
        self.task.start()

    def stop(self) -> None:
        """Stop the thread that relays."""
        self.task.stop()

    def open_relay(
        self, source: str, destination: str, target: tuple[str, int]
    ) -> tuple[str, int]:
        """Open a port on 127.0.0.1 that relays to ``target`` and return its address.

        Connections to it use the link from the region ``source`` to ``destination``.
        """
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
        """Stop forwarding on each open connection without closing it.

        Connections that are opened later are relayed.
        """
        self.task.send(self._silence_all)

    def set_partition(self, first: str, second: str, *, is_partitioned: bool) -> None:
        """Partition two regions from each other, or end their partition.

        A partition silences open connections between the regions for good and closes
        new ones at once.
        """
        self.task.send(
            lambda: self._set_partition(frozenset((first, second)), is_partitioned)
        )

    def reserve_bytes(self, link: LinkName, byte_count: int) -> float:
        """Count bytes received on a link and return the seconds to delay them."""
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
        """Remove a connection when it is closed."""
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
