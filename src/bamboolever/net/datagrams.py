"""UDP datagrams between entries and agents."""

import logging
import socket
from collections.abc import Callable

from bamboolever._task import READ, IoTask
from bamboolever.net.addresses import Address

logger = logging.getLogger(__name__)

# Links carry 1400 bytes unfragmented; a list of changes may take more.
MAX_DATAGRAM_BYTES = 4096
MAX_DATAGRAMS_PER_WAKEUP = 64


class DatagramSocket:
    """A bound UDP socket whose datagrams are received on a task.

    Delivery is not guaranteed: callers repeat what must arrive. ``on_datagram`` is
    called on the task with the data and the sender's address.
    """

    def __init__(
        self,
        task: IoTask,
        address: Address,
        on_datagram: Callable[[bytes, Address], None],
    ):
        self._task = task
        self._on_datagram = on_datagram
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self.address = Address(*self._sock.getsockname())
        self.send_failures = 0

    def start(self) -> None:
        """Start receiving datagrams; call on the task's thread."""
        self._task.register(self._sock, READ, self._on_ready)

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram; a failure is counted and the datagram is dropped."""
        try:
            self._sock.sendto(data, address)
        except OSError as error:
            self.send_failures += 1
            logger.debug("datagram to %s not sent: %s", address, error)

    def close(self) -> None:
        """Stop receiving and close the socket; call on the task's thread."""
        self._task.unregister(self._sock)
        self._sock.close()

    def _on_ready(self, _events: int) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                logger.debug("datagram receive failed: %s", error)
                return
            self._on_datagram(data, Address(*sender))
