"""Cold upstreams as an entry's fleet keeps them, and what a refusal shows."""

import math

import pytest
from limits import COLD_SETTINGS
from sitebuilders import make_profile, make_record, views_of, wait_for

from bamboolever.calls.coldstart import SUSPENSION_S, ColdCause
from bamboolever.config.model import Configuration, Service
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.fleet.messages import AgentState
from bamboolever.net.addresses import Address
from bamboolever.platform.nodefile import decode_settings
from bamboolever.platform.standins.site import PLAIN_SERVICE

COLD_S = 3.0
SETTINGS = {
    "nodeName": "entry-1",
    "ipAddress": "127.0.0.1",
    "zone": "zone-a",
    "internalPortRange": [9000, 9010],
    "platformSettings": {"address": "127.0.0.1:1"},
    "bounds": COLD_SETTINGS,
}


def _make_fleet(*, cold_per_s=32.0):
    fleet = EntryFleet(decode_settings(SETTINGS), 1)
    service = Service("model-service", 0, cold_start_s=COLD_S, cold_per_s=cold_per_s)
    fleet.apply_configuration(Configuration(1, services={service.name: service}))
    return fleet


def _list(fleet, now, *records):
    fleet.upstreams.apply_listing(records, now)
    fleet.refresh_views(now)


def _cold(fleet, name="up-1"):
    return fleet._views[name].cold


def test_settings_and_configuration_make_the_bound():
    fleet = _make_fleet()
    _list(fleet, 0.0, make_record(cold_remaining_s=2.0))
    assert _cold(fleet).bound.allowed == 1.5 * 32 + 5
    assert _cold(fleet).is_cold(1.9)
    assert not _cold(fleet).is_cold(2.0)


def test_service_without_a_rate_has_no_bound():
    fleet = _make_fleet(cold_per_s=0.0)
    _list(fleet, 0.0, make_record(cold_remaining_s=2.0))
    assert not _cold(fleet).is_cold(0.0)


def test_listing_again_does_not_begin_the_cold_time_again():
    fleet = _make_fleet()
    record = make_record(cold_remaining_s=2.0)
    _list(fleet, 0.0, record)
    _list(fleet, 1.9, record, make_record("up-2"))
    assert not _cold(fleet).is_cold(2.0)


def test_restart_under_the_same_id_is_cold_also_after_a_gap_in_the_list():
    """Guards against a cold state that goes with the record that the store dropped."""
    fleet = _make_fleet()
    _list(fleet, 0.0, make_record(started_ms=1))
    _list(fleet, 10.0)
    _list(fleet, 11.0, make_record(started_ms=2))
    assert _cold(fleet).is_cold(11.0 + COLD_S - 0.1)
    assert not _cold(fleet).is_cold(11.0 + COLD_S)


def test_assumed_start_outlives_a_gap_in_the_list():
    fleet = _make_fleet()
    record = make_record()
    _list(fleet, 0.0, record)
    fleet.note_awake(0.0)
    fleet.note_awake(SUSPENSION_S + 0.1)
    _list(fleet, 2.0)
    _list(fleet, 2.5, record)
    assert _cold(fleet).is_cold(100.0)


def test_suspended_process_assumes_that_all_upstreams_started_again():
    fleet = _make_fleet()
    _list(fleet, 0.0, make_record("up-1"), make_record("up-2"))
    fleet.note_awake(0.0)
    fleet.note_awake(SUSPENSION_S + 0.1)
    assert all(_cold(fleet, name).is_cold(100.0) for name in ("up-1", "up-2"))


