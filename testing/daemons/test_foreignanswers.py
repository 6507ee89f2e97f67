"""Answers that a faulty upstream writes again, cuts short or puts into a stream."""

import pytest
from rawupstream import RawUpstream, chunked, signed
from sitebuilders import make_stream_headers

EVENTS = [f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, 6)]
PARTIAL = EVENTS[0] + EVENTS[1] + b"id: 3\nda"
RECEIVED = EVENTS[0] + EVENTS[1]
EVENT_STREAM = b"Content-Type: text/event-stream"
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Bamboolever-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


def _length(body):
    return b"Content-Length: %d" % len(body)


def _run(*calls):
    """Return a step for each call, which answers "ran"; ``calls`` are ignored."""
    return [signed(b"ran", _length(b"ran")) for _ in calls]


@pytest.mark.parametrize(
    ("path", "statuses"),
    [("/orders/1", (502,)), ("/lookup/1", (200, 502))],
    ids=["order", "look-up"],
)
def test_refusal_without_an_id_is_not_believed_on_a_kept_connection(
    site, start_entry, path, statuses
):
    """Guards against an earlier refusal, written again, for a request that runs."""
    # The refusal precedes the answer to the second request on the connection.
    first, second = _run(1, 2)
    script = [first, lambda request: REFUSAL + second(request), "hold"]
    RawUpstream(site, "faulty", script, is_engine=False)
    entry = start_entry().wait_ready(1)
    assert entry.call("/lookup/first").status == 200
    assert entry.call(path).status in statuses


def test_refusal_without_an_id_is_believed_on_a_new_connection(site, start_entry):
    RawUpstream(site, "full", [REFUSAL, "close"], is_engine=False)
    assert start_entry().wait_ready(1).call("/orders/1").status == 503


def _resume_with(site, rest):
    """Add upstreams that break streams off, and answer with ``rest`` to go on."""

    def respond(request):
        if b"last-event-id: 2\r\n" in request.lower():
            return rest(request)
        return signed(PARTIAL)(request)

    for name in ("first", "second"):
        RawUpstream(site, name, [respond, "close"])


@pytest.mark.parametrize(
    "rest",
    [
        signed(b"no more", b"Content-Type: text/plain", _length(b"no more")),
        signed(EVENTS[2], b"Content-Type: text/plain", _length(EVENTS[2])),
        signed(b"", EVENT_STREAM, b"Content-Length: 0"),
        signed(chunked(), EVENT_STREAM, b"Transfer-Encoding: chunked"),
        signed(b"", EVENT_STREAM, b"Content-Length: 0", status="204 No Content"),
        signed(EVENTS[0] + EVENTS[1], EVENT_STREAM, _length(RECEIVED)),
        signed(EVENTS[1] + EVENTS[2], EVENT_STREAM, _length(RECEIVED)),
    ],
    ids=[
        "text",
        "events as text",
        "empty",
        "no chunks",
        "no content",
        "from the start",
        "last event again",
    ],
)
def test_stream_is_not_ended_by_an_answer_that_does_not_continue_it(
    site, start_entry, rest
):
    """Guards against another kind of answer within a stream, or as its end."""
    _resume_with(site, rest)
    entry = start_entry().wait_ready(2)
    response = entry.call("/stream/1", **make_stream_headers())
    assert not response.is_complete
    assert response.body == RECEIVED


SECOND_ANSWER = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("last", [2, 5])
def test_head_of_a_second_answer_is_no_event(site, start_entry, last):
    """Guards against the head of an answer that followed an unframed stream."""
    body = b"".join(EVENTS[:last])
    RawUpstream(site, "faulty", [signed(body + SECOND_ANSWER, EVENT_STREAM), "close"])
    entry = start_entry().wait_ready(1)
    response = entry.call("/stream/1", **make_stream_headers())
    assert response.body == body
    assert not response.is_complete


WHOLE_HEAD = signed(b"", b"Content-Type: text/plain", b"Content-Length: 3")


@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("is_stream", [False, True], ids=["plain", "stream"])
@pytest.mark.parametrize("share", [0.02, 0.2, 0.4, 0.6, 0.8, 0.9, 0.97, 0.99, 1.0])
def test_head_that_is_cut_short_is_no_answer(
    site, start_entry, share, is_stream, ending
):
    """Guards against a head that breaks off and is passed on with a short body."""

    def respond(request):
        head = WHOLE_HEAD(request)
        return head[: int(share * len(head))]

    RawUpstream(site, "cutting", [respond, ending], is_engine=is_stream)
    entry = start_entry().wait_ready(1)
    headers = make_stream_headers() if is_stream else {}
    path = "/stream/1" if is_stream else "/orders/1"
    assert entry.call(path, **headers).status == 502
