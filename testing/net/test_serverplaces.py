"""Who has a connection to the HTTP server as more connect than it takes."""

import errno
import socket
import threading

import pytest
from echoserver import TIMEOUT_S, connect_and_get, get, list_states
from sitebuilders import wait_for

from bamboolever.net import server as server_module
from bamboolever.net.server import MAX_ACCEPTS_PER_TURN


class FullListener:
    """A listener whose process has no descriptors left."""

    def __init__(self, sock):
        self._sock = sock
        self.attempts = 0
        self.is_full = True

    def fileno(self):
        return self._sock.fileno()

    def close(self):
        self._sock.close()

    def accept(self):
        self.attempts += 1
        if self.is_full:
            raise OSError(errno.EMFILE, "too many open files")
        return self._sock.accept()


def _await_passes(task, count):
    for _ in range(count):
        passed = threading.Event()
        task.send(passed.set)
        assert passed.wait(TIMEOUT_S)


def test_server_without_descriptors_does_not_spin(make_server, monkeypatch):
    """Guards against a loop that only tries to accept, as its listener is readable."""
    monkeypatch.setattr(server_module, "ACCEPT_RETRY_S", 1.0)
    server = make_server(max_connections=9)
    listener = FullListener(server._sock)
    server.task.send(lambda: _replace_listener(server, listener))
    _await_passes(server.task, 1)
    with socket.create_connection(server.address, TIMEOUT_S) as sock:
        wait_for(lambda: listener.attempts)
        _await_passes(server.task, 100)
        assert listener.attempts == 1
        listener.is_full = False
        sock.sendall(b"GET /alive HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"path /alive" in sock.recv(4096)


def _replace_listener(server, listener):
    server.task.unregister(server._sock)
    server._sock = listener
    server.start()


def test_new_caller_takes_the_place_of_one_that_sends_no_request(make_server):
    """Guards against callers that are kept out by others that only stay connected."""
    server = make_server(max_connections=2)
    with (
        connect_and_get(server, b"/first") as served,
        socket.create_connection(server.address, TIMEOUT_S) as silent,
        socket.create_connection(server.address, TIMEOUT_S) as partial,
    ):
        assert silent.recv(4096) == b""
        partial.sendall(b"GET /partial HTTP/1.1\r\n")
        wait_for(lambda: any(each.is_request_begun for each in list_states(server)))
        with socket.create_connection(server.address, TIMEOUT_S) as newest:
            assert b" 503 " in partial.recv(4096)
            assert get(newest, b"/newest")
            assert get(served, b"/again")


def test_caller_among_many_that_connect_at_once_is_served(make_server):
    """Guards against a place that is given away before its request was read."""
    server = make_server(max_connections=MAX_ACCEPTS_PER_TURN)
    socks = []

    def connect_many():
        for _ in range(3 * MAX_ACCEPTS_PER_TURN):
            socks.append(socket.create_connection(server.address, TIMEOUT_S))
        socks[0].sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")

    server.task.send(connect_many)
    wait_for(lambda: len(socks) == 3 * MAX_ACCEPTS_PER_TURN)
    try:
        assert b"path /1" in socks[0].recv(4096)
    finally:
        for sock in socks:
            sock.close()


def test_connection_with_a_response_due_keeps_its_place(make_server):
    server = make_server(max_connections=1)
    with socket.create_connection(server.address, TIMEOUT_S) as held:
        held.sendall(b"GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
        connection = server.handler.held.get(timeout=TIMEOUT_S)
        with socket.create_connection(server.address, TIMEOUT_S) as newest:
            assert newest.recv(4096) == b""
        server.task.send(lambda: connection.respond(200, [], b"held"))
        assert b"held" in held.recv(4096)


def test_connection_that_waits_to_be_accepted_is_served_as_listening_ends(make_server):
    server = make_server(max_connections=9)

    def connect_and_stop_listening():
        socks.append(socket.create_connection(server.address, TIMEOUT_S))
        socks[0].sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
        server.stop_listening()

    socks = []
    server.task.send(connect_and_stop_listening)
    wait_for(lambda: socks)
    with socks[0] as sock:
        assert b"path /1" in sock.recv(4096)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(server.address, TIMEOUT_S)
