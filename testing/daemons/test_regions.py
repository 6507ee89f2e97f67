"""Bound requests on each way to an upstream: none leaves its regions.

The entry is in zone-a of region-1, so that it prefers the upstreams there.
"""

import threading
from dataclasses import replace

import pytest
from sitebuilders import (
    make_headers,
    make_stream_headers,
    read_response,
    views_of,
    wait_for,
)

from bamboolever.calls.parts import CRASHES_TO_SUSPECT, PromptParts
from bamboolever.calls.poison import Crash
from bamboolever.platform.documents import decode_configuration
from bamboolever.platform.standins.upstream import MODEL, Behaviour

PART = "5c1e07a2"


@pytest.fixture
def allowed(site):
    """Engines in region-2, to which most tests bind the requests."""
    return [
        site.add_engine(f"allowed-{number}", f"127.0.0.{number}", zone="zone-b")
        for number in (2, 3)
    ]


@pytest.fixture
def others(site):
    """Engines in the entry's own region."""
    return [
        site.add_engine(f"other-{number}", f"127.0.0.{number}") for number in (4, 5, 6)
    ]


def _bind_routes(site, *regions):
    routes = [
        {**route, "allowedRegions": list(regions)}
        for route in site.configuration["routes"]
    ]
    site.apply_configuration(routes=routes)


def _bind_tenants(site, *regions):
    tenants = [
        {**tenant, "allowedRegions": list(regions)}
        for tenant in site.configuration["tenants"]
    ]
    site.apply_configuration(tenants=tenants)


def _apply_in_entry(site, entry):
    """Put the stored configuration in force, and return when it is."""
    configuration = decode_configuration(dict(site.configuration))
    _run_on_task(entry, lambda: entry.entry._apply_configuration(configuration))


def _run_on_task(entry, action):
    is_done = threading.Event()

    def run():
        action()
        is_done.set()

    entry.entry.task.send(run)
    assert is_done.wait(30)


def _received(upstreams):
    return sum(len(upstream.received_requests) for upstream in upstreams)


def _stream(entry):
    return entry.call("/stream/1", **make_stream_headers())


def _begin_stream(entry):
    connection = entry.connect()
    headers = make_headers(**make_stream_headers())
    connection.request("POST", "/stream/1", b"body", headers)
    return connection


@pytest.mark.parametrize("bind", [_bind_routes, _bind_tenants])
def test_first_placement_stays_in_the_region(site, allowed, others, start_entry, bind):
    bind(site, "region-2")
    entry = start_entry().wait_ready(5)
    for _ in range(4):
        assert _stream(entry).is_complete
    assert _received(allowed) == 4
    assert not _received(others)


def test_request_without_a_common_region_is_rejected_for_good(
    site, allowed, start_entry
):
    """Guards against callers that are told to come back for the same rejection."""
    _bind_routes(site, "region-2")
    _bind_tenants(site, "region-1")
    entry = start_entry().wait_ready(2)
    response = _stream(entry)
    assert (response.status, response.body) == (503, b"no-allowed-region")
    assert "Retry-After" not in response.headers
    assert not _received(allowed)


def test_fallback_to_ejected_upstreams_stays_in_the_region(
    site, allowed, others, start_entry
):
    _bind_routes(site, "region-2")
    entry = start_entry().wait_ready(5)
    for engine in (*allowed, others[0]):
        views_of(entry)[engine.instance_id].ejected_until = float("inf")
    assert _stream(entry).is_complete
    assert not _received(others)


@pytest.mark.parametrize("behaviour", [Behaviour.NOT_EXECUTED, Behaviour.CUT])
def test_retry_stays_in_the_region(site, allowed, others, start_entry, behaviour):
    _bind_routes(site, "region-2")
    entry = start_entry().wait_ready(5)
    for engine in allowed:
        engine.behaviours.append(behaviour)
    assert _stream(entry).status in (502, 503)
    assert _received(allowed) == 2
    assert not _received(others)


def test_retry_does_not_leave_a_region_without_another_upstream(
    site, allowed, others, start_entry
):
    _bind_routes(site, "region-2")
    entry = start_entry().wait_ready(5)
    views_of(entry)["allowed-2"].is_leaving = True
    allowed[1].behaviours.append(Behaviour.CUT)
    assert _stream(entry).status == 502
    assert not _received(others)


def test_resumed_stream_stays_in_the_region(site, allowed, others, start_entry):
    _bind_routes(site, "region-2")
    entry = start_entry().wait_ready(5)
    for engine in allowed:
        engine.behaviours.append(Behaviour.CUT_MID_STREAM)
    assert not _stream(entry).is_complete
    assert _received(allowed) == 2
    assert not _received(others)


