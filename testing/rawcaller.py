"""A caller that sends raw bytes on one connection, and reads only when told to."""

import socket

from sitebuilders import WAIT_S, make_headers

RECEIVE_BUFFER_BYTES = 4096
END_OF_CHUNKS = b"0\r\n\r\n"


class RawCaller:
    """Sends whole requests, or parts of them."""

    def __init__(self, address):
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.settimeout(WAIT_S)
        self._sock.connect(address)

    def send(self, path, *, version="1.1", **headers):
        """Send a whole request."""
        head = make_head(path, "Content-Length: 4", version=version, **headers)
        self.send_bytes(head + b"body")

    def send_bytes(self, data):
        self._sock.sendall(data)

    def read_all(self):
        """Return the bytes until the connection ends, and whether it was reset."""
        received = bytearray()
        try:
            while data := self._sock.recv(65536):
                received += data
        except ConnectionResetError:
            return bytes(received), True
        return bytes(received), False

    def read_body(self, size_bytes):
        received_bytes = 0
        while received_bytes < size_bytes:
            data = self._sock.recv(2**18)
            assert data, "the connection ended early"
            received_bytes += len(data)

    @property
    def port(self):
        return self._sock.getsockname()[1]

    def close(self):
        self._sock.close()


def make_head(path, *lines, version="1.1", **headers):
    """Return the head of a request; ``lines`` say how its body is framed."""
    named = [f"{name}: {value}" for name, value in make_headers(**headers).items()]
    head = [f"POST {path} HTTP/{version}", *lines, *named]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def make_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)
