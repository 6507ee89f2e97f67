"""An entry lives within its memory while callers fill it, and serves others."""

import http.client
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from crowd import (
    MIB,
    Crowd,
    bodies_that_stop_short,
    heads_that_stop_short,
    large_chunks_that_stop_short,
    many_headers_that_stop_short,
    requests_ahead,
    small_chunks_that_stop_short,
    whole_bodies,
)
from processes import DaemonProcess
from sitebuilders import WAIT_S, make_headers, read_response, wait_for

from bamboolever.net.handlers import MAX_INTERNAL_BODY_BYTES

MEMORY_MB = 120
DESCRIPTORS = 600
# More than requests may take together, unless a single one does.
LARGEST_BODY_BYTES = 16 * MIB


@dataclass(frozen=True)
class CrowdKind:
    """Callers of one kind, and the descriptors of the entry that they fill."""

    count: int
    make_data: Callable[[], bytes]
    descriptors: int = DESCRIPTORS
    is_answered: bool = False


CROWDS = {
    "whole": CrowdKind(60, whole_bodies),
    "short": CrowdKind(60, bodies_that_stop_short),
    "large-chunks": CrowdKind(60, large_chunks_that_stop_short),
    "small-chunks": CrowdKind(24, small_chunks_that_stop_short),
    "ahead": CrowdKind(8, requests_ahead),
    "heads": CrowdKind(100, heads_that_stop_short),
    "more-than-descriptors": CrowdKind(400, heads_that_stop_short),
    "many-headers": CrowdKind(400, many_headers_that_stop_short, 1200, True),
}


class EntryProcess:
    """An entry with little memory, as a process."""

    def __init__(self, site, folder, descriptors, max_body_bytes):
        site.configuration["limits"]["maxBodyBytes"] = max_body_bytes
        site.apply_configuration()
        document = site.make_settings(name="entry", host="127.0.0.1")
        document["limits"] |= {"memoryMb": MEMORY_MB, "fileDescriptors": descriptors}
        host, _, port = document["listenAddresses"]["frontend"].rpartition(":")
        self.address = (host, int(port))
        self.process = DaemonProcess(document, folder / "entry.json", "entry")

    def call(self):
        """Return the response to an ordinary request."""
        connection = http.client.HTTPConnection(*self.address, timeout=WAIT_S)
        connection.request("POST", "/lookup/1", b"body", make_headers())
        return read_response(connection)

    def is_serving(self):
        try:
            return self.call().status == 200
        except ConnectionError:
            return False


@pytest.fixture
def start_process(site, tmp_path):
    started = []

    def start(*, descriptors=DESCRIPTORS, max_body_bytes=4 * MIB):
        site.add_plain_upstream("plain-1")
        started.append(EntryProcess(site, tmp_path, descriptors, max_body_bytes))
        wait_for(started[-1].is_serving)
        return started[-1]

    yield start
    for entry in started:
        entry.process.kill()


@pytest.mark.parametrize("kind", CROWDS.values(), ids=CROWDS)
def test_entry_outlives_a_crowd(start_process, kind):
    """Guards against callers that end an entry by what it holds for them."""
    entry = start_process(descriptors=kind.descriptors)
    crowd = Crowd(
        entry.address, kind.count, kind.make_data(), is_answered=kind.is_answered
    )
    crowd.send_all()
    response = entry.call()
    crowd.close()
    assert (response.status, response.is_complete) == (200, True)
    assert entry.process.is_running
    assert entry.process.peak_memory_bytes() < MEMORY_MB * MIB
    assert entry.process.count_descriptors() < kind.descriptors


def test_largest_request_within_the_limits_is_read(start_process):
    """Guards against a bound of all requests that a single one can't meet."""
    entry = start_process(max_body_bytes=LARGEST_BODY_BYTES)
    connection = http.client.HTTPConnection(*entry.address, timeout=WAIT_S)
    headers = make_headers(**{f"name-{number}": "" for number in range(1000)})
    connection.request("POST", "/no-route", b"x" * LARGEST_BODY_BYTES, headers)
    assert connection.getresponse().status == 404


@pytest.mark.parametrize("server", ["_readiness_server", "_snapshot_server"])
def test_internal_ports_of_an_entry_take_no_large_bodies(start_entry, server):
    """Guards against memory that is filled on a port without a bound for all."""
    entry = start_entry().wait_ready(0)
    assert _post_large(getattr(entry.entry, server).address) == 413


@pytest.mark.parametrize("server", ["_piece_server", "_metrics_server"])
def test_internal_ports_of_an_agent_take_no_large_bodies(site, start_agent, server):
    agent = start_agent(site.add_engine("engine-1", "127.0.0.2"))
    assert _post_large(getattr(agent.agent, server).address) == 413


def _post_large(address):
    connection = http.client.HTTPConnection(*address, timeout=WAIT_S)
    connection.request("POST", "/", b"x" * (MAX_INTERNAL_BODY_BYTES + 1))
    return connection.getresponse().status
