"""TCP sockets that report an unresponsive peer as an error."""

import fcntl
import logging
import socket
import struct
import termios

from bamboolever.net.addresses import Address

logger = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2


def open_listener(address: Address) -> socket.socket:
    """Return a non-blocking socket that listens on ``address``.

    Raises `OSError` when the address is not available.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


def start_connecting(address: Address, user_timeout_s: float) -> socket.socket:
    """Return a non-blocking socket that is connecting to ``address``.

    See `set_stream_options` for ``user_timeout_s``.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    set_stream_options(sock, user_timeout_s)
    sock.connect_ex(address)
    return sock


def set_stream_options(sock: socket.socket, user_timeout_s: float) -> None:
    """Disable Nagle's algorithm and detect an unresponsive peer.

    The kernel closes the connection when sent data stays unacknowledged for
    ``user_timeout_s`` seconds, and probes idle connections.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    user_timeout_ms = int(user_timeout_s * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


def count_undelivered_bytes(sock: socket.socket) -> int | None:
    """Return how many sent bytes the peer has not acknowledged.

    None if that is unknown, as for a closed socket.
    """
    return _count_bytes(sock, termios.TIOCOUTQ)


def count_unread_bytes(sock: socket.socket) -> int | None:
    """Return how many bytes the kernel has received that were not read yet.

    None if that is unknown, as for a closed socket.
    """
    return _count_bytes(sock, termios.FIONREAD)


def has_input(sock: socket.socket) -> bool:
    """Return whether a non-blocking socket has bytes, its end or an error to read."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError as error:
        logger.debug("idle connection failed: %s", error)
    return True


def _count_bytes(sock: socket.socket, request: int) -> int | None:
    try:
        count = fcntl.ioctl(sock, request, struct.pack("i", 0))
    except (OSError, ValueError) as error:
        logger.debug("the kernel's bytes are unknown: %s", error)
        return None
    return int(struct.unpack("i", count)[0])
