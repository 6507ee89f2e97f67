"""The datagrams that an entry sends after a burst of rejections, and of crashes."""

import queue

import pytest
from manualtask import ManualTask
from sitebuilders import WAIT_S, wait_for

from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry
from bamboolever.calls.parts import PartState, PromptParts
from bamboolever.daemons.entryexchange import EntryExchange
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.fleet.neighbors import NeighborCell
from bamboolever.net.addresses import Address
from bamboolever.net.datagrams import MAX_DATAGRAM_BYTES
from bamboolever.platform.nodefile import decode_settings
from bamboolever.platform.standins.site import find_free_port

REJECTIONS = 500
POISON = 7
# Longer than the interval of an entry's regular datagrams.
REPEAT_S = 2.0


def _make_exchange(site, task, host):
    document = site.make_settings(name=host, host=host)
    fleet = EntryFleet(decode_settings(document), 1)
    address = Address(host, find_free_port())
    return EntryExchange(
        task, host, address, fleet, Telemetry(host), lambda: None, lambda: True
    )


def test_burst_of_rejections_reaches_the_peers_complete(site):
    task = IoTask("exchange")
    first = _make_exchange(site, task, "127.0.0.8")
    second = _make_exchange(site, task, "127.0.0.9")
    sizes = queue.Queue()
    send = first._socket.send

    def send_and_measure(data, address):
        sizes.put(len(data))
        send(data, address)

    first._socket.send = send_and_measure
    task.start()

    def send_burst():
        first._fleet.peers.add_addresses((second._socket.address,), task.now())
        second._socket.start()
        for digest in range(REJECTIONS):
            first.record_rejection(2**62 + digest, task.now() - 1.0)

    task.send(send_burst)
    last = 2**62 + REJECTIONS - 1
    wait_for(lambda: second.rejection_history.first_attempt_age_s(last, task.now()) > 0)
    assert second.rejection_history.first_attempt_age_s(2**62, task.now()) > 0
    assert sizes.get(timeout=WAIT_S) <= MAX_DATAGRAM_BYTES
    while not sizes.empty():
        assert sizes.get() <= MAX_DATAGRAM_BYTES
    task.stop()


class _Wire:
    """Carries the datagrams of exchanges whose sockets are not started."""

    def __init__(self, *exchanges):
        self._exchanges = {each._socket.address: each for each in exchanges}
        self.is_down = False
        for each in exchanges:
            each._socket.send = self._sender(each._socket.address)

    def _sender(self, sender):
        def send(data, address):
            if not self.is_down and address in self._exchanges:
                self._exchanges[address]._on_datagram(data, sender)

        return send


def _introduce(first, second, now):
    first._fleet.peers.add_addresses((second._socket.address,), now)
    second._fleet.peers.add_addresses((first._socket.address,), now)


def _crash(exchange, upstream):
    exchange.crashes.on_broken_response(upstream, POISON, exchange._task.now())
    exchange.crashes.on_upstream_ended(upstream, "refused")


def test_lost_crash_report_is_made_up_for(site):
    task = ManualTask()
    first = _make_exchange(site, task, "127.0.0.8")
    second = _make_exchange(site, task, "127.0.0.9")
    wire = _Wire(first, second)
    _introduce(first, second, task.now())
    first._send_load_heartbeat()
    second._send_load_heartbeat()
    wire.is_down = True
    for upstream in range(3):
        _crash(first, upstream)
    wire.is_down = False
    task.advance(REPEAT_S)
    assert second.crashes.tracker.is_blocked(POISON, task.now())


def test_entry_that_starts_later_learns_which_requests_are_blocked(site):
    task = ManualTask()
    first = _make_exchange(site, task, "127.0.0.8")
    second = _make_exchange(site, task, "127.0.0.9")
    _Wire(first, second)
    first._send_load_heartbeat()
    for upstream in range(3):
        _crash(first, upstream)
    _introduce(first, second, task.now())
    second._send_load_heartbeat()
    task.advance(REPEAT_S)
    assert second.crashes.tracker.is_blocked(POISON, task.now())


PROMPT = PromptParts(("a1",), (70,), (70,))


@pytest.fixture
def pair(site):
    """Two exchanges that do not know each other, on one wire."""
    task = ManualTask()
    first = _make_exchange(site, task, "127.0.0.8")
    second = _make_exchange(site, task, "127.0.0.9")
    _Wire(first, second)
    return first, second


def _crash_part(exchange, upstream):
    now = exchange._task.now()
    exchange.crashes.on_broken_response(upstream, upstream, now, PROMPT)
    exchange.crashes.on_upstream_ended(upstream, "refused")


def test_block_of_a_part_reaches_the_entries_of_another_cell(pair):
    first, second = pair
    cell = NeighborCell("zone-b/0", first._socket.address)
    cell.add_entries((second._socket.address,), first._task.now())
    first._fleet.neighbors = {cell.name: cell}
    for upstream in range(3):
        _crash_part(first, upstream)
    assert second.crashes.parts.state(70) is PartState.BLOCKED


def test_entry_that_starts_later_learns_which_parts_are_blocked(pair):
    first, second = pair
    task = first._task
    first._send_load_heartbeat()
    for upstream in range(3):
        _crash_part(first, upstream)
    _introduce(first, second, task.now())
    task.advance(REPEAT_S)
    assert second.crashes.parts.state(70) is PartState.BLOCKED


def test_repetitions_of_crash_reports_go_to_one_agent_in_turn(site):
    task = ManualTask()
    first = _make_exchange(site, task, "127.0.0.8")
    agents = [Address("127.0.0.21", 1), Address("127.0.0.22", 1)]
    first._fleet.agent_addresses = lambda: agents
    sent = []
    first._socket.send = lambda data, address: sent.append(address)
    _crash_part(first, 1)
    assert sent.count(agents[0]) == sent.count(agents[1]) == 2
    _crash_part(first, 2)
    sent.clear()
    first.crashes.repeat()
    first.crashes.repeat()
    assert sorted(sent) == agents


def test_repeated_crash_report_counts_once(site):
    task = ManualTask()
    first = _make_exchange(site, task, "127.0.0.8")
    second = _make_exchange(site, task, "127.0.0.9")
    _Wire(first, second)
    _introduce(first, second, task.now())
    _crash(first, 0)
    _crash(second, 0)
    _crash(first, 1)
    task.advance(REPEAT_S)
    assert not first.crashes.tracker.is_blocked(POISON, task.now())
    assert not second.crashes.tracker.is_blocked(POISON, task.now())
