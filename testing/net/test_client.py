"""The HTTP client with complete, broken, late and unexpected responses."""

import queue
import select
import socket
import threading

import pytest
from rawserver import Endless, RawServer, make_response
from sitebuilders import wait_for

from bamboolever._task import READ, WRITE, IoTask
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool, parse_keep_alive_timeout
from bamboolever.net.exchange import FailureKind, ResponseHandler
from bamboolever.net.messages import Request, ResponseHead

REQUEST = Request(b"POST", b"/x", ((b"Host", b"h"), (b"X-Id", b"1")), b"body")
TIMEOUT_S = 30.0


class RecordingHandler(ResponseHandler):
    def __init__(self, accepted_id=None):
        self.accepted_id = accepted_id
        self.head = None
        self.body = b""
        self.has_data = threading.Event()
        self.outcome = queue.Queue()

    def accepts(self, head):
        return self.accepted_id is None or head.get(b"x-id") == self.accepted_id

    def on_head(self, head):
        self.head = head

    def on_data(self, data):
        self.body += data
        self.has_data.set()

    def on_end(self):
        self.outcome.put("end")

    def on_failure(self, failure):
        self.outcome.put(failure)


@pytest.fixture
def task():
    task = IoTask("test")
    task.start()
    yield task
    task.stop()


@pytest.fixture
def pool(task):
    return ConnectionPool(task, connect_timeout_s=1.0, max_idle_s=10.0)


def _exchange(pool, address, handler=None, request=REQUEST):
    handler = handler or RecordingHandler()
    pool.task.send(lambda: pool.send(address, request, handler))
    return handler, handler.outcome.get(timeout=TIMEOUT_S)


def test_connection_is_reused_after_a_complete_response(pool):
    server = RawServer([make_response(b"one"), make_response(b"two")])
    first, outcome = _exchange(pool, server.address)
    assert (outcome, first.body) == ("end", b"one")
    second, outcome = _exchange(pool, server.address)
    assert (outcome, second.body) == ("end", b"two")
    assert server.accepted_connections == 1


@pytest.mark.parametrize("late", ["close", Endless(make_response(b"one"))])
def test_connection_is_not_reused_with_input_in_the_kernel(pool, late):
    """Guards against a request on a connection that has ended, or brings a copy."""
    is_late_due = threading.Event()
    first = [make_response(b"one"), is_late_due, late]
    server = RawServer(first, [make_response(b"two")])
    _exchange(pool, server.address)
    handler = RecordingHandler()

    def send_behind_input():
        (connection,) = pool._idle[server.address]
        is_late_due.set()
        select.select([connection._sock], [], [], TIMEOUT_S)
        pool.send(server.address, REQUEST, handler)

    pool.task.send(send_behind_input)
    assert handler.outcome.get(timeout=TIMEOUT_S) == "end"
    assert handler.body == b"two"
    assert server.accepted_connections == 2


def test_event_of_a_connection_that_was_just_closed_is_ignored():
    """Guards against a callback that fails on a socket closed in the same pass."""
    task = IoTask("test")
    pool = ConnectionPool(task, connect_timeout_s=1.0, max_idle_s=1.0)
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = Address(*server.getsockname())
        connection = pool.send(address, REQUEST, RecordingHandler())
        connection.cancel()
        connection._on_ready(READ | WRITE)
    assert connection.is_closed


def test_response_without_length_ends_with_the_connection(pool):
    server = RawServer([b"HTTP/1.1 200 OK\r\n\r\nto the end", "close"])
    handler, outcome = _exchange(pool, server.address)
    assert (outcome, handler.body) == ("end", b"to the end")


def test_reset_response_without_length_is_a_failure(pool):
    server = RawServer([b"HTTP/1.1 200 OK\r\n\r\npart", "reset"])
    _, outcome = _exchange(pool, server.address)
    assert outcome.kind is FailureKind.RESET


def test_reset_while_sending_does_not_complete_a_response_without_length(pool):
    """Guards against an end of stream that only follows an error of the socket."""
    large = Request(b"POST", b"/x", ((b"Host", b"h"),), b"x" * 2**23)
    handler = RecordingHandler()
    server = RawServer([b"HTTP/1.1 200 OK\r\n\r\npart", handler.has_data, "reset"])
    _, outcome = _exchange(pool, server.address, handler, large)
    assert outcome != "end"
    assert outcome.kind is FailureKind.RESET


def test_truncated_response_is_a_failure_after_sending(pool):
    server = RawServer([make_response(b"whole")[:-2], "close"])
    _, outcome = _exchange(pool, server.address)
    assert outcome.is_request_sent
    assert outcome.kind is FailureKind.CLOSED


def test_invalid_response_is_malformed(pool):
    server = RawServer([b"\x00\x01garbage\r\n\r\n"])
    _, outcome = _exchange(pool, server.address)
    assert outcome.kind is FailureKind.MALFORMED


def test_unexpected_bytes_are_dropped_and_close_the_connection(pool):
    server = RawServer(
        [make_response(b"one") + make_response(b"extra")], [make_response()]
    )
    first, _ = _exchange(pool, server.address)
    second, outcome = _exchange(pool, server.address)
    assert first.body == b"one"
    assert (outcome, second.body) == ("end", b"ok")
    assert server.accepted_connections == 2


ENDLESS_SCRIPTS = {
    "head": [b"HTTP/1.1 200 OK\r\n", Endless(b"X-More: bytes\r\n")],
    "header": [b"HTTP/1.1 200 OK\r\nX-Long: ", Endless(b"x" * 1000)],
    "interim responses": [b"", Endless(b"HTTP/1.1 100 Continue\r\n\r\n")],
    "other responses": [b"", Endless(make_response(b"late", "200 OK", "X-Id: 0"))],
    "body of another response": [
        b"HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\n",
        Endless(b"x" * 1000),
    ],
    "chunk size": [
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        Endless(b"0" * 1000),
    ],
    "no HTTP": [b"", Endless(b"\xff" * 1000)],
}


