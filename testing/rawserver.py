"""A TCP server that sends scripted bytes, for tests of broken HTTP responses."""

import socket
import struct
import threading
from dataclasses import dataclass

from bamboolever.net.addresses import Address

WAIT_S = 30.0


@dataclass(frozen=True)
class Endless:
    """Bytes to repeat, after a pause of ``gap_s`` seconds each."""

    data: bytes
    gap_s: float = 0.0


class RawServer:
    """Runs the next script on each accepted connection.

    A script is a list of steps. Bytes are sent after the head of the next request
    has arrived, as is what a function returns for that head; "close" and "reset" end
    the connection; "hold" leaves it open until the client sends or closes. At an event
    of `threading` the script waits until it is set. `Endless` bytes are sent until the
    client closes the connection, which ends the script, as a reset does at any step.
    """

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self._sock.getsockname())
        self.requests = []
        self.accepted_connections = 0
        self.closed_by_client = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self):
        self._sock.close()

    def _run(self):
        for script in self._scripts:
            try:
                connection, _ = self._sock.accept()
            except OSError:
                return
            self.accepted_connections += 1
            threading.Thread(
                target=self._run_script, args=(connection, script), daemon=True
            ).start()

    def _run_script(self, connection, script):
        try:
            self._run_steps(connection, script)
        except ConnectionError:
            # The client has reset the connection.
            connection.close()

    def _run_steps(self, connection, script):
        for step in script:
            if isinstance(step, threading.Event):
                step.wait(WAIT_S)
                continue
            if isinstance(step, Endless):
                self._send_until_closed(connection, step)
                return
            if step == "close":
                connection.close()
                return
            if step == "reset":
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                connection.close()
                return
            if step == "hold":
                connection.recv(65536)
                return
            request = b""
            while b"\r\n\r\n" not in request:
                data = connection.recv(65536)
                if not data:
                    return
                request += data
            self.requests.append(request)
            connection.sendall(step(request) if callable(step) else step)
        connection.recv(65536)

    def _send_until_closed(self, connection, endless):
        never_set = threading.Event()
        try:
            while not never_set.wait(endless.gap_s):
                connection.sendall(endless.data)
        except OSError:
            self.closed_by_client.set()


def make_response(body=b"ok", status="200 OK", *headers):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
