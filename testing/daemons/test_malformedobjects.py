"""Entries and agents beside objects in the store that another writer left there."""

import json

import pytest
from sitebuilders import make_stream_headers, views_of, wait_for

from bamboolever.platform.names import UPSTREAM_KIND, VERSION_KIND
from bamboolever.platform.standins.site import ENGINE_SERVICE, PLAIN_SERVICE
from bamboolever.platform.standins.store import RawValue
from bamboolever.platform.standins.upstream import MODEL


def _upstream_with(**changes):
    document = {
        "service": PLAIN_SERVICE,
        "address": "127.0.0.9:9",
        "zone": "zone-a",
        "slots": 4,
        "state": "ready",
        **changes,
    }
    return json.dumps(document).encode()


MALFORMED_UPSTREAMS = {
    "nested": b'{"service": %s}' % (b"[" * 3000 + b"]" * 3000),
    "long-number": b'{"slots": %s}' % (b"9" * 5000),
    "no-text": b'{"service": "\xff"}',
    "large-number": _upstream_with(slots=10**400),
    "negative-slots": _upstream_with(slots=-1),
    "late-start": _upstream_with(born=10**30),
    "never-warm": _upstream_with(coldRemainingMs=float("inf")),
    "port-zero": _upstream_with(address="127.0.0.9:0"),
    "port-out-of-range": _upstream_with(address="127.0.0.9:99999"),
    "no-host": _upstream_with(address="127.0\0.9:9"),
    "no-name": _upstream_with(service="\ud800"),
    "no-zone": _upstream_with(zone="\ud800"),
}


@pytest.fixture(params=list(MALFORMED_UPSTREAMS))
def malformed_value(request):
    return RawValue(MALFORMED_UPSTREAMS[request.param])


def test_entry_becomes_ready_beside_a_malformed_object(
    site, plain_upstreams, start_entry, malformed_value
):
    site.store.put(UPSTREAM_KIND, "malformed", malformed_value)
    entry = start_entry().wait_ready(2)
    assert {entry.call("/orders/1").status for _ in range(6)} == {200}
    assert "malformed" not in entry.entry.fleet._views


def test_entry_follows_the_list_past_a_malformed_object(
    site, plain_upstreams, start_entry, malformed_value
):
    entry = start_entry().wait_ready(2)
    site.store.put(UPSTREAM_KIND, "malformed", malformed_value)
    site.add_plain_upstream("plain-3")
    wait_for(lambda: "plain-3" in views_of(entry))
    site.store.put(UPSTREAM_KIND, "plain-3", malformed_value)
    wait_for(lambda: "plain-3" not in views_of(entry))
    assert {entry.call("/orders/1").status for _ in range(6)} == {200}


def test_peers_follow_the_list_past_a_malformed_object(
    site, engines, start_entry, start_agent, malformed_value
):
    for engine in engines:
        start_agent(engine)
    first, second = (
        start_entry(name="entry-1"),
        start_entry(name="entry-2", host="127.0.0.9"),
    )
    for entry in (first, second):
        entry.wait_ready(2)
    wait_for(lambda: first.entry.fleet.peers.recipients())
    wait_for(lambda: second.entry.fleet.peers.recipients())
    site.store.put(UPSTREAM_KIND, "malformed", malformed_value)
    site.add_plain_upstream("plain-3")
    wait_for(lambda: "plain-3" in views_of(first))
    wait_for(lambda: "plain-3" in views_of(second))


def test_agent_loads_a_version_beside_malformed_objects(site, start_agent):
    for name, value in MALFORMED_UPSTREAMS.items():
        site.store.put(UPSTREAM_KIND, f"malformed-{name}", RawValue(value))
    engine = site.add_engine("engine-1", "127.0.0.2", version=None)
    start_agent(engine)
    wait_for(lambda: engine.engine.version == 1)


@pytest.mark.parametrize(
    "value",
    [
        b"[" * 3000 + b"]" * 3000,
        b'{"model": "%s", "version": 1%s}' % (MODEL.encode(), b"0" * 30),
        b'{"model": "%s", "version": %s}' % (MODEL.encode(), b"9" * 5000),
    ],
)
def test_agent_loads_a_version_beside_one_that_does_not_decode(
    site, start_agent, value
):
    site.store.put(VERSION_KIND, "another-model", RawValue(value))
    site.set_model_version(2)
    engine = site.add_engine("engine-1", "127.0.0.2", version=None)
    start_agent(engine)
    wait_for(lambda: engine.engine.version == 2)


def test_prompt_of_more_tokens_than_a_datagram_carries_does_not_end_the_exchange(
    site, engines, start_entry, start_agent
):
    """Guards against loads that no peer hears of because of one caller's number."""
    for engine in engines:
        start_agent(engine)
    entry = start_entry().wait_ready(2)
    for counts in (f"{10**9 - 1},1", f"{10**12},1", "9" * 5000 + ",1"):
        headers = make_stream_headers(Bamboolever_Token_Counts=counts)
        assert entry.call("/stream/1", **headers).status in (200, 503)
    assert entry.call("/stream/1", **make_stream_headers()).status == 200


def test_malformed_upstream_is_not_chosen_for_engines_either(
    site, engines, start_entry
):
    malformed = _upstream_with(service=ENGINE_SERVICE, slots=10**400)
    site.store.put(UPSTREAM_KIND, "malformed", RawValue(malformed))
    entry = start_entry().wait_ready(2)
    assert entry.call("/stream/1", **make_stream_headers()).status == 200
    assert "malformed" not in views_of(entry)