def test_trial_of_a_suspected_part_stays_in_the_region(
    site, allowed, others, start_entry
):
    _bind_routes(site, "region-2")
    entry = start_entry().wait_ready(5)
    parts = entry.entry.exchange.crashes.parts
    now = entry.entry.task.now()
    (digest,) = PromptParts.from_ids(MODEL, (PART,)).digests
    for upstream in range(CRASHES_TO_SUSPECT):
        parts.facts.add_crash(Crash(digest, upstream, now), now)
    headers = make_stream_headers(Bamboolever_Prompt_Prefix=f"{PART}:40,91bd3f06:9")
    assert entry.call("/stream/1", **headers).is_complete
    # The trial was answered, which clears the part.
    assert parts.facts.completed_at(digest) is not None
    assert _received(allowed) == 1
    assert not _received(others)


def test_waiting_request_follows_a_changed_configuration(
    site, allowed, others, start_entry
):
    """Guards against a queued request that is placed by its admission's regions.

    The stream breaks and waits while all other engines are closed; those that open
    are outside the regions that are allowed by then.
    """
    entry = start_entry().wait_ready(5)
    views = views_of(entry)
    for name, view in views.items():
        if name != "allowed-2":
            view.switching_until = float("inf")
    allowed[0].behaviours.append(Behaviour.CUT_MID_STREAM)
    connection = _begin_stream(entry)
    wait_for(lambda: entry.entry.fleet.has_waiting_calls)
    _bind_routes(site, "region-2")
    _apply_in_entry(site, entry)
    for engine in others:
        views[engine.instance_id].switching_until = 0.0
    _run_on_task(entry, entry.entry.calls.dispatch_waiting)
    assert not read_response(connection).is_complete
    assert not _received(others)


def test_waiting_request_is_ended_once_no_region_is_left(site, allowed, start_entry):
    """Guards against a request that waits for its time limit without any hope."""
    entry = start_entry().wait_ready(2)
    views_of(entry)["allowed-3"].switching_until = float("inf")
    allowed[0].behaviours.append(Behaviour.CUT_MID_STREAM)
    connection = _begin_stream(entry)
    wait_for(lambda: entry.entry.fleet.has_waiting_calls)
    _bind_routes(site, "region-2")
    _bind_tenants(site, "region-1")
    _apply_in_entry(site, entry)
    _run_on_task(entry, entry.entry.calls.dispatch_waiting)
    assert not entry.entry.fleet.has_waiting_calls
    assert not read_response(connection).is_complete


def test_request_in_flight_follows_a_changed_configuration_when_it_is_sent_again(
    site, allowed, others, start_entry
):
    """Guards against retries that are placed by the regions of the admission."""
    entry = start_entry().wait_ready(5)
    views_of(entry)["allowed-3"].is_leaving = True
    for engine in others:
        views_of(entry)[engine.instance_id].switching_until = float("inf")
    allowed[0].behaviours.append(Behaviour.MUTE_MID_STREAM)
    connection = _begin_stream(entry)
    wait_for(lambda: _received(allowed) == 1)
    _bind_routes(site, "region-2")
    _apply_in_entry(site, entry)
    for engine in others:
        views_of(entry)[engine.instance_id].switching_until = 0.0
    assert not read_response(connection).is_complete
    assert not _received(others)


def test_log_names_the_region_rule_where_it_decided(site, others, start_entry, caplog):
    """Guards against rejections whose reason only the configuration shows."""
    caplog.set_level("INFO")
    _bind_routes(site, "region-2")
    entry = start_entry().wait_ready(3)
    assert _stream(entry).body == b"no-upstream"
    wait_for(lambda: any(each.message == "call ended" for each in caplog.records))
    (line,) = [each for each in caplog.records if each.message == "call ended"]
    assert line.regions == ("region-2",)
    assert line.excluded == {"region": 3}
    counts = entry.entry.telemetry.sum_by_attribute("region.rejected", "service")
    assert sum(counts.values()) == 1


def test_upstream_of_an_unknown_region_takes_no_bound_request(site, start_entry):
    """Guards against a zone without a region that counts as a region of its name."""
    engine = site.add_engine("engine-1", "127.0.0.2", zone="zone-c")
    _bind_routes(site, "zone-c", "region-2", "")
    entry = start_entry().wait_ready(1)
    assert _stream(entry).body == b"no-upstream"
    assert not _received([engine])
    zones = {**entry.settings.regions_by_zone, "zone-c": "region-2"}
    settings = replace(entry.settings, regions_by_zone=zones)
    _run_on_task(entry, lambda: entry.entry.apply_settings(settings))
    assert _stream(entry).is_complete
