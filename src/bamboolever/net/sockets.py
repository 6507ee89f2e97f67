"""Socket options that turn a silent path into an error."""

import socket

from bamboolever.net.addresses import Address

LISTEN_BACKLOG = 512
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2


def open_listener(address: Address) -> socket.socket:
    """Return a non-blocking listening socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


def start_connecting(address: Address, silence_limit_s: float) -> socket.socket:
    """Return a non-blocking socket that is connecting to ``address``.

    Sent bytes without an acknowledgement for ``silence_limit_s`` end the
    connection, and idle connections are probed.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    set_options(sock, silence_limit_s)
    sock.connect_ex(address)
    return sock


def set_options(sock: socket.socket, silence_limit_s: float) -> None:
    """Send small writes at once and notice a peer that went silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    limit_ms = int(silence_limit_s * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
