"""Upstreams in trouble whose response has a status that HTTP does not know."""

import pytest
from rawupstream import RawUpstream, signed
from sitebuilders import make_stream_headers

BODY = b"content"
LENGTH = b"Content-Length: %d" % len(BODY)
EVENTS = [f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, 4)]
WHOLE = b"".join(EVENTS)
INVALID_STATUSES = [
    "000 No Status",
    "000",
    "001 No Status",
    "099 No Status",
    "600 No Status",
    "999 No Status",
    "20 No Status",
    "2000 No Status",
    "-01 No Status",
]


@pytest.fixture(params=INVALID_STATUSES)
def invalid_response(request):
    return signed(BODY, LENGTH, status=request.param)


def _assert_own_failure(response):
    assert response.status == 502
    assert "Bamboolever-Response-Signature" not in response.headers
    assert response.is_complete


@pytest.mark.parametrize("path", ["/orders/1", "/lookup/1"])
def test_response_with_an_invalid_status_is_not_passed_on(
    site, start_entry, invalid_response, path
):
    """Guards against MIXED: a status of 000 that a caller gets as a response."""
    upstream = RawUpstream(site, "faulty", [invalid_response], is_engine=False)
    response = start_entry().wait_ready(1).call(path)
    _assert_own_failure(response)
    assert upstream.requests


def test_stream_with_an_invalid_status_is_not_passed_on(
    site, start_entry, invalid_response
):
    RawUpstream(site, "faulty", [invalid_response])
    entry = start_entry().wait_ready(1)
    _assert_own_failure(entry.call("/stream/1", **make_stream_headers()))


def test_look_up_is_answered_by_another_upstream(site, start_entry, invalid_response):
    RawUpstream(site, "faulty", [invalid_response], is_engine=False)
    site.add_plain_upstream("sound")
    entry = start_entry().wait_ready(2)
    assert {entry.call(f"/lookup/{n}").status for n in range(6)} == {200}


def test_order_does_not_run_again_after_an_invalid_status(
    site, start_entry, invalid_response
):
    upstreams = [
        RawUpstream(site, name, [invalid_response], is_engine=False)
        for name in ("first", "second")
    ]
    entry = start_entry().wait_ready(2)
    _assert_own_failure(entry.call("/orders/1"))
    assert sum(len(each.requests) for each in upstreams) == 1


def test_stream_does_not_go_on_with_an_invalid_status(site, start_entry):
    """Guards against the body of such a response as the rest of a stream."""
    rest = EVENTS[1] + EVENTS[2]

    def respond(request):
        if b"last-event-id: 1\r\n" in request.lower():
            length = b"Content-Length: %d" % len(rest)
            return signed(rest, length, status="999 No Status")(request)
        return signed(EVENTS[0] + b"id: 2\nda")(request)

    for name in ("first", "second"):
        RawUpstream(site, name, [respond, "close"])
    entry = start_entry().wait_ready(2)
    response = entry.call("/stream/1", **make_stream_headers())
    assert response.body == EVENTS[0]
    assert not response.is_complete
