"""Requests that share nothing but a part of their prompts, which crashes engines."""

import http.client
import itertools
import json
from dataclasses import replace
from types import SimpleNamespace

import pytest
from rawupstream import RawUpstream, chunked, signed
from sitebuilders import WAIT_S, make_stream_headers, views_of, wait_for

from bamboolever.calls.parts import (
    CRASHES_TO_SUSPECT,
    TRIALS_TO_BLOCK,
    WELL_BEGUN_EVENTS,
    PromptParts,
)
from bamboolever.calls.poison import Crash
from bamboolever.platform.standins.site import ENGINE_SERVICE
from bamboolever.platform.standins.upstream import MODEL, Behaviour

FIRST_PART = "5c1e07a2"
CRASHING_PART = "bad0bad0"
# With as many crashes, no further engine may be lost.
MAX_CRASHES = 5
ONE_EVENT = b"id: 1\ndata: token 1\n\n"
LAST_CHUNK = b"0\r\n\r\n"

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
    """Wait until the entry knows that the engines have ended which did."""
    tracker = entry.entry.exchange.crashes.tracker
    for engine in engines:
        if engine.is_crashed:
            key = views_of(entry)[engine.instance_id].key
            wait_for(lambda key=key: tracker.has_ended(key))


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


def _block_parts(entry, engines, *parts):
    """Send requests with these parts until the entry rejects them."""
    for _ in range(2 * MAX_CRASHES):
        response = _call(entry, *parts)
        if response.body == b"blocked-part":
            return
        _wait_for_evidence(entry, engines)
    pytest.fail("the part was not blocked")


def test_entry_that_starts_after_all_others_were_killed_knows_the_block(
    engines, start_entry, start_agent
):
    """Guards against blocks that are lost with the entries: agents keep them."""
    for engine in engines:
        start_agent(engine, name=f"agent-{engine.instance_id}")
    entry = start_entry().wait_ready(len(engines))
    views = views_of(entry)
    wait_for(lambda: all(view._reported_version for view in views.values()))
    _block_parts(entry, engines, FIRST_PART, CRASHING_PART)
    entry.stop()
    received = _count_received(engines)
    other = start_entry(name="entry-2", host="127.0.0.20").wait_ready(1)
    wait_for(lambda: other.entry.exchange.crashes.part_log.charged())
    assert _call(other, FIRST_PART, CRASHING_PART).body == b"blocked-part"
    assert _call(other, FIRST_PART).status == 200
    assert _count_received(engines) == received + 1


def _digest_of(part):
    return PromptParts.from_ids(MODEL, (part,)).digests[0]


def test_stream_that_ends_with_its_connection_proves_no_part_sound(site, start_entry):
    """Guards against a crash that looks like an answer: neither length nor chunks."""
    upstream = RawUpstream(site, "raw", [signed(ONE_EVENT), "close"])
    entry = start_entry().wait_ready(1)
    crashes = entry.entry.exchange.crashes
    assert _call(entry, CRASHING_PART).is_complete
    site.store.delete("servers", upstream.instance_id)
    digest = _digest_of(CRASHING_PART)
    wait_for(lambda: crashes.parts.facts.crashes_by(digest))
    assert crashes.parts.facts.completed_at(digest) is None


def test_engine_that_responds_again_was_not_crashed_by_such_a_stream(site, start_entry):
    upstream = RawUpstream(site, "raw", [signed(ONE_EVENT), "close"])
    entry = start_entry().wait_ready(1)
    crashes = entry.entry.exchange.crashes
    assert _call(entry, CRASHING_PART).is_complete
    assert _call(entry, FIRST_PART).is_complete
    site.store.delete("servers", upstream.instance_id)
    wait_for(lambda: crashes.parts.facts.crashes_by(_digest_of(FIRST_PART)))
    assert not crashes.parts.facts.crashes_by(_digest_of(CRASHING_PART))


