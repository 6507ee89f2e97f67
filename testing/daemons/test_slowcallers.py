"""Callers that do not read their responses hold a bounded number of bytes."""

import threading

import pytest
from rawserver import Endless
from rawupstream import RawUpstream, signed
from sitebuilders import make_headers, make_stream_headers, wait_for

from bamboolever.calls import stall
from bamboolever.daemons import gracefulstop
from bamboolever.net import delivery
from bamboolever.net.buffers import BufferBudget

MIB = 2**20
# A quarter of this is the bound for an entry.
MEMORY_MB = 32
HELD_BOUND_BYTES = 8 * MIB
EVENT = b"data: " + b"x" * 1000 + b"\n\n"
NEVER_S = 600.0
# The kernel takes some MB of each response, which the entry does not hold.
BODY_BYTES = 6000 * len(EVENT)
# Below the bound for one connection.
STREAM_BYTES = 3600 * len(EVENT)
# The kernel takes all of it from the entry at once.
KERNEL_BYTES = 400 * len(EVENT)
CALLER_COUNT = 8


@pytest.fixture
def small_site(site, monkeypatch):
    """A site whose entries have little memory."""
    make_settings = site.make_settings

    def make_small_settings(**options):
        document = make_settings(**options)
        document["limits"]["memoryMb"] = MEMORY_MB
        return document

    monkeypatch.setattr(site, "make_settings", make_small_settings)
    return site


def _held_bytes(entry):
    return [connection.queued_bytes for connection in entry.list_connections()]


def _states(entry):
    return [connection.state() for connection in entry.list_connections()]


def _record_ended(entry):
    """Return a list that gets the outcome of each call that ends from now on."""
    outcomes = []
    entry.entry.calls.log.ended = lambda relay, now: outcomes.append(
        relay.record.outcome
    )
    return outcomes


