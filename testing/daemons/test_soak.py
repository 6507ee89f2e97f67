"""Entries as processes under a seeded series of signals, restarts and changes."""

import dataclasses
import random
import threading

import pytest
from sitebuilders import wait_for
from soak import MIN_BEGUN_S, Soak, find_dropped, find_lost, find_mixed
from soakcallers import PromptCaller, SlowCaller

STEPS = 14
OVERLONG_BYTES = 2**30


class OverlongCaller(SlowCaller):
    """States a body over the limit, which is refused by its head."""

    def _send(self, path, headers):
        headers = {**headers, "Content-Length": str(OVERLONG_BYTES)}
        self._connection.request("POST", path, self._body(), headers)


def pytest_generate_tests(metafunc):
    if "seed" in metafunc.fixturenames:
        metafunc.parametrize("seed", range(metafunc.config.getoption("soak_seeds")))


@pytest.fixture
def start_soak(site, tmp_path):
    started = []

    def start(seed):
        for number in (1, 2, 3):
            site.add_plain_upstream(f"plain-{number}")
            site.add_engine(f"engine-{number}", f"127.0.0.{number + 1}")
        started.append(Soak(site, tmp_path, seed))
        return started[-1]

    yield start
    for soak in started:
        soak.close()


def _list_executed(site):
    return [
        attempt.decode()
        for upstream in site.upstreams.values()
        for attempt in upstream.list_executed_attempts()
    ]


def _start_first(soak):
    entry = soak.entries[0]
    entry.start()
    wait_for(entry.is_ready)
    return entry


def test_no_request_is_lost_or_answered_twice(site, start_soak, seed):
    soak = start_soak(seed)
    outcomes = soak.run(STEPS)
    executed = _list_executed(site)
    assert sum(each.status == 200 for each in outcomes) > 0
    assert find_lost(outcomes, soak, set(executed)) == [], soak.notes
    assert find_dropped(outcomes, soak) == [], soak.notes
    assert find_mixed(outcomes) == []
    orders = {each.attempt for each in outcomes if each.path.startswith("/orders/")}
    assert [each for each in orders if executed.count(each) > 1] == []


def test_request_on_a_connection_of_a_killed_entry_is_not_dropped(start_soak):
    soak = start_soak(0)
    entry = _start_first(soak)
    caller = PromptCaller(entry, random.Random(0), threading.Event())
    assert caller.call("/lookup/1").status == 200
    soak.kill(entry)
    outcome = caller.call("/lookup/1")
    assert outcome.begun_at > entry.spans[-1].until
    # A caller that is slow to notice the end of its connection.
    late = dataclasses.replace(outcome, ended_at=outcome.begun_at + 2 * MIN_BEGUN_S)
    assert find_dropped([late], soak) == []
    on_next_process = dataclasses.replace(late, connected_at=late.begun_at)
    assert find_dropped([on_next_process], soak) == [on_next_process]


def test_slow_caller_reads_a_response_to_a_part_of_its_request(start_soak):
    soak = start_soak(0)
    entry = _start_first(soak)
    caller = OverlongCaller(entry, random.Random(0), threading.Event())
    outcome = caller.call("/lookup/1")
    assert (outcome.status, outcome.is_complete) == (413, True)
    assert find_dropped([outcome], soak) == []
