"""A server whose responses name the path of their request, for tests of HTTP."""

import queue
import socket

from bamboolever._task import IoTask
from bamboolever.net.addresses import Address
from bamboolever.net.handlers import HttpLimits, RequestHandler
from bamboolever.net.server import HttpServer
from bamboolever.net.serverconnection import MAX_STREAM_BUFFER_BYTES

TIMEOUT_S = 30.0


class EchoHandler(RequestHandler):
    def __init__(self, task):
        self.task = task
        self.requests = queue.Queue()
        self.rejected = queue.Queue()
        self.held = queue.Queue()
        self.is_closed = queue.Queue()

    def on_request(self, connection, request):
        self.requests.put(request)
        if request.target == b"/stream":
            connection.start(200, [])
            connection.send(b"x" * 4 * MAX_STREAM_BUFFER_BYTES)
            # Runs after what the connection has sent to the task.
            self.task.send(lambda: self.is_closed.put(connection._is_closed))
            return
        if request.target == b"/held":
            self.held.put(connection)
            return
        connection.respond(200, [], b"path " + request.target)

    def on_caller_gone(self, connection):
        pass

    def on_rejected(self, status, reason):
        self.rejected.put(status)


def start_server(*, limits=None, **options):
    task = IoTask("test server")
    limits = limits or HttpLimits(header_timeout_s=0.3, idle_timeout_s=1.0)
    address = Address("127.0.0.1", 0)
    server = HttpServer(task, address, EchoHandler(task), limits, **options)
    server.start()
    task.start()
    return server


def stop_server(server):
    server.task.send(server.close)
    server.task.stop()


def connect_and_get(server, target):
    sock = socket.create_connection(server.address, TIMEOUT_S)
    assert get(sock, target)
    return sock


def get(sock, target):
    sock.sendall(b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % target)
    return b"path " + target in sock.recv(4096)


def list_states(server):
    return [connection.state() for connection in list(server._connections)]