def test_peers_that_agents_name_share_the_rate_at_once():
    """Guards against a start with the rate of an entry that is alone."""
    fleet = _make_fleet()
    _list(fleet, 0.0, make_record(cold_remaining_s=2.0))
    entries = tuple(Address("127.0.0.9", port) for port in range(10))
    state = AgentState(
        Address("127.0.0.3", 1), False, None, 1.0, entries, cell=fleet.own_cell
    )
    fleet.apply_agent_state(state, 0.1)
    scope = fleet._cold_scope
    assert scope.count_entries(is_in_cell=True) == 11
    fleet.expire_peers(30.0)
    assert scope.count_entries(is_in_cell=True) == 11, "they may be cut off"


def test_summary_of_the_cell_keeps_others_away_from_a_cold_engine():
    """Guards against engines that get the tokens of two cells."""
    fleet = EntryFleet(decode_settings(SETTINGS), 1)
    service = Service(
        "model-service", 0, make_profile(), cold_start_s=COLD_S, cold_per_s=32.0
    )
    fleet.apply_configuration(Configuration(1, services={service.name: service}))
    _list(fleet, 0.0, make_record(cold_remaining_s=2.0), make_record("up-2"))
    summary = fleet.build_summary(Address("127.0.0.9", 1), 1.0)
    takes = {key: each.takes_requests for key, each in summary.upstreams.items()}
    assert takes == {
        fleet._views["up-1"].key: False,
        fleet._views["up-2"].key: True,
    }


@pytest.fixture
def entry(site, plain_upstreams, start_entry):
    """An entry with two plain upstreams that have a bound while they are cold."""
    services = [
        {**each, "coldStartS": 3, "coldPerS": 320}
        if each["name"] == PLAIN_SERVICE
        else each
        for each in site.configuration["services"]
    ]
    site.apply_configuration(services=services)
    entry = start_entry().wait_ready(2)
    wait_for(lambda: views_of(entry)["plain-1"].cold.bound is not None)
    return entry


def test_refused_connection_is_taken_for_a_start(plain_upstreams, entry):
    """Guards against the demand that meets an upstream before the list tells of it."""
    plain_upstreams[0].stop()
    for number in range(4):
        entry.call(f"/lookup/{number}")
    assert views_of(entry)["plain-1"].cold._until == math.inf
    assert not views_of(entry)["plain-2"].cold.is_cold(entry.entry.task.now())
    telemetry = entry.entry.telemetry
    wait_for(lambda: telemetry.sum_by_attribute("cold.begun", "cause"))
    assert telemetry.sum_by_attribute("cold.begun", "cause") == {"unreachable": 1}


def test_first_response_ends_the_assumption_after_the_cold_time(entry):
    views = views_of(entry).values()

    def assume():
        for view in views:
            view.cold.assume(ColdCause.UNREACHABLE, entry.entry.task.now())

    entry.entry.task.send(assume)
    wait_for(lambda: all(view.cold._until == math.inf for view in views))
    wait_for(lambda: entry.call("/lookup/1").status == 200)
    assert any(view.cold._until < math.inf for view in views)
    used = entry.entry.telemetry.sum_by_attribute("cold.token_used", "service")
    assert used == {PLAIN_SERVICE: 1}


def test_list_that_is_confirmed_shows_that_silent_upstreams_run(entry):
    """Guards against a fleet that is throttled whenever its traffic is low."""
    fleet, task = entry.entry.fleet, entry.entry.task
    started_at = task.now()
    wait_for(lambda: fleet._cold_scope.list_current_at > started_at)


def test_suspension_is_noticed_before_the_next_request_is_sent(entry):
    """Guards against datagrams from before a suspension that count as news."""
    fleet, task = entry.entry.fleet, entry.entry.task

    def suspend():
        # As if the loop had not run for a while.
        fleet._cold_scope._awake_at = task.now() - 2 * SUSPENSION_S

    task.send(suspend)
    wait_for(lambda: entry.call("/lookup/1").status == 200)
    wait_for(lambda: entry.entry.telemetry.sum_by_attribute("cold.begun", "cause"))
    counts = entry.entry.telemetry.sum_by_attribute("cold.begun", "cause")
    assert counts == {"suspended": 2}
