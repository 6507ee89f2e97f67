"""Requests that crash upstreams, and how an entry finds out that these have ended."""

import pytest
from sitebuilders import make_stream_headers, views_of, wait_for

from bamboolever.calls.poison import Crash, request_digest
from bamboolever.daemons.inflightcalls import MAX_UNKNOWN_HEADERS
from bamboolever.fleet.messages import AgentState
from bamboolever.platform.standins.site import API_KEY, PLAIN_SERVICE
from bamboolever.platform.standins.upstream import MODEL, Behaviour

LOOKUP_DIGEST = request_digest(b"POST", b"/lookup/bad", API_KEY, b"body")


@pytest.fixture
def engines(site):
    return [
        site.add_engine(f"engine-{number}", f"127.0.0.{number}")
        for number in range(2, 7)
    ]


def _send_poison(running, engines):
    """Send a request that crashes the engines that it reaches, and return those."""
    counts = [len(engine.received_requests) for engine in engines]
    response = running.call("/stream/bad", **make_stream_headers())
    assert response.status == 502
    reached = [
        engine
        for engine, count in zip(engines, counts, strict=True)
        if len(engine.received_requests) > count
    ]
    for engine in reached:
        engine.stop()
    return reached


def test_request_is_blocked_after_crashes_that_only_agents_see(
    site, engines, start_entry, start_agent
):
    for engine in engines:
        engine.behaviours.extend([Behaviour.CUT] * 4)
        start_agent(engine, name=f"agent-{engine.instance_id}")
    entry = start_entry().wait_ready(len(engines))
    views = views_of(entry)
    now = entry.entry.task.now
    tracker = entry.entry.exchange.crashes.tracker
    wait_for(lambda: all(view._reported_version for view in views.values()))
    crashed = []
    while len(crashed) < 3:
        reached = _send_poison(entry, engines)
        crashed += reached
        for engine in reached:
            # Its agent has told the entry that the engine serves nothing, and then,
            # maybe in a later report, that it has ended.
            view = views[engine.instance_id]
            wait_for(lambda view=view: view.served_version(MODEL, now()) is None)
            wait_for(lambda view=view: tracker.has_ended(view.key))
    response = entry.call("/stream/bad", **make_stream_headers())
    assert response.status == 503
    assert response.body == b"poison"


def test_restart_that_an_agent_sees_counts_as_a_crash(
    engines, start_entry, start_agent
):
    engine = engines[0]
    start_agent(engine)
    entry = start_entry().wait_ready(len(engines))
    view = views_of(entry)[engine.instance_id]
    wait_for(lambda: view._reported_version)
    crashes = entry.entry.exchange.crashes
    entry.entry.task.send(
        lambda: crashes.on_broken_response(view.key, 7, entry.entry.task.now())
    )
    engine.engine.started_ms = 2
    wait_for(lambda: crashes.tracker.crashes_by(7))


@pytest.mark.parametrize(
    ("started_ms", "is_down", "is_ended"),
    [
        (1, True, True),
        (2, False, True),
        (2, True, True),
        (1, False, False),
        (0, True, False),
        (0, False, False),
    ],
)
def test_agent_reports_the_end_of_the_process_that_the_entry_knows(
    engines, start_entry, started_ms, is_down, is_ended
):
    fleet = start_entry().wait_ready(len(engines)).entry.fleet
    state = AgentState(
        engines[0].address, False, 0, 1.0, (), started_ms=started_ms, is_down=is_down
    )
    found = fleet.find_ended(state)
    assert (found is not None) is is_ended


def _break_lookup(entry, upstreams):
    """Break off the response to one lookup at each upstream that it reaches."""
    for upstream in upstreams:
        upstream.behaviours.append(Behaviour.CUT)
    assert entry.call("/lookup/bad").status == 502


def _crashed(entry):
    tracker = entry.entry.exchange.crashes.tracker
    return tracker.crashes_by(LOOKUP_DIGEST)


