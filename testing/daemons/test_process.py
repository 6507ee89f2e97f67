"""Daemons as processes: start, reload, stop and bad settings."""

import json
import signal
import urllib.error
import urllib.request

import pytest
from processes import DaemonProcess
from sitebuilders import wait_for

from bamboolever.daemons.process import make_parser
from bamboolever.platform.standins.site import find_free_port


@pytest.fixture
def start(tmp_path):
    running = []

    def start(document, *arguments):
        path = tmp_path / f"settings-{len(running)}.json"
        running.append(DaemonProcess(document, path, *arguments))
        return running[-1]

    yield start
    for process in running:
        process.kill()


def _is_ready(address):
    try:
        with urllib.request.urlopen(
            f"http://{address}/-/readiness", timeout=5
        ) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        return False


def test_entry_serves_reloads_and_stops(site, start):
    site.add_plain_upstream("plain-1")
    document = site.make_settings(name="entry-1", host="127.0.0.1")
    process = start(document, "entry")
    wait_for(lambda: _is_ready(document["listenAddresses"]["ready"]))
    process.path.write_text(json.dumps(document | {"region": "region-1"}))
    process.signal(signal.SIGHUP)
    wait_for(lambda: "settings reloaded" in process.messages())
    process.signal(signal.SIGTERM)
    assert process.wait() == 0
    assert process.messages()[-1] == "stopped"


def test_changed_file_is_reloaded_without_a_signal(site, start):
    document = site.make_settings(name="entry-1", host="127.0.0.1")
    process = start(document, "entry")
    wait_for(lambda: "started" in process.messages())
    process.path.write_text(json.dumps(document | {"region": "another-region"}))
    wait_for(lambda: "settings reloaded" in process.messages())


def test_bad_settings_on_reload_are_ignored(site, start):
    site.add_plain_upstream("plain-1")
    document = site.make_settings(name="entry-1", host="127.0.0.1")
    process = start(document, "entry")
    wait_for(lambda: _is_ready(document["listenAddresses"]["ready"]))
    process.path.write_text("{broken")
    process.signal(signal.SIGHUP)
    wait_for(lambda: "settings not reloaded" in process.messages())
    assert _is_ready(document["listenAddresses"]["ready"])


@pytest.mark.parametrize(
    ("document", "arguments"),
    [
        ({}, ["entry"]),
        ({"nodeName": 7}, ["agent"]),
        (None, ["entry", "--placement", "unknown"]),
        (None, ["agent"]),
    ],
)
def test_bad_settings_at_start_print_an_error_and_exit(
    site, start, document, arguments
):
    if document is None:
        document = site.make_settings(name="x", host="127.0.0.1")
    process = start(document, *arguments)
    assert process.wait() == 2
    assert "bamboolever: " in process.log.read_text()


def test_placement_argument_selects_the_policy(site, start):
    options = make_parser().parse_args(["entry", "--placement", "least-outstanding"])
    assert options.placement == "least-outstanding"
    site.add_engine("engine-1", "127.0.0.2")
    document = site.make_settings(name="entry-1", host="127.0.0.1")
    start(document, "entry", "--placement", "least-outstanding")
    wait_for(lambda: _is_ready(document["listenAddresses"]["ready"]))


def test_metrics_are_served_on_the_given_port(site, start):
    site.add_plain_upstream("plain-1")
    port = find_free_port()
    document = site.make_settings(name="entry-1", host="127.0.0.1")
    start(document, "entry", "--metrics-port", str(port))
    wait_for(lambda: _is_ready(document["listenAddresses"]["ready"]))
    with urllib.request.urlopen(
        f"http://127.0.0.1:{port}/metrics", timeout=5
    ) as response:
        assert response.status == 200
