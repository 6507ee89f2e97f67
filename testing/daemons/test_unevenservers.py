"""What an entry takes from the load that upstreams state with their responses."""

import pytest
from sitebuilders import views_of, wait_for

from bamboolever.platform.standins.upstream import Behaviour


def _state_load(upstream, value):
    upstream.extra_headers = ((b"Bamboolever-Server-Load", value),)


def _set_target_ms(site, entry, target_ms):
    for route in site.configuration["routes"]:
        route["targetLatencyMs"] = target_ms
    site.apply_configuration()
    version = site.configuration["version"]
    wait_for(lambda: entry.entry._configuration.version == version)


def test_stated_load_is_kept_with_its_upstream(site, start_entry):
    upstream = site.add_plain_upstream("plain-1")
    entry = start_entry().wait_ready(1)
    _state_load(upstream, b"2,1,4,250")
    assert entry.call("/orders/1").status == 200
    view = views_of(entry)["plain-1"]
    assert (view.stated_load.running, view.stated_load.slowness) == (2, 2.5)


@pytest.mark.parametrize("value", [b"2,1", b"1,1,4,0", b"x"])
def test_malformed_load_is_counted_and_the_response_passed_on(site, start_entry, value):
    upstream = site.add_plain_upstream("plain-1")
    entry = start_entry().wait_ready(1)
    _state_load(upstream, value)
    assert entry.call("/orders/1").status == 200
    assert views_of(entry)["plain-1"].stated_load is None
    telemetry = entry.entry.telemetry
    counts = telemetry.sum_by_attribute("upstream.malformed_load", "service")
    assert sum(counts.values()) == 1


def test_upstream_that_said_it_is_slow_is_not_ejected_for_its_silence(
    site, start_entry
):
    """Guards against slowness that counts as a failure."""
    upstream = site.add_plain_upstream("plain-1")
    entry = start_entry().wait_ready(1)
    _set_target_ms(site, entry, 60)
    for value, failures in ((b"1,0,4,250", 0), (b"1,0,4,100", 1)):
        _state_load(upstream, value)
        assert entry.call("/lookup/1").status == 200
        upstream.behaviours.append(Behaviour.MUTE)
        assert entry.call("/lookup/2").status == 502
        assert views_of(entry)["plain-1"]._failure_count == failures
