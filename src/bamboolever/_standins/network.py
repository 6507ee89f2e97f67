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
class _Pipe:
    """One direction of a relayed connection."""

    def __init__(
        self, relay: "StandInNetwork", link: LinkName, pair: "_Pair", is_forward: bool
    ):
        self._relay = relay
        self._link = link
        self._pair = pair
        self._is_forward = is_forward
        self.pending = bytearray()
        self.is_paused = False

    def receive(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._pair.close()
            return
        if not data:
            self._pair.close()
            return
        wait_s = self._relay.charge(self._link, len(data))
        if wait_s <= 0:
            self._deliver(data)
            return
        self.is_paused = True
        self._relay.task.call_later(wait_s, lambda: self._resume(data))

    def _resume(self, data: bytes) -> None:
        self.is_paused = False
        self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        if self._pair.is_silent or self._pair.is_closed:
            return
        self.pending += data
        self._pair.flush(self._is_forward)
        self._pair.update()


@final
class _Pair:
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
        self._forward = _Pipe(relay, link, self, True)
        self._backward = _Pipe(relay, back, self, False)
        self._events = {self._client: -1, self._server: -1}
        for sock in (self._client, self._server):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connect_ex(target)
        self.update()

    @property
    def link(self) -> LinkName:
        return self._link

    def update(self) -> None:
        if self.is_closed:
            return
        self._set(self._client, self._forward, self._backward, self._on_client)
        self._set(self._server, self._backward, self._forward, self._on_server)

    def _set(
        self, sock: socket.socket, incoming: _Pipe, outgoing: _Pipe, callback: object
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
        self, events: int, sock: socket.socket, incoming: _Pipe, *, is_forward: bool
    ) -> None:
        if events & WRITE:
            self.flush(is_forward)
        if events & READ and not self.is_closed:
            incoming.receive(sock)
        self.update()

    def flush(self, is_forward: bool) -> None:
        pipe = self._forward if is_forward else self._backward
        sock = self._server if is_forward else self._client
        try:
            while pipe.pending and not self.is_closed:
                with memoryview(pipe.pending) as view:
                    sent = sock.send(view)
                del pipe.pending[:sent]
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
        self.update()

    def close(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        for sock in (self._client, self._server):
            self._relay.task.unregister(sock)
            sock.close()
        self._relay.forget(self)


@final
class StandInNetwork:
    """Relays TCP between regions with one shared rate for each direction."""

    def __init__(self, *, region_pair_rate: float, local_rate: float = 1e9):
        self.task = IoTask("stand-in-network")
        self._region_pair_rate = region_pair_rate
        self._local_rate = local_rate
        self._buckets: dict[LinkName, TokenBucket] = {}
        self._pairs: set[_Pair] = set()
        self._cut: set[frozenset[str]] = set()
        self.bytes_by_link: Counter[LinkName] = Counter()

    @property
    def cross_region_bytes(self) -> int:
        """Bytes that crossed between two regions, all directions together."""
        return sum(
            amount
            for link, amount in self.bytes_by_link.items()
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

    def set_cut(self, first: str, second: str, *, is_cut: bool) -> None:
        """Cut or restore two regions from each other."""
        self.task.send(lambda: self._set_cut(frozenset((first, second)), is_cut))

    def charge(self, link: LinkName, amount: int) -> float:
        """Count bytes and return the seconds they have to wait."""
        self.bytes_by_link[link] += amount
        bucket = self._buckets.get(link)
        if bucket is None:
            is_local = link.source == link.destination
            rate = self._local_rate if is_local else self._region_pair_rate
            bucket = self._buckets[link] = TokenBucket(rate, BURST_BYTES)
        return bucket.reserve(self.task.now(), amount)

    def forget(self, pair: _Pair) -> None:
        """Drop a closed connection."""
        self._pairs.discard(pair)

    def _silence_all(self) -> None:
        for pair in list(self._pairs):
            pair.silence()

    def _set_cut(self, regions: frozenset[str], is_cut: bool) -> None:
        if not is_cut:
            self._cut.discard(regions)
            return
        self._cut.add(regions)
        for pair in list(self._pairs):
            if frozenset((pair.link.source, pair.link.destination)) == regions:
                pair.silence()

    def _accept(
        self, listener: socket.socket, target: tuple[str, int], link: LinkName
    ) -> None:
        try:
            client, _ = listener.accept()
        except OSError:
            return
        if frozenset((link.source, link.destination)) in self._cut:
            client.close()
            return
        self._pairs.add(_Pair(self, client, target, link))
