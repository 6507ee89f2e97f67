"""Upstreams that name how many requests a second they take from all entries."""

import itertools

import pytest
from limits import allowed, most_in_window
from sitebuilders import make_stream_headers

ENTRIES = 3
CALLS = 40
LIMIT_PER_S = 1.0

_serial = itertools.count(1)


@pytest.fixture
def entries(start_entry):
    return [
        start_entry(name=f"entry-{number}", host=f"127.0.0.{20 + number}")
        for number in range(1, ENTRIES + 1)
    ]


def _call(entry, *, is_stream):
    if is_stream:
        return entry.call(f"/stream/{next(_serial)}", **make_stream_headers())
    return entry.call(f"/lookup/{next(_serial)}")


def _arrivals(upstream):
    return [received.arrived_at for received in upstream.received_requests]


@pytest.mark.parametrize("is_stream", [False, True], ids=["plain", "engines"])
def test_upstream_that_names_a_limit_gets_no_more_requests(
    site, entries, plain_upstreams, engines, start_agent, is_stream
):
    """Guards against incident LIMIT: no entry read it, and each sent as it liked."""
    for engine in engines:
        start_agent(engine, name=f"agent-{engine.instance_id}")
    limited = (engines if is_stream else plain_upstreams)[0]
    limited.limit = b"1"
    for entry in entries:
        entry.wait_ready(4)
    for _ in range(CALLS):
        for entry in entries:
            assert _call(entry, is_stream=is_stream).status == 200
    assert most_in_window(_arrivals(limited)) <= allowed(LIMIT_PER_S)
