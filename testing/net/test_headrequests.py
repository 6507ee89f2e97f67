"""Responses to HEAD requests: the same head as for GET, and no body."""

import socket

import pytest
from echoserver import TIMEOUT_S

GET = b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n"
HEAD = b"HEAD %s HTTP/1.1\r\nHost: h\r\n\r\n"
CONTENT = b"path /x"


@pytest.fixture
def sock(server):
    with socket.create_connection(server.address, TIMEOUT_S) as sock:
        yield sock


def _receive_until(sock, ending):
    received = b""
    while not received.endswith(ending):
        data = sock.recv(65536)
        assert data, "the connection ended before the response"
        received += data
    return received


def test_response_to_a_head_request_has_no_body(sock):
    """Guards against requests that are never answered, as HTTP forbids the body."""
    sock.sendall(HEAD % b"/x")
    response = _receive_until(sock, b"\r\n\r\n")
    assert response.startswith(b"HTTP/1.1 200")
    assert b"Content-Length: %d\r\n" % len(CONTENT) in response


def test_connection_is_used_again_after_a_head_request(sock):
    sock.sendall(HEAD % b"/x" + GET % b"/x" + HEAD % b"/x" + GET % b"/last")
    received = _receive_until(sock, b"path /last")
    assert received.count(b"HTTP/1.1 200") == 4
    assert received.count(CONTENT) == 1


def test_streamed_response_to_a_head_request_has_no_body(sock):
    sock.sendall(HEAD % b"/stream")
    response = _receive_until(sock, b"\r\n\r\n")
    assert response.startswith(b"HTTP/1.1 200")


def test_rejected_head_request_is_answered_without_a_body(server, sock):
    length = b"Content-Length: %d\r\n\r\n" % (10 * server.limits.max_body_bytes)
    sock.sendall(b"HEAD /x HTTP/1.1\r\nHost: h\r\n" + length)
    received = _receive_until(sock, b"\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 413")
    assert sock.recv(1) == b""


def test_malformed_request_after_a_head_request_gets_a_body(sock):
    sock.sendall(HEAD % b"/x")
    _receive_until(sock, b"\r\n\r\n")
    sock.sendall(b"no request\r\n\r\n")
    response = b""
    while data := sock.recv(65536):
        response += data
    head, _, body = response.partition(b"\r\n\r\n")
    assert body
    assert b"Content-Length: %d\r\n" % len(body) in head + b"\r\n"