def test_removal_from_the_list_counts_as_a_crash(site, plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    _break_lookup(entry, plain_upstreams)
    assert not _crashed(entry)
    site.store.delete("servers", "plain-1")
    wait_for(lambda: len(_crashed(entry)) == 1)


def test_restart_under_the_same_id_counts_as_a_crash(
    site, plain_upstreams, start_entry
):
    for upstream in plain_upstreams:
        site.put_upstream(upstream, PLAIN_SERVICE, born=1)
    entry = start_entry().wait_ready(2)
    _break_lookup(entry, plain_upstreams)
    for upstream in plain_upstreams:
        site.put_upstream(upstream, PLAIN_SERVICE, born=2)
    wait_for(lambda: len(_crashed(entry)) == 2)


def test_earlier_start_in_the_list_does_not_count_as_a_crash(
    site, plain_upstreams, start_entry
):
    for upstream in plain_upstreams:
        site.put_upstream(upstream, PLAIN_SERVICE, born=2)
    entry = start_entry().wait_ready(2)
    _break_lookup(entry, plain_upstreams)
    for upstream in plain_upstreams:
        site.put_upstream(upstream, PLAIN_SERVICE, born=1)
    wait_for(
        lambda: all(view.record.started_ms == 1 for view in views_of(entry).values())
    )
    assert not _crashed(entry)


def test_upstream_that_drains_and_leaves_was_not_crashed(
    site, plain_upstreams, start_entry
):
    entry = start_entry().wait_ready(2)
    _break_lookup(entry, plain_upstreams)
    site.put_upstream(plain_upstreams[0], PLAIN_SERVICE, state="draining")
    wait_for(lambda: views_of(entry)["plain-1"].record.is_draining)
    site.store.delete("servers", "plain-1")
    wait_for(lambda: "plain-1" not in views_of(entry))
    assert not _crashed(entry)


def test_refused_connection_counts_as_a_crash(site, plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    _break_lookup(entry, plain_upstreams)
    for upstream in plain_upstreams:
        upstream.stop()
    assert entry.call("/lookup/other").status == 503
    assert len(_crashed(entry)) == 2


def test_upstream_that_serves_another_request_was_not_crashed(
    site, plain_upstreams, start_entry
):
    entry = start_entry().wait_ready(2)
    _break_lookup(entry, plain_upstreams)
    assert entry.call("/lookup/other").status == 200
    keys = {
        upstream.instance_id: views_of(entry)[upstream.instance_id].key
        for upstream in plain_upstreams
    }
    silent = [each for each in plain_upstreams if len(each.received_requests) == 1]
    for upstream in plain_upstreams:
        site.store.delete("servers", upstream.instance_id)
    wait_for(lambda: not views_of(entry))
    wait_for(lambda: _crashed(entry))
    expected = [keys[upstream.instance_id] for upstream in silent]
    assert len(expected) == 1
    assert [crash.upstream for crash in _crashed(entry)] == expected


def test_refused_connection_of_a_draining_upstream_is_no_crash(
    site, plain_upstreams, start_entry
):
    entry = start_entry().wait_ready(2)
    _break_lookup(entry, plain_upstreams)
    for upstream in plain_upstreams:
        site.put_upstream(upstream, PLAIN_SERVICE, state="draining")
    wait_for(lambda: all(view.record.is_draining for view in views_of(entry).values()))
    calls = entry.entry.calls
    for view in views_of(entry).values():
        entry.entry.task.send(lambda view=view: calls.on_connection_refused(view))
        site.store.delete("servers", view.instance_id)
    wait_for(lambda: not views_of(entry))
    assert not _crashed(entry)


def test_request_one_crash_from_its_block_is_not_retried(
    site, plain_upstreams, start_entry
):
    """Guards against a fourth crash by a retry, before the third is known."""
    entry = start_entry().wait_ready(2)
    tracker = entry.entry.exchange.crashes.tracker
    for upstream in (1, 2):
        now = entry.entry.task.now()
        tracker.add_crash(Crash(LOOKUP_DIGEST, upstream, now), now)
    for upstream in plain_upstreams:
        upstream.behaviours.append(Behaviour.CUT)
    assert entry.call("/lookup/bad").status == 502
    assert sum(len(each.received_requests) for each in plain_upstreams) == 1


def test_header_that_is_not_known_is_logged_once_and_counted(
    plain_upstreams, start_entry, caplog
):
    caplog.set_level("INFO")
    entry = start_entry().wait_ready(2)
    for upstream in plain_upstreams:
        upstream.extra_headers = ((b"Server-News", b"7"),)
    for number in range(3):
        assert entry.call(f"/lookup/{number}").status == 200
    (line,) = [each for each in caplog.records if each.message == "unknown header"]
    assert (line.header, line.value) == ("server-news", "7")
    counts = entry.entry.telemetry.sum_by_attribute("upstream.unknown_header", "header")
    assert counts == {"server-news": 3}


def test_headers_that_are_not_known_are_counted_up_to_a_number(
    plain_upstreams, start_entry
):
    entry = start_entry().wait_ready(2)
    for upstream in plain_upstreams:
        upstream.extra_headers = tuple(
            (b"Server-News-%d" % number, b"") for number in range(50)
        )
    assert entry.call("/lookup/1").status == 200
    counts = entry.entry.telemetry.sum_by_attribute("upstream.unknown_header", "header")
    assert len(counts) == MAX_UNKNOWN_HEADERS
