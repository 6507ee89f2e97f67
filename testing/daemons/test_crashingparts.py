"""Requests that share nothing but a part of their prompts, which crashes engines."""

import itertools

import pytest
from sitebuilders import make_stream_headers, views_of, wait_for

from bamboolever.platform.standins.upstream import MODEL

FIRST_PART = "5c1e07a2"
CRASHING_PART = "bad0bad0"
# With as many crashes, no further engine may be lost.
MAX_CRASHES = 5

_serial = itertools.count(1)


@pytest.fixture
def engines(site):
    engines = [
        site.add_engine(f"engine-{number}", f"127.0.0.{number}")
        for number in range(2, 12)
    ]
    for engine in engines:
        engine.crashing_part = CRASHING_PART.encode()
    return engines


def _call(entry, *shared_parts):
    """Send a request with these parts and a last one of its own."""
    number = next(_serial)
    sizes = ",".join(f"{part}:40" for part in shared_parts)
    prefix = f"{sizes},{number:08x}:100"
    headers = make_stream_headers(Bamboolever_Prompt_Prefix=prefix)
    return entry.call(f"/stream/{number}", **headers)


def _count_received(engines):
    return sum(len(engine.received_requests) for engine in engines)


def _wait_for_evidence(entry, engines):
    """Wait until the agents have told the entry which engines have ended."""
    now = entry.entry.task.now
    for engine in engines:
        if engine.is_crashed:
            view = views_of(entry)[engine.instance_id]
            wait_for(lambda view=view: view.served_version(MODEL, now()) is None)


def _count_crashed(engines):
    return sum(engine.is_crashed for engine in engines)


@pytest.mark.parametrize(
    "shared_parts",
    [
        (FIRST_PART, CRASHING_PART),
        (CRASHING_PART, FIRST_PART),
        (FIRST_PART, "a1", CRASHING_PART, "a2"),
    ],
    ids=["second", "first", "one of five"],
)
def test_part_that_crashes_engines_is_blocked_in_all_requests(
    site, engines, start_entry, start_agent, shared_parts
):
    """Guards against incident BUDGET: each of these requests took two engines down."""
    for engine in engines:
        start_agent(engine, name=f"agent-{engine.instance_id}")
    entry = start_entry().wait_ready(len(engines))
    views = views_of(entry)
    wait_for(lambda: all(view._reported_version for view in views.values()))
    sound_parts = [part for part in shared_parts if part != CRASHING_PART]
    for _ in range(2 * MAX_CRASHES):
        assert _call(entry, *shared_parts).status in (502, 503)
        _wait_for_evidence(entry, engines)
        assert _call(entry, *sound_parts).status == 200
    assert _count_crashed(engines) <= MAX_CRASHES
    received = _count_received(engines)
    response = _call(entry, *shared_parts)
    assert (response.status, response.body) == (503, b"blocked-part")
    assert "Retry-After" not in response.headers
    assert _count_received(engines) == received