@pytest.mark.parametrize("script", ENDLESS_SCRIPTS.values(), ids=ENDLESS_SCRIPTS)
def test_bytes_without_end_that_are_no_response_close_the_connection(pool, script):
    server = RawServer(script)
    _, outcome = _exchange(pool, server.address, RecordingHandler(b"1"))
    assert outcome.kind is FailureKind.MALFORMED
    assert server.closed_by_client.wait(TIMEOUT_S)


def test_bytes_without_end_after_a_response_close_the_connection(pool):
    server = RawServer([make_response(b"one"), Endless(b"x" * 1000)])
    handler, outcome = _exchange(pool, server.address)
    assert (outcome, handler.body) == ("end", b"one")
    assert server.closed_by_client.wait(TIMEOUT_S)


def test_late_response_to_another_request_is_discarded(pool):
    other = make_response(b"late", "200 OK", "X-Id: 0")
    own = make_response(b"own", "200 OK", "X-Id: 1")
    server = RawServer([other + own])
    handler, outcome = _exchange(pool, server.address, RecordingHandler(b"1"))
    assert (outcome, handler.body) == ("end", b"own")


def test_connection_is_not_reused_after_a_refusal(pool):
    """Guards against an earlier refusal, written again, where nothing bears an id."""
    refusal = make_response(b"", "409 Conflict")
    server = RawServer([refusal, refusal], [make_response(b"ok")])
    handler, _ = _exchange(pool, server.address)
    assert handler.head.status == 409
    handler, _ = _exchange(pool, server.address)
    assert handler.head.status == 200
    assert server.accepted_connections == 2


def test_refused_connection_has_sent_nothing(pool):
    server = RawServer()
    server.close()
    _, outcome = _exchange(pool, server.address)
    assert outcome.kind is FailureKind.CONNECT
    assert not outcome.is_request_sent
    assert outcome.is_refused


def test_response_before_the_end_of_the_request_closes_the_connection(pool):
    large = Request(b"POST", b"/x", ((b"Host", b"h"),), b"x" * 2**23)
    server = RawServer([make_response(b"early", "413 Too Large")], [make_response()])
    handler, outcome = _exchange(pool, server.address, request=large)
    assert (outcome, handler.head.status) == ("end", 413)
    _exchange(pool, server.address)
    assert server.accepted_connections == 2


def test_connection_is_not_reused_after_connection_close(pool):
    closing = make_response(b"one", "200 OK", "Connection: close")
    server = RawServer([closing, "close"], [make_response()])
    _exchange(pool, server.address)
    _, outcome = _exchange(pool, server.address)
    assert outcome == "end"
    assert server.accepted_connections == 2


@pytest.mark.parametrize(
    ("value", "expected"),
    [(b"timeout=5, max=9", 5.0), (b"max=9", None), (b"timeout=x", None), (None, None)],
)
def test_keep_alive_timeout_is_parsed(value, expected):
    headers = () if value is None else ((b"Keep-Alive", value),)
    assert parse_keep_alive_timeout(ResponseHead(200, headers)) == expected


OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("begin", "endless"),
    [
        (b"", b"x" * 4096),
        (b"", b"\r\n" * 2048),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
        (b"HTTP/1.1 200 ", b"x" * 4096),
        (OK_HEAD + b"X-Long: ", b"x" * 4096),
        (OK_HEAD, b"X-Many: 1\r\n" * 400),
        (OK_HEAD + b"X-Folded: 1\r\n", b" 2\r\n" * 1000),
        (CHUNKED_HEAD, b"0" * 4096),
        (CHUNKED_HEAD + b"4;", b"x" * 4096),
        (CHUNKED_HEAD + b"0\r\n", b"X-Trailer: 1\r\n" * 300),
    ],
    ids=[
        "no-response",
        "blank-lines",
        "informational",
        "status-line",
        "header",
        "headers",
        "folded",
        "chunk-size",
        "chunk-extension",
        "trailers",
    ],
)
def test_head_without_end_is_a_failure(pool, begin, endless):
    """Guards against bytes that are no response and use up the memory."""
    server = RawServer([begin, Endless(endless)])
    _handler, failure = _exchange(pool, server.address)
    assert failure.kind is FailureKind.MALFORMED
    assert server.closed_by_client.wait(TIMEOUT_S)


def _receive_all(sock):
    """Return what is sent on a connection until its end, or until it is reset."""
    received = b""
    try:
        while data := sock.recv(65536):
            received += data
    except ConnectionResetError:
        pass
    return received


def test_cancelled_request_does_not_reach_the_server_later(pool):
    """Guards against work for a caller that has left.

    The kernel holds what the link, or here the server's window, doesn't let through
    yet, and sends it on after the connection was closed.
    """
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = Address(*listener.getsockname())
        request = Request(b"POST", b"/x", ((b"Host", b"h"),), b"x" * 60_000)
        connections = queue.Queue()

        def send():
            connections.put(pool.send(address, request, RecordingHandler()))

        pool.task.send(send)
        connection = connections.get(timeout=TIMEOUT_S)
        sock, _ = listener.accept()
        wait_for(lambda: connection._is_request_sent and not connection._send_queue)
        pool.task.send(connection.cancel)
        wait_for(lambda: connection.is_closed)
        with sock:
            sock.settimeout(TIMEOUT_S)
            assert not _receive_all(sock).endswith(request.body)