def _response_of(size_bytes):
    body = EVENT * (size_bytes // len(EVENT))
    return signed(body, b"Content-Length: %d" % len(body))


def test_http_1_0_caller_over_its_bound_sees_a_reset(site, start_entry, make_caller):
    """Guards against a cut response that looks complete, as it has no framing."""
    RawUpstream(site, "endless", [signed(b""), Endless(EVENT * 64)])
    entry = start_entry().wait_ready(1)
    caller = make_caller(entry)
    caller.send("/stream/1", version="1.0", **make_stream_headers())
    wait_for(lambda: entry.list_connections())
    wait_for(lambda: not entry.list_connections())
    _received, is_reset = caller.read_all()
    assert is_reset


def test_bytes_held_for_all_slow_callers_are_bounded(
    small_site, start_entry, make_caller
):
    """Guards against an entry whose memory is used up by callers that do not read."""
    script = [_response_of(BODY_BYTES)] * CALLER_COUNT
    RawUpstream(small_site, "large", script, is_engine=False)
    entry = start_entry().wait_ready(1)
    ended = _record_ended(entry)
    slow = []
    for count in range(1, CALLER_COUNT + 1):
        slow.append(make_caller(entry))
        slow[-1].send("/orders/1")
        wait_for(lambda count=count: len(ended) >= count)
    # A call ends before its response is handed on, which may cut another one later.
    entry.await_callbacks()
    entry.await_callbacks()
    assert sum(_held_bytes(entry)) <= HELD_BOUND_BYTES
    assert ended == ["served"] * CALLER_COUNT
    complete = 0
    for caller, is_cut in _with_cuts(entry, slow):
        if is_cut:
            received, _is_reset = caller.read_all()
            assert b"Content-Length: %d" % BODY_BYTES in received
            assert received.count(EVENT) < BODY_BYTES // len(EVENT)
        else:
            caller.read_body(BODY_BYTES)
            complete += 1
    assert 0 < complete < CALLER_COUNT


def _with_cuts(entry, callers):
    """Return each caller, and whether the entry has closed its connection."""
    open_ports = {
        connection._sock.getpeername()[1] for connection in entry.list_connections()
    }
    return [(caller, caller.port not in open_ports) for caller in callers]


def test_small_holders_are_not_cut_for_the_largest(
    small_site, start_entry, make_caller
):
    RawUpstream(small_site, "large", [_response_of(STREAM_BYTES)] * CALLER_COUNT)
    small_site.add_plain_upstream("plain-1")
    entry = start_entry().wait_ready(2)
    for _ in range(6):
        make_caller(entry).send("/stream/1", **make_stream_headers())
    connection = entry.connect()
    for _ in range(20):
        response = entry.call("/orders/1", connection=connection)
        assert (response.status, response.is_complete) == (200, True)


def test_pipelined_requests_wait_for_the_response_before(
    site, start_entry, make_caller
):
    """Guards against one connection that makes an entry buffer many responses."""
    RawUpstream(
        site, "plain", [_response_of(BODY_BYTES)] * CALLER_COUNT, is_engine=False
    )
    entry = start_entry().wait_ready(1)
    ended = _record_ended(entry)
    caller = make_caller(entry)
    for _ in range(4):
        caller.send("/orders/1")
    wait_for(lambda: sum(_held_bytes(entry)) > MIB)
    peak = 0
    never_set = threading.Event()
    for _ in range(50):
        peak = max(peak, sum(_held_bytes(entry)))
        never_set.wait(0.02)
    assert peak <= BODY_BYTES + MIB
    caller.read_body(4 * BODY_BYTES)
    assert ended == ["served"] * 4


def test_events_without_end_share_a_budget(site, start_entry, monkeypatch):
    """Guards against many streams that each hold an event just below its limit."""
    monkeypatch.setattr(stall, "STALL_TIMEOUT_S", NEVER_S)
    partial = b"data: " + b"x" * 900_000
    RawUpstream(site, "endless", [signed(EVENT + partial), "hold"])
    entry = start_entry().wait_ready(1)
    budget = entry.entry.calls.buffers = BufferBudget(MIB)
    first, second = entry.connect(), entry.connect()
    headers = make_headers(**make_stream_headers())
    first.request("POST", "/stream/1", b"body", headers)
    wait_for(lambda: budget.used_bytes > MIB // 2)
    response = entry.call("/stream/2", connection=second, **make_stream_headers())
    assert not response.is_complete
    assert response.body == EVENT
    assert 0 < budget.used_bytes <= MIB
    first.close()
    wait_for(lambda: budget.used_bytes == 0)


def test_graceful_stop_waits_for_callers_that_read_their_responses(
    site, start_entry, make_caller, monkeypatch
):
    """Guards against responses that are cut at a stop with time left to read them."""
    script = [_response_of(BODY_BYTES)]
    RawUpstream(site, "large", script, is_engine=False)
    entry = start_entry().wait_ready(1)
    ended = _record_ended(entry)
    caller = make_caller(entry)
    caller.send("/orders/1")
    wait_for(lambda: ended == ["served"])
    monkeypatch.setattr(gracefulstop, "LOAD_BALANCER_DELAY_S", 0.0)
    entry.entry.task.send(entry.entry.request_stop)
    wait_for(lambda: not entry.entry.is_ready())
    entry.await_callbacks()
    caller.read_body(BODY_BYTES)
    wait_for(lambda: not entry.list_connections())


def test_bytes_behind_a_last_request_cut_no_response(
    site, start_entry, make_caller, monkeypatch
):
    """Guards against a reset while the kernel still delivers the response."""
    monkeypatch.setattr(delivery, "HALF_CLOSE_TIMEOUT_S", 0.01)
    RawUpstream(site, "large", [_response_of(KERNEL_BYTES)], is_engine=False)
    entry = start_entry().wait_ready(1)
    caller = make_caller(entry)
    caller.send("/orders/1", Connection="close")
    wait_for(lambda: any(each.undelivered_bytes for each in _states(entry)))
    wait_for(lambda: not any(each.unsent_bytes for each in _states(entry)))
    threading.Event().wait(0.2)
    caller.send_bytes(b"P")
    received, is_reset = caller.read_all()
    assert received.count(EVENT) == KERNEL_BYTES // len(EVENT)
    assert not is_reset
    caller.close()
    wait_for(lambda: not entry.list_connections())


def test_caller_that_takes_nothing_of_its_last_response_is_closed(
    site, start_entry, make_caller, monkeypatch
):
    monkeypatch.setattr(delivery, "HALF_CLOSE_TIMEOUT_S", 0.01)
    site.configuration["limits"] = {"idleTimeoutMs": 200}
    RawUpstream(site, "large", [_response_of(KERNEL_BYTES)], is_engine=False)
    entry = start_entry().wait_ready(1)
    caller = make_caller(entry)
    caller.send("/orders/1", Connection="close")
    wait_for(lambda: any(each.undelivered_bytes for each in _states(entry)))
    wait_for(lambda: not entry.list_connections())
