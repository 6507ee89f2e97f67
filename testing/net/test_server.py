"""The HTTP server with malformed, slow and hostile input."""

import socket
import threading

import pytest
from echoserver import TIMEOUT_S, connect_and_get, list_states
from hypothesis import given, settings
from hypothesis import strategies as st
from sitebuilders import wait_for

from bamboolever.net.handlers import HttpLimits
from bamboolever.net.serverconnection import (
    MAX_PIPELINED_BYTES,
    RECEIVE_BYTES,
)

PATIENT_LIMITS = HttpLimits(header_timeout_s=TIMEOUT_S, idle_timeout_s=TIMEOUT_S)
MIB = 2**20
BODY = b"x" * MIB
POST = b"POST /post HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"


def _exchange(server, data):
    with socket.create_connection(server.address, TIMEOUT_S) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        try:
            while chunk := sock.recv(65536):
                received += chunk
        except ConnectionError:
            pass
        return received


def _send_and_receive_once(server, data):
    with socket.create_connection(server.address, TIMEOUT_S) as sock:
        sock.sendall(data)
        return sock.recv(65536)


def _is_alive(server):
    return b"200" in _send_and_receive_once(
        server, b"GET /alive HTTP/1.1\r\nHost: h\r\n\r\n"
    )


@settings(max_examples=40)
@given(st.binary(max_size=300))
def test_server_survives_any_bytes(server, data):
    _exchange(server, data)
    assert _is_alive(server)


@settings(max_examples=40)
@given(
    st.sampled_from(
        [b"Content-Length: 5", b"Content-Length: +5", b"Content-Length: 5, 6"]
    ),
    st.sampled_from(
        [b"Transfer-Encoding: chunked", b"Transfer-Encoding: gzip", b"X: y"]
    ),
    st.binary(max_size=40),
)
def test_smuggled_requests_are_not_served(server, length, coding, body):
    handler = server.handler
    head = b"POST /outer HTTP/1.1\r\nHost: h\r\n%s\r\n%s\r\n\r\n" % (length, coding)
    _exchange(server, head + body + b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
    assert _is_alive(server)
    targets = set()
    while not handler.requests.empty():
        targets.add(handler.requests.get().target)
    # With one valid length, what follows the five-byte body is a pipelined request.
    is_plain = length == b"Content-Length: 5" and coding == b"X: y"
    if not is_plain:
        assert targets <= {b"/alive"}


def test_incomplete_head_times_out_with_408(server):
    response = _send_and_receive_once(server, b"GET /slow HTTP/1.1\r\nHost:")
    assert b" 408 " in response


def test_pipelined_requests_are_served_in_order(server):
    request = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
    with socket.create_connection(server.address, TIMEOUT_S) as sock:
        sock.sendall(request % 1 + request % 2)
        received = b""
        while received.count(b"path ") < 2:
            received += sock.recv(65536)
    assert received.index(b"path /1") < received.index(b"path /2")


def test_request_that_is_sent_ahead_ends_no_response_before_it(server):
    """Guards against a connection that is closed as its caller sends ahead."""
    first = b"GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
    second = b"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % MIB
    with socket.create_connection(server.address, TIMEOUT_S) as sock:
        sender = threading.Thread(target=sock.sendall, args=(first + second + BODY,))
        sender.start()
        connection = server.handler.held.get(timeout=TIMEOUT_S)
        wait_for(lambda: connection._pipelined_bytes >= MAX_PIPELINED_BYTES)
        assert connection.state().received_bytes <= 2 * RECEIVE_BYTES
        server.task.send(lambda: connection.respond(200, [], b"held"))
        sender.join()
        received = b""
        while b"path /2" not in received:
            data = sock.recv(65536)
            assert data, "the connection ended early"
            received += data
    assert received.index(b"held") < received.index(b"path /2")


def test_request_in_the_kernel_keeps_its_connection_open(make_server):
    """Guards against a close that resets a request which arrives just before it."""
    server = make_server(max_connections=9, limits=PATIENT_LIMITS)

    def send_and_close_idle():
        sock.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
        server.close_idle()

    with connect_and_get(server, b"/0") as sock:
        server.task.send(send_and_close_idle)
        assert b"path /1" in sock.recv(4096)


@pytest.mark.parametrize("first_bytes", [0, 3, len(POST) - 1])
def test_request_in_the_kernel_is_no_timeout(make_server, first_bytes):
    """Guards against an entry that is behind and blames its caller."""
    server = make_server(max_connections=9, limits=PATIENT_LIMITS)

    def send_and_time_out():
        sock.sendall(POST[first_bytes:])
        (connection,) = server._connections
        connection._on_timeout()

    with socket.create_connection(server.address, TIMEOUT_S) as sock:
        sock.sendall(POST[:first_bytes])
        wait_for(lambda: server.connection_count == 1)
        wait_for(lambda: list_states(server)[0].is_request_begun == (first_bytes > 0))
        server.task.send(send_and_time_out)
        assert b"path /post" in sock.recv(4096)


def test_request_in_the_kernel_is_answered_by_a_stopping_server(make_server):
    """Guards against a last response before a request that has arrived."""
    server = make_server(max_connections=9)
    server.announce_stop()

    def send_and_respond():
        sock.sendall(b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
        connection.respond(200, [], b"held")

    with socket.create_connection(server.address, TIMEOUT_S) as sock:
        sock.sendall(b"GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
        connection = server.handler.held.get(timeout=TIMEOUT_S)
        server.task.send(send_and_respond)
        received = b""
        while data := sock.recv(65536):
            received += data
    assert b"held" in received
    assert b"path /2" in received
    assert received.count(b"Connection: close") == 1


def test_chunked_body_with_a_content_length_is_rejected(server):
    handler = server.handler
    while not handler.requests.empty():
        handler.requests.get()
    request = (
        b"POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    )
    assert b" 400 " in _send_and_receive_once(server, request)
    assert handler.requests.empty()


def test_other_requests_have_their_turn_among_many_small_chunks(server):
    """Guards against a caller whose parts keep the task busy while others wait."""
    requests = server.handler.requests
    while not requests.empty():
        requests.get()
    head = b"POST /chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    body = b"1\r\nx\r\n" * 5000 + b"0\r\n\r\n"
    both_sent = threading.Event()
    with (
        socket.create_connection(server.address, TIMEOUT_S) as chunking,
        socket.create_connection(server.address, TIMEOUT_S) as other,
    ):
        wait_for(lambda: server.connection_count >= 2)
        server.task.send(both_sent.wait)
        chunking.sendall(head + body)
        other.sendall(b"GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
        both_sent.set()
        first = requests.get(timeout=TIMEOUT_S)
        second = requests.get(timeout=TIMEOUT_S)
    assert (first.target, second.target) == (b"/other", b"/chunks")
    assert second.body == b"x" * 5000


def test_stream_that_its_caller_does_not_read_is_closed(server):
    with socket.create_connection(server.address, TIMEOUT_S) as sock:
        sock.sendall(b"GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
        assert server.handler.is_closed.get(timeout=TIMEOUT_S)
