"""Responses whose bytes do not end, or that stop in the middle, do not hold a call."""

import http.client
import threading

import pytest
from processes import DaemonProcess
from rawserver import Endless
from rawupstream import RawUpstream, signed
from sitebuilders import (
    WAIT_S,
    make_headers,
    make_stream_headers,
    read_response,
    wait_for,
)

from bamboolever.calls import stall
from bamboolever.daemons import relay
from bamboolever.net.buffers import BufferBudget

EVENTS = [f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, 6)]
NOT_EXECUTED = b"Bamboolever-Not-Executed: 1"
DRIP_GAP_S = 0.02
NEVER_S = 600.0
MIB = 2**20
OK_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
AGENT_MEMORY_MB = 100
ENTRY_MEMORY_MB = 150
ENDLESS_CALLS = 80
REPORTS = 12


def _call_stream(entry):
    return entry.call("/stream/1", **make_stream_headers())


def _respond_first_with(script):
    """Return a script whose responses to resumed requests hold the other events."""
    first, *others = script
    rest = b"".join(EVENTS[1:])

    def respond(request):
        is_resumed = b"last-event-id: 1\r\n" in request.lower()
        length = b"Content-Length: %d" % len(rest)
        return (signed(rest, length) if is_resumed else first)(request)

    return [respond, *others]


@pytest.mark.parametrize(
    "endless",
    [Endless(b"x" * 4096), Endless(b"x", DRIP_GAP_S)],
    ids=["fast", "drip"],
)
def test_event_without_end_is_resumed_elsewhere(site, start_entry, endless):
    """Guards against stalled streams that send a byte now and then."""
    script = _respond_first_with([signed(EVENTS[0] + b"data: "), endless])
    for name in ("first", "second"):
        RawUpstream(site, name, script)
    response = _call_stream(start_entry().wait_ready(2))
    assert response.is_complete
    assert response.body == b"".join(EVENTS)


@pytest.mark.parametrize(
    "steps",
    [[Endless(b"x" * 4096)], [Endless(b"x", DRIP_GAP_S)], ["hold"], ["reset"]],
    ids=["fast", "drip", "silent", "reset"],
)
@pytest.mark.parametrize("path", ["/orders/1", "/lookup/1"])
def test_rejection_whose_body_does_not_end_is_a_rejection(
    site, start_entry, path, steps
):
    """Guards against holding what is known not to have run."""
    head = signed(b"busy", NOT_EXECUTED, status="503 Service Unavailable")
    RawUpstream(site, "busy", [head, *steps], is_engine=False)
    response = start_entry().wait_ready(1).call(path)
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0


def test_event_over_the_limit_ends_its_attempt(site, start_entry, monkeypatch):
    monkeypatch.setattr(stall, "STALL_TIMEOUT_S", NEVER_S)
    endless = [signed(EVENTS[0] + b"data: "), Endless(b"x" * 4096)]
    for name in ("first", "second"):
        RawUpstream(site, name, _respond_first_with(endless))
    assert _call_stream(start_entry().wait_ready(2)).is_complete


def test_rejection_whose_body_is_over_the_limit_ends(site, start_entry, monkeypatch):
    monkeypatch.setattr(relay, "REJECTION_BODY_TIMEOUT_S", NEVER_S)
    head = signed(b"", NOT_EXECUTED, status="503 Service Unavailable")
    RawUpstream(site, "busy", [head, Endless(b"x" * 4096)], is_engine=False)
    assert start_entry().wait_ready(1).call("/orders/1").status == 503


def test_body_without_end_is_a_failure(site, start_entry):
    script = [signed(b""), Endless(b"x" * 4096)]
    RawUpstream(site, "endless", script, is_engine=False)
    assert start_entry().wait_ready(1).call("/orders/1").status == 502


def test_bodies_without_end_share_a_budget(site, start_entry):
    """Guards against an instance that many such bodies at once end."""
    script = [signed(b""), Endless(b"x" * 4096)]
    RawUpstream(site, "endless", script, is_engine=False)
    entry = start_entry().wait_ready(1)
    budget = entry.entry.calls.buffers = BufferBudget(MIB)
    details = []
    entry.entry.calls.log.ended = lambda relay, now: details.append(relay.record.detail)
    assert [entry.call("/orders/1").status for _ in range(3)] == [502] * 3
    assert all("budget" in detail for detail in details)
    assert budget.used_bytes == 0


@pytest.fixture
def start_process(tmp_path):
    started = []

    def start(document, role, memory_mb):
        document["limits"]["memoryMb"] = memory_mb
        started.append(DaemonProcess(document, tmp_path / "settings.json", role))
        return started[-1]

    yield start
    for process in started:
        process.kill()


def test_agent_keeps_to_its_memory_while_its_engine_sends_without_end(
    site, start_process
):
    """Guards against an agent that ends as it keeps what its engine sends."""
    engine = RawUpstream(site, "endless", [OK_HEAD, Endless(b"x" * 65536)])
    document = site.make_settings(name="agent", host="127.0.0.1", upstream=engine)
    agent = start_process(document, "agent", AGENT_MEMORY_MB)
    wait_for(lambda: len(engine.requests) >= REPORTS)
    assert agent.peak_memory_bytes() < AGENT_MEMORY_MB * MIB


def test_entry_serves_others_while_an_upstream_sends_without_end(site, start_process):
    """Guards against an entry that ends, with the calls of all its callers."""
    script = [signed(b""), Endless(b"x" * 65536)]
    RawUpstream(site, "endless", script, is_engine=False)
    site.add_engine("engine-1", "127.0.0.2")
    document = site.make_settings(name="entry", host="127.0.0.1")
    entry = start_process(document, "entry", ENTRY_MEMORY_MB)
    host, _, port = document["listenAddresses"]["frontend"].rpartition(":")

    def call(path, headers):
        connection = http.client.HTTPConnection(host, int(port), timeout=WAIT_S)
        connection.request("POST", path, b"body", headers)
        return read_response(connection)

    def stream():
        try:
            return call("/stream/1", make_headers(**make_stream_headers()))
        except ConnectionRefusedError:
            return None

    wait_for(lambda: (response := stream()) and response.status == 200)
    callers = [
        threading.Thread(target=call, args=("/orders/1", make_headers()))
        for _ in range(ENDLESS_CALLS)
    ]
    for caller in callers:
        caller.start()
    responses = [stream() for _ in range(20)]
    for caller in callers:
        caller.join()
    assert all(each.body == b"".join(EVENTS) for each in responses)
    assert entry.peak_memory_bytes() < ENTRY_MEMORY_MB * MIB
