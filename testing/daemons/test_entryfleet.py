"""The entry against stand-ins: updates from the store, agents and peers."""

import json
import threading
from dataclasses import replace
from functools import partial

from sitebuilders import (
    make_headers,
    make_profile,
    make_record,
    make_stream_headers,
    read_response,
    views_of,
    wait_for,
)

from bamboolever.config.model import Configuration, Service
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.fleet.cells import MAX_SHARED_ENGINES
from bamboolever.fleet.messages import AgentState, RolloutAge
from bamboolever.net.addresses import Address
from bamboolever.platform.documents import decode_configuration
from bamboolever.platform.nodefile import decode_settings
from bamboolever.platform.standins.site import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    find_free_port,
)
from bamboolever.platform.standins.store import StoreFault
from bamboolever.platform.standins.upstream import EVENT_COUNT, MODEL, Behaviour

ALL_EVENTS = b"".join(
    f"id: {number}\ndata: token {number}\n\n".encode()
    for number in range(1, EVENT_COUNT + 1)
)


def _count_executions(upstreams):
    return sum(len(upstream.list_executed_attempts()) for upstream in upstreams)


def test_draining_upstream_gets_no_new_requests(site, plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    site.put_upstream(plain_upstreams[0], PLAIN_SERVICE, state="draining")
    wait_for(lambda: views_of(entry)["plain-1"].record.is_draining)
    for _ in range(4):
        assert entry.call("/lookup/1").status == 200
    assert not plain_upstreams[0].received_requests


def test_undecodable_upstream_record_is_ignored(site, plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    site.store.put("servers", "broken-1", {"service": 7})
    site.store.put("servers", "broken-2", "text")
    site.put_upstream(plain_upstreams[0], PLAIN_SERVICE, state="no-such-state")
    wait_for(lambda: "plain-1" not in views_of(entry))
    assert entry.call("/lookup/1").status == 200
    assert set(views_of(entry)) == {"plain-2"}


def test_request_is_not_executed_at_a_reused_address(
    site, plain_upstreams, start_entry
):
    entry = start_entry().wait_ready(2)
    plain_upstreams[0].instance_id = "another"
    plain_upstreams[1].instance_id = "another"
    response = entry.call("/orders/1")
    assert response.status == 503
    assert not _count_executions(plain_upstreams)


def test_older_configuration_is_not_applied(site, plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    old = decode_configuration(dict(site.configuration))
    site.apply_configuration(routes=[])
    wait_for(lambda: entry.entry._configuration.version == 2)
    is_applied = threading.Event()

    def apply_old():
        entry.entry._apply_configuration(old)
        is_applied.set()

    entry.entry.task.send(apply_old)
    assert is_applied.wait(30)
    assert entry.entry._configuration.version == 2
    assert entry.call("/orders/1").status == 404


def test_keyed_requests_are_rejected_once_the_configuration_is_stale(
    site, plain_upstreams, start_entry
):
    entry = start_entry(revocationMs=1500).wait_ready(2)
    site.store.fault = StoreFault.SILENT
    wait_for(lambda: not entry.entry.is_ready())
    response = entry.call("/orders/1")
    assert response.status == 503
    assert "Retry-After" in response.headers
    assert not _count_executions(plain_upstreams)


def test_lost_store_history_causes_a_new_listing(site, plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    site.store.compact_history()
    site.add_plain_upstream("plain-3")
    wait_for(lambda: "plain-3" in views_of(entry))


def test_engine_with_an_expired_version_gets_no_requests(site, engines, start_entry):
    entry = start_entry(version_ms=500).wait_ready(2)
    site.set_model_version(2)
    fleet = entry.entry.fleet
    now = entry.entry.task.now
    wait_for(lambda: fleet.version_rollouts.min_version("model-1", now()) == 2)
    assert entry.call("/stream/1", **make_stream_headers()).status == 503
    engines[0].engine.version = 2
    site.put_upstream(engines[0], ENGINE_SERVICE)
    wait_for(lambda: views_of(entry)["engine-1"].served_version("model-1", now()) == 2)
    assert entry.call("/stream/1", **make_stream_headers()).status == 200


def test_age_of_a_rollout_never_counts_from_a_report_that_echoes_nothing(site):
    """Guards against reports that lie in the socket of a suspended entry."""
    fleet = EntryFleet(decode_settings(site.make_settings(name="e", host="e")), 1)
    rollouts = (RolloutAge("model-1", 2, 0.5),)
    state = AgentState(Address("e", 1), False, 1, 1.0, (), rollouts)
    fleet.apply_agent_state(state, 104.0)
    assert fleet.version_rollouts.age_s("model-1", 2, 104.0) is None
    fleet.apply_agent_state(state, 104.0, 100.0)
    assert fleet.version_rollouts.age_s("model-1", 2, 104.0) == 4.5


def test_restarted_entry_learns_the_age_of_a_rollout_from_the_agents(
    site, start_entry, start_agent
):
    start_agent(site.add_engine("engine-1", "127.0.0.2"))
    first = start_entry(host="127.0.0.8").wait_ready(1)
    site.set_model_version(2)
    wait_for(lambda: _age_s(first) is not None)
    restarted = start_entry(name="entry-2", host="127.0.0.9").wait_ready(1)
    wait_for(lambda: _age_s(restarted) is not None)
    assert _expires_at(restarted) <= _expires_at(first)


def _age_s(running):
    entry = running.entry
    return entry.fleet.version_rollouts.age_s("model-1", 2, entry.task.now())


def _expires_at(running):
    return running.entry.fleet.version_rollouts.expires_at("model-1", 1)


def test_request_that_has_not_begun_is_withdrawn_when_the_version_expires(
    site, start_entry
):
    """Guards against requests that an engine begins after its version's end."""
    old = site.add_engine("engine-1", "127.0.0.2")
    old.behaviours.append(Behaviour.MUTE)
    entry = start_entry(version_ms=500).wait_ready(1)
    # No time limit of a stalled attempt ends the request first.
    routes = [dict(route, targetGapMs=10000) for route in site.configuration["routes"]]
    site.apply_configuration(routes=routes)
    wait_for(lambda: entry.entry._configuration.version == 2)
    connection = entry.connect()
    headers = make_headers(**make_stream_headers())
    connection.request("POST", "/stream/1", b"body", headers)
    wait_for(lambda: _count_executions([old]) == 1)
    site.add_engine("engine-2", "127.0.0.3", version=2)
    wait_for(lambda: "engine-2" in views_of(entry))
    site.set_model_version(2)
    assert read_response(connection).body == ALL_EVENTS
    wait_for(lambda: old.received_requests[-1].is_cancelled)
    assert views_of(entry)["engine-1"]._failure_count == 0


def test_withdrawn_request_that_may_not_run_twice_ends_as_unknown(site, start_entry):
    old = site.add_engine("engine-1", "127.0.0.2")
    new = site.add_engine("engine-2", "127.0.0.3", version=2)
    old.behaviours.append(Behaviour.MUTE)
    entry = start_entry(version_ms=500).wait_ready(2)
    changes = {"targetGapMs": 10000, "resumeStreams": False}
    routes = [{**route, **changes} for route in site.configuration["routes"]]
    site.apply_configuration(routes=routes)
    wait_for(lambda: entry.entry._configuration.version == 2)
    entry.entry.fleet._views["engine-2"].is_leaving = True
    connection = entry.connect()
    headers = make_headers(**make_stream_headers())
    connection.request("POST", "/stream/1", b"body", headers)
    wait_for(lambda: _count_executions([old]) == 1)
    entry.entry.fleet._views["engine-2"].is_leaving = False
    site.set_model_version(2)
    assert read_response(connection).status == 502
    wait_for(lambda: old.received_requests[-1].is_cancelled)
    assert not new.received_requests


def test_configuration_that_does_not_decode_is_ignored(
    site, plain_upstreams, start_entry
):
    entry = start_entry().wait_ready(2)
    site.store.put("config", "main", json.loads('{"version": "nine"}'))
    site.add_plain_upstream("plain-3")
    wait_for(lambda: "plain-3" in views_of(entry))
    assert entry.call("/lookup/1").status == 200


def test_entry_learns_the_served_version_from_the_agent(site, start_entry, start_agent):
    full = site.add_engine("engine-1", "127.0.0.2")
    empty = site.add_engine("engine-2", "127.0.0.3", version=None)
    for number, engine in enumerate((full, empty)):
        start_agent(engine, f"agent-{number}")
    entry = start_entry(host="127.0.0.8").wait_ready(2)
    view = views_of(entry)["engine-2"]
    now = entry.entry.task.now
    wait_for(lambda: view.served_version("model-1", now()) == 1)
    assert not view.record.models


def test_entry_without_the_store_sends_callers_to_ready_peers(
    site, plain_upstreams, start_entry
):
    entry = start_entry(revocationMs=1500).wait_ready(2)
    site.store.fault = StoreFault.SILENT
    wait_for(lambda: not entry.entry.is_ready())
    delays = []
    for is_ready in (True, False, None):
        entry.entry.fleet.peers.has_ready_peer = lambda _now, result=is_ready: result
        response = entry.call("/orders/1")
        assert response.status == 503
        delays.append(float(response.headers["Retry-After"]))
    assert delays[0] < 0.1
    assert delays[1] >= 0.5
    assert delays[2] < 0.1


def test_restored_store_brings_back_no_older_configuration(
    site, plain_upstreams, start_entry
):
    """Revisions are given out again, so a watch that went on would miss changes."""
    entry = start_entry().wait_ready(2)
    site.store.save_copy()
    site.apply_configuration(routes=[])
    wait_for(lambda: entry.entry._configuration.version == 2)
    site.store.restore_copy()
    site.add_plain_upstream("plain-3")
    wait_for(lambda: "plain-3" in views_of(entry))
    assert entry.entry._configuration.version == 2
    assert entry.call("/orders/1").status == 404
    site.store.delete("servers", "plain-1")
    wait_for(lambda: "plain-1" not in views_of(entry))


def _start_cell(site, start_entry, start_agent):
    """Start three entries that know each other, one of which watches the store."""
    for number in (2, 3):
        engine = site.add_engine(f"engine-{number}", f"127.0.0.{number}")
        start_agent(engine, f"agent-{number}")
    running = [
        start_entry(name=f"entry-{number}", host=f"127.0.0.{number}").wait_ready(2)
        for number in (7, 8, 9)
    ]
    entries = [each.entry for each in running]
    wait_for(lambda: all(len(each.fleet.peers.recipients()) == 2 for each in entries))
    watches = [watch for each in entries for watch in each._watches]
    wait_for(lambda: sum(watch.is_calling for watch in watches) == 3)
    return running


def test_entries_of_a_cell_share_one_watch_of_the_store(site, start_entry, start_agent):
    """Guards against store calls that grow with the number of entries."""
    running = _start_cell(site, start_entry, start_agent)
    entries = [each.entry for each in running]
    watches = [watch for each in entries for watch in each._watches]
    site.add_plain_upstream("plain-3")
    wait_for(lambda: all("plain-3" in views_of(each) for each in running))
    wait_for(lambda: sum(watch.is_calling for watch in watches) == 3)
    assert sum(each._watches[0].is_calling for each in entries) == 1


def test_agent_that_cannot_tell_the_version_keeps_its_engine_in_use(
    engines, start_entry
):
    """An agent that had just started reported that its engine serves nothing."""
    entry = start_entry().wait_ready(len(engines)).entry
    now = entry.task.now()
    for engine in engines:
        state = AgentState(engine.address, False, None, 1.0, ())
        entry.fleet.apply_agent_state(state, now)
    assert {
        view.served_version(MODEL, now) for view in entry.fleet._views.values()
    } == {1}


def test_agent_cannot_tell_the_version_before_it_knows_the_configuration(
    engines, start_agent
):
    agent = start_agent(engines[0]).agent
    wait_for(lambda: agent._loader.report)
    assert agent.profile() is None
    assert agent._reported_version() is None


def test_large_configuration_reaches_entries_that_the_store_turns_away(
    site, start_entry, start_agent
):
    """Guards against entries that stay on an old version while their peers are current.

    The change is larger than a datagram.
    """
    running = _start_cell(site, start_entry, start_agent)
    entries = [each.entry for each in running]
    closed_address = Address("127.0.0.1", find_free_port())
    for each in entries:
        if not each._watches[0].is_calling:
            settings = replace(each._settings, store_address=closed_address)
            each.task.send(partial(each.apply_settings, settings))
    first = site.configuration["routes"][0]
    routes = [{**first, "pathPrefix": f"/large/{number}/"} for number in range(500)]
    site.apply_configuration(routes=routes)
    wait_for(lambda: all(each._configuration.version == 2 for each in entries))
    assert all(len(each._configuration.routes) == 500 for each in entries)


def _make_entry_fleet(site, name, host):
    settings = decode_settings(site.make_settings(name=name, host=host))
    fleet = EntryFleet(settings, 1)
    fleet.apply_configuration(
        Configuration(1, services={"s": Service("s", 9, engine=make_profile())})
    )
    return fleet


def _list_engines(fleet, count):
    zones = (fleet._settings.availability_zone, "other-zone")
    records = [
        make_record(
            f"engine-{number}", service="s", availability_zone=zones[number % 2]
        )
        for number in range(count)
    ]
    fleet.upstreams.apply_listing(records, 0.0)
    fleet.refresh_views(0.0)


def test_entries_stay_peers_while_the_fleet_divides_into_cells(site):
    """Guards against entries that knew no peer after an engine had been added.

    With one engine more each cell changes. The entry that watched the store told
    nobody of it, so that the others and their agents heard seconds later.
    """
    first = _make_entry_fleet(site, "a", "127.0.0.1")
    second = _make_entry_fleet(site, "b", "127.0.0.2")
    _list_engines(first, MAX_SHARED_ENGINES)
    _list_engines(second, MAX_SHARED_ENGINES)
    load = second.build_load_report(is_ready=True)
    first.apply_peer_load(second.own_address, load, 0.0)
    _list_engines(first, MAX_SHARED_ENGINES + 1)
    assert first.own_cell != second.own_cell
    stale = second.build_load_report(is_ready=True)
    first.apply_peer_load(second.own_address, stale, 0.1)
    assert first.peers.recipients() == [second.own_address]
    assert first.peers.live_addresses(0.1) == []
    other_cell = next(cell for cell in first._cells.members if cell != first.own_cell)
    second.own_cell = other_cell
    moved = second.build_load_report(is_ready=True)
    first.apply_peer_load(second.own_address, moved, 0.2)
    assert first.peers.recipients() == []
    second.own_cell = first.own_cell
    back = second.build_load_report(is_ready=True)
    first.apply_peer_load(second.own_address, back, 0.3)
    assert first.peers.live_addresses(0.3) == [second.own_address]
