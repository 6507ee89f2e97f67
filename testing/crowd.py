"""Crowds of callers that fill the memory of an entry, and stay connected."""

import socket
import threading

from rawcaller import END_OF_CHUNKS, make_chunk, make_head

MIB = 2**20
BODY_BYTES = 4 * MIB - 1
LARGE_CHUNK_BYTES = 256 * 1024
# Longer than the timeouts of an entry, so that a caller gives up sending last.
SEND_TIMEOUT_S = 20.0
SMALL_CHUNKS = 200_000
SMALL_HEADER = b"ab:cd\r\n"
SMALL_HEADERS = 1850
AHEAD_REQUESTS = 400
AHEAD_BODY = b"x" * 8192


class Crowd:
    """``count`` callers; each sends ``data`` on its own connection at the same time.

    If ``is_answered``, each waits for the first bytes of a response to it, too.
    """

    def __init__(self, address, count, data, *, is_answered=False):
        self._data = data
        self._is_answered = is_answered
        self._socks = []
        self._address = address
        self._threads = [
            threading.Thread(target=self._send, daemon=True) for _ in range(count)
        ]

    def send_all(self):
        """Send until all is sent or refused; the connections stay open."""
        for thread in self._threads:
            thread.start()
        for thread in self._threads:
            thread.join()

    def _send(self):
        try:
            sock = socket.create_connection(self._address, SEND_TIMEOUT_S)
            self._socks.append(sock)
            sock.sendall(self._data)
            if self._is_answered:
                sock.recv(1)
        except OSError:
            # The entry has refused this caller, or reads no more of what it sends.
            return

    def close(self):
        for sock in self._socks:
            sock.close()


def whole_bodies():
    return _length_head(BODY_BYTES) + b"x" * BODY_BYTES


def bodies_that_stop_short():
    return whole_bodies()[:-1]


def large_chunks_that_stop_short():
    count = BODY_BYTES // LARGE_CHUNK_BYTES
    chunks = make_chunk(b"x" * LARGE_CHUNK_BYTES) * count
    return _chunked_head() + chunks + END_OF_CHUNKS[:-1]


def small_chunks_that_stop_short():
    return _chunked_head() + make_chunk(b"x") * SMALL_CHUNKS + END_OF_CHUNKS[:-1]


def requests_ahead():
    return (_length_head(len(AHEAD_BODY)) + AHEAD_BODY) * AHEAD_REQUESTS


def heads_that_stop_short():
    return _length_head(4)[:-1]


def many_headers_that_stop_short():
    """Return a head that is answered with a 100, and no body."""
    head = make_head("/orders/1", "Content-Length: 4", "Expect: 100-continue")
    return head[:-2] + SMALL_HEADER * SMALL_HEADERS + head[-2:]


def _length_head(size_bytes):
    return make_head("/orders/1", f"Content-Length: {size_bytes}")


def _chunked_head():
    return make_head("/orders/1", "Transfer-Encoding: chunked")
