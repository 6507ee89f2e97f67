"""The datagrams that an entry sends after a burst of rejections."""

import queue

from sitebuilders import WAIT_S, wait_for

from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry
from bamboolever.daemons.entryexchange import EntryExchange
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.net.addresses import Address
from bamboolever.net.datagrams import MAX_DATAGRAM_BYTES
from bamboolever.platform.nodefile import decode_settings
from bamboolever.platform.standins.site import find_free_port

REJECTIONS = 500


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
