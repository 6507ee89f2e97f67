"""The retries of all entries together, against the contract's budget."""

import itertools
from types import SimpleNamespace

import pytest
from manualtask import ManualTask

from bamboolever._telemetry import Telemetry
from bamboolever.calls.parts import PromptParts
from bamboolever.daemons.entryexchange import EntryExchange
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.daemons.inflightcalls import InFlightCalls
from bamboolever.fleet.cells import SHARED_CELL, CellMap
from bamboolever.net.addresses import Address
from bamboolever.platform.nodefile import decode_settings
from bamboolever.platform.standins.site import find_free_port

SLACK = 104
RATIO = 0.2
SERVICE = "service-1"
CALL = SimpleNamespace(
    digest=1, service=SERVICE, prompt=PromptParts(), may_have_run=True
)


def _make_calls(site, count):
    """Return the calls of entries that know each other."""
    task = ManualTask()
    entries = []
    for number in range(count):
        document = site.make_settings(name=f"entry-{number}", host="127.0.0.8")
        document["bounds"].update(retryBudgetSlack=SLACK, retryBudgetRatio=RATIO)
        settings = decode_settings(document)
        fleet = EntryFleet(settings, 1)
        fleet._cells = CellMap({}, {SHARED_CELL: ["engine-1"]})
        telemetry = Telemetry(settings.name)
        address = Address("127.0.0.8", find_free_port())
        exchange = EntryExchange(
            task, settings.name, address, fleet, telemetry, bool, bool
        )
        entries.append(InFlightCalls(task, telemetry, fleet, exchange, settings))
    addresses = tuple(each._exchange._socket.address for each in entries)
    for each in entries:
        others = tuple(a for a in addresses if a != each._exchange._socket.address)
        each._fleet.peers.add_addresses(others, task.now())
    return entries


def _count_retries(calls):
    return sum(1 for _ in iter(lambda: calls.acquire_retry(CALL), "budget-used"))


@pytest.mark.parametrize("requests", [0, 100, 3000])
@pytest.mark.parametrize("count", [1, 5, 10, 11, 17, 36])
def test_retries_of_all_entries_keep_to_the_contract(site, count, requests):
    entries = _make_calls(site, count)
    retries = sum(map(_count_retries, entries))
    for calls in itertools.islice(itertools.cycle(entries), requests):
        calls.on_first_attempt(SERVICE)
        retries += _count_retries(calls)
    assert retries <= RATIO * requests + SLACK


def test_entry_that_knows_no_other_saves_a_tenth_of_the_slack(site):
    (calls,) = _make_calls(site, 1)
    assert _count_retries(calls) == SLACK // 10


def test_entry_that_learns_of_others_gives_up_saved_retries(site):
    calls = _make_calls(site, 1)[0]
    assert calls.acquire_retry(CALL) is None
    others = tuple(Address("127.0.1.1", 1 + number) for number in range(51))
    calls._fleet.peers.add_addresses(others, calls.task.now())
    assert _count_retries(calls) == SLACK // 52


@pytest.mark.parametrize(
    ("cells", "own_cell", "count"),
    [
        (CellMap(), SHARED_CELL, 3),
        (CellMap({}, {SHARED_CELL: ["e"]}), SHARED_CELL, 3),
        (CellMap({"a": 1, "b": 2}, {"a/0": [], "b/0": [], "b/1": []}), "a/0", 9),
        (CellMap({"a": 1}, {"a/0": []}), "without-engines/0", 6),
    ],
)
def test_entries_are_counted_as_if_each_cell_had_as_many(site, cells, own_cell, count):
    calls = _make_calls(site, 3)[0]
    calls._fleet._cells = cells
    calls._fleet.own_cell = own_cell
    assert calls._fleet.entry_count == count
