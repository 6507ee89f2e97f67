"""A planned stop leaves no request of a caller without an answer."""

import pytest
from rawcaller import END_OF_CHUNKS, make_chunk, make_head
from rawupstream import RawUpstream, signed
from sitebuilders import make_headers, make_stream_headers, wait_for

from bamboolever.daemons import gracefulstop
from bamboolever.platform.standins.upstream import Behaviour

# The kernel takes all of it from the entry at once.
BODY = b"x" * 400_000
PARTIAL_REQUESTS = {
    "chunks": (
        make_head("/orders/1", "Transfer-Encoding: chunked") + make_chunk(b"bo"),
        make_chunk(b"dy") + END_OF_CHUNKS,
    ),
    "length": (make_head("/orders/1", "Content-Length: 4") + b"bo", b"dy"),
    "head": (
        make_head("/orders/1", "Content-Length: 4")[:-30],
        make_head("/orders/1", "Content-Length: 4")[-30:] + b"body",
    ),
}


@pytest.fixture
def no_delay(monkeypatch):
    """A stop ends idle connections at once."""
    monkeypatch.setattr(gracefulstop, "LOAD_BALANCER_DELAY_S", 0.0)


def _request_stop(entry):
    """Ask for a stop, and wait until the entry has ended idle connections."""
    entry.entry.task.send(entry.entry.request_stop)
    for _ in range(3):
        entry.await_callbacks()


def test_call_that_the_stop_cuts_is_logged(site, start_entry, no_delay, caplog):
    caplog.set_level("INFO")
    site.add_plain_upstream("plain-1").behaviours.append(Behaviour.MUTE)
    entry = start_entry(gracePeriodS=1).wait_ready(1)
    headers = make_headers()
    connection = entry.connect()
    connection.request("POST", "/orders/1", b"body", headers)
    wait_for(lambda: entry.entry.calls.in_flight)
    _request_stop(entry)
    wait_for(lambda: "stopped" in caplog.messages)
    (cut,) = (each for each in caplog.records if each.message == "call cut by stop")
    assert cut.attempt == headers["Bamboolever-Attempt-Id"]
    assert cut.upstreams == ["plain-1"]
    assert "connection cut by stop" in caplog.messages


def test_stopping_entry_rejects_streams_that_may_outlast_it(engines, start_entry):
    """Guards against streams that take longer than usual and are cut."""
    entry = start_entry(gracePeriodS=5.2).wait_ready(2)
    _request_stop(entry)
    response = entry.call("/stream/1", **make_stream_headers())
    assert response.status == 503
    assert float(response.headers["Retry-After"]) < 1.0
    assert not any(engine.list_executed_attempts() for engine in engines)


@pytest.mark.parametrize("kind", PARTIAL_REQUESTS)
def test_request_that_arrives_across_a_stop_is_answered(
    plain_upstreams, start_entry, make_caller, no_delay, kind
):
    """Guards against connections that are closed while a request is on its way."""
    entry = start_entry().wait_ready(2)
    first, rest = PARTIAL_REQUESTS[kind]
    caller = make_caller(entry)
    caller.send_bytes(first)
    wait_for(
        lambda: any(each.state().is_request_begun for each in entry.list_connections())
    )
    _request_stop(entry)
    caller.send_bytes(rest)
    received, is_reset = caller.read_all()
    assert received.startswith(b"HTTP/1.1 200 ")
    assert not is_reset


@pytest.mark.parametrize("kind", PARTIAL_REQUESTS)
def test_request_that_is_incomplete_as_the_grace_period_ends_is_rejected(
    plain_upstreams, start_entry, make_caller, no_delay, kind
):
    entry = start_entry(gracePeriodS=2).wait_ready(2)
    caller = make_caller(entry)
    caller.send_bytes(PARTIAL_REQUESTS[kind][0])
    wait_for(
        lambda: any(each.state().is_request_begun for each in entry.list_connections())
    )
    _request_stop(entry)
    received, is_reset = caller.read_all()
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nRetry-After: " in received
    assert not is_reset


def test_request_that_arrives_as_an_idle_entry_ends_is_answered(
    plain_upstreams, start_entry, make_caller, no_delay
):
    """Guards against callers that connect just before the process ends."""
    entry = start_entry().wait_ready(2)
    callers = []

    def send_and_stop():
        callers.append(make_caller(entry))
        callers[0].send("/lookup/1")
        entry.entry.request_stop()
        entry.entry.caller_port.graceful_stop._finish()

    entry.entry.task.send(send_and_stop)
    wait_for(lambda: callers)
    received, is_reset = callers[0].read_all()
    assert received.startswith(b"HTTP/1.1 200 ")
    assert not is_reset


def test_bytes_that_a_caller_sends_ahead_cut_no_response_at_a_stop(
    site, start_entry, make_caller, no_delay
):
    """Guards against a reset, which drops what the kernel has not delivered."""
    response = signed(BODY, b"Content-Length: %d" % len(BODY))
    RawUpstream(site, "large", [response], is_engine=False)
    entry = start_entry().wait_ready(1)
    caller = make_caller(entry)
    caller.send("/orders/1")
    wait_for(
        lambda: any(each.state().undelivered_bytes for each in entry.list_connections())
    )
    wait_for(
        lambda: not any(each.state().unsent_bytes for each in entry.list_connections())
    )
    _request_stop(entry)
    caller.send_bytes(b"P")
    received, is_reset = caller.read_all()
    assert BODY in received
    assert not is_reset
    caller.close()
    wait_for(lambda: not entry.list_connections())


def test_second_request_of_one_write_is_answered_by_a_stopping_entry(
    plain_upstreams, start_entry, make_caller
):
    """Guards against a request that was read and is dropped behind the first."""
    entry = start_entry().wait_ready(2)
    _request_stop(entry)
    request = make_head("/orders/1", "Content-Length: 4") + b"body"
    second = make_head("/lookup/2", "Content-Length: 4") + b"body"
    caller = make_caller(entry)
    caller.send_bytes(request + second)
    received, _is_reset = caller.read_all()
    assert received.count(b"HTTP/1.1 200 ") == 2
    assert received.count(b"Connection: close") == 1
