"""Responses that break off reach no caller as complete, however they are framed."""

import pytest
from rawupstream import RawUpstream, chunked, signed
from sitebuilders import make_stream_headers

EVENTS = [f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, 6)]
WHOLE = b"".join(EVENTS)
PARTIAL = EVENTS[0] + EVENTS[1] + b"id: 3\nda"
CHUNKED = b"Transfer-Encoding: chunked"


def _length(body):
    return b"Content-Length: %d" % len(body)


TRUNCATED_STREAMS = {
    "no length": [signed(PARTIAL), "close"],
    "chunked": [signed(chunked(PARTIAL), CHUNKED), "close"],
    "length": [signed(PARTIAL, _length(PARTIAL)), "close"],
    "no length, reset": [signed(PARTIAL), "reset"],
}


@pytest.fixture(params=TRUNCATED_STREAMS.values(), ids=TRUNCATED_STREAMS)
def truncating_upstream(site, request):
    return RawUpstream(site, "truncating", request.param)


def _call_stream(entry):
    return entry.call("/stream/1", **make_stream_headers())


def test_stream_that_ends_inside_an_event_is_not_passed_on_as_complete(
    truncating_upstream, start_entry
):
    """Guards against incident ORDER: a partial event was forwarded as the end."""
    response = _call_stream(start_entry().wait_ready(1))
    assert not response.is_complete
    assert response.body == EVENTS[0] + EVENTS[1]


@pytest.mark.parametrize("script", TRUNCATED_STREAMS.values(), ids=TRUNCATED_STREAMS)
def test_stream_that_ends_inside_an_event_is_resumed(site, start_entry, script):
    truncated, ending = script
    rest = EVENTS[2] + EVENTS[3] + EVENTS[4]

    def respond(request):
        is_resumed = b"last-event-id: 2\r\n" in request.lower()
        return (signed(rest, _length(rest)) if is_resumed else truncated)(request)

    for name in ("first", "second"):
        RawUpstream(site, name, [respond, ending])
    response = _call_stream(start_entry().wait_ready(2))
    assert response.is_complete
    assert response.body == WHOLE


@pytest.mark.parametrize(
    "received",
    [b"data: a\n\ndata: b\n\n", b"id: 1\ndata: a\n\ndata: b\n\n"],
    ids=["no id", "no id since"],
)
def test_stream_is_cut_after_an_event_without_an_id(site, start_entry, received):
    """Guards against events that come twice: no id says where to resume."""
    for name in ("first", "second"):
        RawUpstream(site, name, [signed(received + b"da"), "close"])
    response = _call_stream(start_entry().wait_ready(2))
    assert not response.is_complete
    assert response.body == received


def test_stream_that_ends_inside_an_event_counts_as_a_broken_response(
    truncating_upstream, start_entry
):
    """Guards against requests that crash upstreams and are never blocked."""
    entry = start_entry().wait_ready(1)
    _call_stream(entry)
    assert entry.entry.exchange.crashes.tracker._suspects


@pytest.mark.parametrize(
    "stream",
    [WHOLE, WHOLE.replace(b"\n", b"\r\n"), WHOLE + b"\r\n", b"\n" + WHOLE],
    ids=["LF", "CRLF", "blank line behind", "blank line before"],
)
def test_whole_stream_without_a_length_is_complete(site, start_entry, stream):
    RawUpstream(site, "unframed", [signed(stream), "close"])
    response = _call_stream(start_entry().wait_ready(1))
    assert response.is_complete
    assert response.body == stream


def test_response_of_another_type_on_a_streaming_route_is_complete(site, start_entry):
    headers = (b"Content-Type: application/json", b"Content-Length: 2")
    RawUpstream(site, "unary", [signed(b"{}", *headers), "close"])
    response = _call_stream(start_entry().wait_ready(1))
    assert response.is_complete
    assert response.body == b"{}"


def test_stream_without_a_length_and_without_events_is_not_complete(site, start_entry):
    RawUpstream(site, "silent", [signed(b""), "close"])
    assert _call_stream(start_entry().wait_ready(1)).status == 502


def test_whole_response_without_a_length_is_complete(site, start_entry):
    RawUpstream(site, "plain", [signed(b"answer"), "close"], is_engine=False)
    response = start_entry().wait_ready(1).call("/orders/1")
    assert (response.status, response.body) == (200, b"answer")


def test_response_larger_than_the_buffer_of_a_stream_is_complete(site, start_entry):
    """Guards against cutting a caller off that has had no time to read."""
    body = b"x" * 12 * 2**20
    RawUpstream(site, "plain", [signed(body, _length(body)), "hold"], is_engine=False)
    response = start_entry().wait_ready(1).call("/orders/1")
    assert response.is_complete
    assert response.body == body


def test_reset_response_without_a_length_is_not_complete(site, start_entry):
    RawUpstream(site, "plain", [signed(b"answ"), "reset"], is_engine=False)
    assert start_entry().wait_ready(1).call("/orders/1").status == 502


@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("status", ["500 Failed", "404 Not Found"])
def test_error_that_breaks_off_is_not_passed_on_as_complete(
    site, start_entry, status, ending
):
    """Guards against a part of an upstream's error, framed as if it were all of it."""
    step = signed(b"part", b"Content-Length: 10", status=status)
    RawUpstream(site, "plain", [step, ending], is_engine=False)
    response = start_entry().wait_ready(1).call("/orders/1")
    assert response.status == 502
    assert "Bamboolever-Response-Signature" not in response.headers


@pytest.mark.parametrize("status", ["404 Not Found", "500 Failed"])
def test_stream_whose_resumption_gets_an_error_is_cut(site, start_entry, status):
    """Guards against an error response within a stream that has begun."""

    def respond(request):
        if b"last-event-id: 2\r\n" in request.lower():
            return signed(b"gone", b"Content-Length: 4", status=status)(request)
        return signed(PARTIAL)(request)

    for name in ("first", "second"):
        RawUpstream(site, name, [respond, "close"])
    entry = start_entry().wait_ready(2)
    response = _call_stream(entry)
    assert not response.is_complete
    assert response.body == EVENTS[0] + EVENTS[1]
    assert entry.entry.calls.in_flight == 0
