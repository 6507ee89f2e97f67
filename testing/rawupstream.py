"""An engine that sends scripted bytes, registered with a site of stand-ins."""

from rawserver import RawServer

from bamboolever.platform.standins.site import ENGINE_SERVICE, PLAIN_SERVICE
from bamboolever.platform.standins.upstream import EngineState

CONNECTION_COUNT = 50


class RawUpstream:
    """Runs the same script on each connection; see `RawServer` for its steps."""

    def __init__(self, site, instance_id, script, *, is_engine=True):
        self.instance_id = instance_id
        self.engine = EngineState() if is_engine else None
        self._server = RawServer(*[script] * CONNECTION_COUNT)
        self.address = self._server.address
        site.put_upstream(self, ENGINE_SERVICE if is_engine else PLAIN_SERVICE)

    @property
    def requests(self):
        """The heads of the received requests, oldest first."""
        return self._server.requests


def signed(body, *headers, status="200 OK"):
    """Return a step that answers a request with a signed response.

    ``headers`` say how its body is framed. Without any, it ends with the connection.
    """

    def make_response(request):
        lines = [
            f"HTTP/1.1 {status}".encode(),
            b"Bamboolever-Attempt-Id: " + _header_value(request, b"attempt-id"),
            b"Bamboolever-Response-Signature: signed",
            *headers,
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    return make_response


def chunked(*parts):
    """Return a complete chunked body."""
    chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
    return b"".join(chunks) + b"0\r\n\r\n"


def _header_value(request, name):
    prefix = b"bamboolever-" + name + b":"
    for line in request.split(b"\r\n"):
        if line.lower().startswith(prefix):
            return line[len(prefix) :].strip()
    return b""
