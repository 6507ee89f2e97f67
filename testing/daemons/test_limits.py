"""Upstreams that name how many requests a second they take from all entries."""

import itertools

import pytest
from limits import allowed, most_in_window
from sitebuilders import make_stream_headers, views_of, wait_for

from bamboolever.daemons.limitscope import LONE_SHARE
from bamboolever.platform.standins.site import PLAIN_SERVICE

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


def test_limit_outlives_a_gap_in_the_list_of_upstreams(
    site, plain_upstreams, start_entry
):
    """Guards against a limit that all entries forget when the store drops a record."""
    limited = plain_upstreams[0]
    limited.limit = b"1"
    entry = start_entry().wait_ready(2)
    wait_for(lambda: _call(entry, is_stream=False) and _limit_of(entry, limited))
    site.store.delete("servers", limited.instance_id)
    wait_for(lambda: limited.instance_id not in views_of(entry))
    site.put_upstream(limited, PLAIN_SERVICE)
    wait_for(lambda: limited.instance_id in views_of(entry))
    assert _limit_of(entry, limited) == LIMIT_PER_S


def _limit_of(entry, upstream):
    return views_of(entry)[upstream.instance_id].limit.per_s


@pytest.mark.parametrize("value", [b"-1", b"nan", b"inf", b"1e3", b"1_0", b"x", b""])
def test_limit_that_is_no_number_is_logged_once_and_changes_nothing(
    plain_upstreams, start_entry, caplog, value
):
    caplog.set_level("INFO")
    entry = start_entry().wait_ready(2)
    for upstream in plain_upstreams:
        upstream.limit = value
    for _ in range(20):
        assert _call(entry, is_stream=False).status == 200
    lines = [each for each in caplog.records if each.message == "limit not read"]
    assert len({line.upstream for line in lines}) == len(lines) >= 1
    assert not any(_limit_of(entry, upstream) for upstream in plain_upstreams)


def test_requests_are_rejected_at_once_while_no_permit_is_due(
    plain_upstreams, start_entry
):
    entry = start_entry().wait_ready(2)
    for upstream in plain_upstreams:
        upstream.limit = b"0.5"
    responses = [_call(entry, is_stream=False) for _ in range(30)]
    rejected = [each for each in responses if each.status == 503]
    assert {each.body for each in rejected} == {b"limited-upstreams"}
    delays = [float(each.headers["Retry-After"]) for each in rejected]
    assert delays[-1] > delays[0] > 0


def test_operators_see_when_a_limit_is_named_changed_and_ended(
    plain_upstreams, start_entry, caplog
):
    caplog.set_level("INFO")
    limited = plain_upstreams[0]
    entry = start_entry().wait_ready(2)

    def events():
        lines = [each for each in caplog.records if each.message == "upstream limit"]
        return [(line.event, line.per_s) for line in lines]

    expected = []
    for value, event in [(b"50", ("named", 50.0)), (b"40", ("changed", 40.0))]:
        limited.limit = value
        expected.append(event)
        wait_for(lambda: _call(entry, is_stream=False) and events() == expected)
    limited.limit = None
    wait_for(lambda: _call(entry, is_stream=False) and len(events()) == 3)
    assert events()[-1] == ("ended", None)


def test_entries_that_do_not_know_each_other_send_less(entries, plain_upstreams):
    """Guards against a limit for each entry while no agent names the others."""
    limited = plain_upstreams[0]
    limited.limit = b"2"
    for entry in entries:
        entry.wait_ready(2)
    shares = {
        entry.entry.exchange.limits._scope.reachable_share(
            views_of(entry)[limited.instance_id], entry.entry.task.now()
        )
        for entry in entries
    }
    assert shares == {LONE_SHARE}
    assert ENTRIES * LONE_SHARE <= 1