def test_stream_that_was_well_begun_did_not_crash_its_engine(site, start_entry):
    events = b"".join(
        b"id: %d\ndata: token\n\n" % number
        for number in range(1, WELL_BEGUN_EVENTS + 1)
    )
    body = chunked(events, b"id: 9")
    broken = signed(body.removesuffix(LAST_CHUNK), b"Transfer-Encoding: chunked")
    upstream = RawUpstream(site, "raw", [broken, "close"])
    entry = start_entry().wait_ready(1)
    assert not _call(entry, FIRST_PART).is_complete
    site.store.delete("servers", upstream.instance_id)
    wait_for(lambda: not views_of(entry))
    crashes = entry.entry.exchange.crashes
    assert not crashes.parts.facts.crashes_by(_digest_of(FIRST_PART))


def _operate(entry, method, path):
    address = entry.settings.metrics_address
    connection = http.client.HTTPConnection(*address, timeout=WAIT_S)
    connection.request(method, path)
    response = connection.getresponse()
    return response.status, response.read()


def test_operator_lists_and_clears_a_blocked_part(engines, start_entry, start_agent):
    for engine in engines:
        start_agent(engine, name=f"agent-{engine.instance_id}")
    entry = start_entry().wait_ready(len(engines))
    views = views_of(entry)
    wait_for(lambda: all(view._reported_version for view in views.values()))
    _block_parts(entry, engines, CRASHING_PART)
    status, body = _operate(entry, "GET", "/blocked-parts")
    (listed,) = json.loads(body)["parts"]
    assert (status, listed["part"], listed["state"]) == (200, CRASHING_PART, "blocked")
    assert len(listed["crashes"]) == _count_crashed(engines)
    assert _operate(entry, "DELETE", f"/blocked-parts/{CRASHING_PART}")[0] == 204
    assert json.loads(_operate(entry, "GET", "/blocked-parts")[1]) == {"parts": []}
    crashed = _count_crashed(engines)
    _call(entry, CRASHING_PART)
    assert _count_crashed(engines) > crashed


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("DELETE", "/blocked-parts/a1", 404),
        ("DELETE", "/blocked-parts", 405),
        ("POST", "/blocked-parts", 405),
        ("GET", "/blocked-parts/a1", 405),
        ("GET", "/metrics", 200),
        ("GET", "/other", 404),
    ],
)
def test_operators_port_answers_other_requests(
    site, start_entry, method, path, expected
):
    assert _operate(start_entry(), method, path)[0] == expected


def _add_crashes(entry, part, count, *, tried_parts=0):
    now = entry.entry.task.now()
    facts = entry.entry.exchange.crashes.parts.facts
    for upstream in range(count):
        facts.add_crash(Crash(_digest_of(part), upstream, now, tried_parts), now)


def _suspect(entry, part):
    """Let the entry know of as many crashes by a part as make it suspected."""
    _add_crashes(entry, part, CRASHES_TO_SUSPECT)


def test_request_with_a_blocked_part_is_rejected_before_it_queues(start_entry):
    entry = start_entry().wait_ready(0)
    _add_crashes(entry, CRASHING_PART, TRIALS_TO_BLOCK, tried_parts=1)
    assert _call(entry, FIRST_PART).body == b"no-upstream"
    assert _call(entry, FIRST_PART, CRASHING_PART).body == b"blocked-part"


def test_trial_that_an_engine_rejects_leaves_the_next_request_its_turn(
    engines, start_entry
):
    entry = start_entry().wait_ready(len(engines))
    _suspect(entry, FIRST_PART)
    for engine in engines:
        engine.behaviours.append(Behaviour.NOT_EXECUTED)
    assert _call(entry, FIRST_PART).status == 503
    assert _count_received(engines) == 1
    for engine in engines:
        engine.behaviours.clear()
    assert _call(entry, FIRST_PART).status == 200


@pytest.mark.parametrize(
    ("is_suspected", "is_trial", "expected"),
    [(False, False, None), (True, False, "suspected-part"), (True, True, "trial")],
)
def test_request_with_a_suspected_part_is_not_retried(
    start_entry, is_suspected, is_trial, expected
):
    """Guards against a second engine that each such request took down."""
    entry = start_entry()
    prompt = PromptParts.from_ids(MODEL, (FIRST_PART,))
    if is_trial:
        prompt = replace(prompt, tried=prompt.digests)
    if is_suspected:
        _suspect(entry, FIRST_PART)
    call = SimpleNamespace(
        digest=1, service=ENGINE_SERVICE, prompt=prompt, may_have_run=True
    )
    assert entry.entry.calls.acquire_retry(call) == expected
