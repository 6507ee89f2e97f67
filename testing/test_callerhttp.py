"""The callers' port of the product's own entry."""

import queue
import socket

import pytest
from sitebuilders import WAIT_S, wait_for

from bamboolever._callerhttp import CallerHandler, CallerServer
from bamboolever._task import IoTask


class OkHandler(CallerHandler):
    def __init__(self):
        self.rejected = queue.Queue()

    def on_request(self, connection, request):
        connection.respond(200, "text/plain", request.body, [])

    def on_caller_gone(self, connection):
        pass

    def on_bad_request(self, reason):
        self.rejected.put(reason)


@pytest.fixture
def server():
    task = IoTask("callers")
    server = CallerServer(task, ("127.0.0.1", 0), OkHandler(), max_connections=10)
    server.start()
    task.start()
    yield server
    task.stop()


def test_request_that_arrives_across_a_drain_is_answered(server):
    """Guards against connections that are closed while a request is on its way."""
    task = server._server.task
    address = ("127.0.0.1", server.port)
    with socket.create_connection(address, WAIT_S) as caller:
        caller.sendall(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
        wait_for(lambda: not server.is_idle)
        task.send(server.stop_accepting)
        wait_for(lambda: server.is_stopping)
        assert not server.is_idle
        caller.sendall(b"dy")
        received = caller.recv(4096)
        assert received.startswith(b"HTTP/1.1 200 ")
        assert received.endswith(b"body")
        wait_for(lambda: server.is_idle)
