"""Entries that follow the evacuations in the store."""

import itertools

import pytest
from sitebuilders import wait_for

from bamboolever.platform.standins.store import StoreFault

KIND = "evacuations"
EVACUATION_MS = 600

_serial = itertools.count(1)


@pytest.fixture
def upstreams(site):
    return [
        site.add_plain_upstream("plain-a", "zone-a"),
        site.add_plain_upstream("plain-b", "zone-b"),
    ]


@pytest.fixture
def entry(start_entry, upstreams):
    entry = start_entry(evacuationMs=EVACUATION_MS).wait_ready(2)
    wait_for(lambda: _watched(entry, KIND))
    return entry


def _watched(entry, kind):
    return entry.entry.exchange.store_relay.snapshot_of(kind)


def _zones(entry):
    return entry.entry.fleet.evacuations.zones(entry.entry.task.now())


def _uses(entry, upstream, calls=8):
    """Return whether some requests reach an upstream; all are served."""
    before = len(upstream.received_requests)
    for _ in range(calls):
        assert entry.call(f"/lookup/{next(_serial)}").status == 200
    return len(upstream.received_requests) > before


def _wait_closed(entry, zone):
    evacuations, task = entry.entry.fleet.evacuations, entry.entry.task
    wait_for(lambda: evacuations.use_of(zone, task.now()).value == "closed")


def test_evacuated_zone_gets_no_requests_until_the_removal(site, entry, upstreams):
    assert _uses(entry, upstreams[0])
    site.store.put(KIND, "zone-a", {})
    _wait_closed(entry, "zone-a")
    assert not _uses(entry, upstreams[0])
    site.store.delete(KIND, "zone-a")
    wait_for(lambda: not _zones(entry))
    assert _uses(entry, upstreams[0])


@pytest.mark.parametrize("content", ["text", {"zone": 7}, None])
def test_object_with_another_content_evacuates_its_zone_too(
    site, entry, upstreams, content
):
    """Guards against an evacuation that is ignored as it does not decode."""
    site.store.put(KIND, "zone-a", content)
    _wait_closed(entry, "zone-a")
    assert not _uses(entry, upstreams[0])


def test_evacuation_of_an_unknown_zone_changes_nothing(site, entry, upstreams):
    site.store.put(KIND, "nowhere", {})
    wait_for(lambda: _zones(entry) == ["nowhere"])
    assert _uses(entry, upstreams[0])


def test_evacuation_lasts_through_an_outage_of_the_store(site, entry, upstreams):
    """Guards against a zone that is used again while the store says nothing."""
    site.store.put(KIND, "zone-a", {})
    wait_for(lambda: _zones(entry) == ["zone-a"])
    site.store.fault = StoreFault.CLOSES
    _wait_closed(entry, "zone-a")
    site.store.delete(KIND, "zone-a")
    assert not _uses(entry, upstreams[0])
    site.store.fault = StoreFault.NONE
    wait_for(lambda: not _zones(entry))
    assert _uses(entry, upstreams[0])


def test_evacuation_that_the_restored_store_lacks_lasts_until_it_is_written_again(
    site, entry, upstreams
):
    site.store.save_copy()
    site.store.put(KIND, "zone-a", {})
    _wait_closed(entry, "zone-a")
    era = entry.entry.exchange.store_relay.era
    site.store.restore_copy()
    wait_for(lambda: entry.entry.exchange.store_relay.era > era)
    assert not _uses(entry, upstreams[0])
    site.store.put(KIND, "zone-a", {})
    wait_for(lambda: _watched(entry, KIND)[0].documents)
    assert _zones(entry) == ["zone-a"]


def test_all_zones_evacuated_rejects_with_the_reason(site, entry, upstreams):
    for zone in ("zone-a", "zone-b"):
        site.store.put(KIND, zone, {})
    for zone in ("zone-a", "zone-b"):
        _wait_closed(entry, zone)
    response = entry.call("/lookup/1")
    assert (response.status, response.body) == (503, b"evacuated")
    counts = entry.entry.telemetry.sum_by_attribute("evacuation.changed", "event")
    assert counts == {"begun": 2}


def test_entry_that_starts_during_an_evacuation_does_not_use_the_zone(
    site, entry, upstreams, start_entry
):
    site.store.put(KIND, "zone-a", {})
    _wait_closed(entry, "zone-a")
    other = start_entry(
        name="entry-2", host="127.0.0.22", evacuationMs=EVACUATION_MS
    ).wait_ready(2)
    wait_for(lambda: _zones(other) == ["zone-a"])
    assert not _uses(other, upstreams[0])


def test_entries_tell_each_other_of_evacuations(
    site, engines, start_agent, start_entry
):
    """Guards against entries that all watch: one of a cell does."""
    for engine in engines:
        start_agent(engine, name=f"agent-{engine.instance_id}")
    options = {"evacuationMs": EVACUATION_MS, "configurationApplyMs": 60_000}
    entries = [
        start_entry(name=f"entry-{n}", host=f"127.0.0.{20 + n}", **options).wait_ready()
        for n in (1, 2, 3)
    ]
    for entry in entries:
        wait_for(lambda entry=entry: len(entry.entry.fleet.peers.recipients()) == 2)
    site.store.put(KIND, "zone-a", {})
    for entry in entries:
        wait_for(lambda entry=entry: _zones(entry) == ["zone-a"])


def test_entry_is_not_ready_before_it_knows_the_evacuations(
    site, upstreams, start_entry
):
    """Guards against an entry that sends to a zone whose evacuation it has not read."""
    site.store.silent_kinds = frozenset({KIND})
    entry = start_entry(evacuationMs=60_000)
    wait_for(lambda: entry.entry.fleet.upstreams.is_known)
    wait_for(lambda: entry.entry._configuration is not None)
    assert not entry.entry.is_ready()


def test_deployment_without_the_setting_has_no_such_watch(start_entry, upstreams):
    """Guards against revisions that older processes take for those of other kinds."""
    entry = start_entry().wait_ready(2)
    assert _watched(entry, KIND) is None
    assert len(entry.entry.exchange.store_relay.changed_revisions()) == 3
    kinds = list(entry.entry.exchange.store_relay._watches)
    assert kinds == ["config", "servers", "versions"]


def test_watch_of_evacuations_is_the_last(entry):
    kinds = list(entry.entry.exchange.store_relay._watches)
    assert kinds == ["config", "servers", "versions", KIND]
