"""The agent's HTTP client of an upstream, with responses that break off."""

import pytest
from rawserver import Endless, RawServer, make_response

from bamboolever._origin import HttpOrigin, OriginError
from bamboolever._upstream import (
    HttpUpstream,
    ResponseSink,
    UpstreamBroken,
    UpstreamCall,
)

CALL = UpstreamCall(
    method="POST",
    path="/orders",
    content_type="application/json",
    body=b"{}",
    is_stream=False,
    resume_from=0,
    priority=0,
    trace_id="t",
    dispatch_key="k",
    timeout_s=5.0,
)


class RecordingSink(ResponseSink):
    def __init__(self):
        self.body = b""

    def on_connected(self, abort):
        pass

    def on_head(self, head):
        pass

    def on_piece(self, data):
        self.body += data


def _url(server):
    return f"http://{server.address}"


def test_whole_response_is_complete():
    server, sink = RawServer([make_response(b"whole"), "close"]), RecordingSink()
    assert HttpUpstream(_url(server)).relay(CALL, sink)
    assert sink.body == b"whole"


def test_truncated_response_is_not_passed_on_as_complete():
    """Guards against `http.client`, whose sized reads report no missing bytes."""
    server, sink = RawServer([make_response(b"whole")[:-2], "close"]), RecordingSink()
    with pytest.raises(UpstreamBroken):
        HttpUpstream(_url(server)).relay(CALL, sink)
    assert sink.body == b""


@pytest.mark.parametrize("status", ["000", "600 Odd", "999 Odd"])
def test_response_with_an_invalid_status_is_not_passed_on(status):
    """Guards against a status that HTTP does not know reaching a caller."""
    server = RawServer([make_response(b"whole", status), "close"])
    sink = RecordingSink()
    with pytest.raises(UpstreamBroken):
        HttpUpstream(_url(server)).relay(CALL, sink)
    assert sink.body == b""


def test_truncated_chunk_of_the_origin_is_an_error():
    server = RawServer([make_response(b"whole")[:-2], "close"])
    with pytest.raises(OriginError):
        HttpOrigin(_url(server)).read_chunk("digest", 5)


def test_event_without_end_is_an_error():
    """Guards against an agent that keeps all lines of an event that does not end."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    server = RawServer([head, Endless(b"data: x\n" * 8192)])
    with pytest.raises(UpstreamBroken, match="size limit"):
        HttpUpstream(_url(server)).relay(CALL, RecordingSink())
