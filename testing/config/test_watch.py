"""Watches of the store, with a manual clock and without sockets."""

import pytest
from manualtask import ManualPool, ManualTask

from bamboolever.config.watch import (
    HUNG_CALL_S,
    MAX_PROBE_TIMEOUT_S,
    MAX_RETRY_DELAY_S,
    MIN_PROBE_TIMEOUT_S,
    RESPONSE_MARGIN_S,
    KindObserver,
    KindWatch,
    WatchGroup,
    WatchTiming,
)
from bamboolever.net.addresses import Address

WAIT_S = 2.0


class Recorder(KindObserver):
    def __init__(self):
        self.reachability = []
        self.confirmed_at = None

    def on_listing(self, documents):
        pass

    def on_changes(self, documents):
        pass

    def on_confirmed(self, as_of):
        self.confirmed_at = as_of

    def on_reachability_changed(self, is_reachable, reason):
        self.reachability.append(is_reachable)


@pytest.fixture
def task():
    return ManualTask()


@pytest.fixture
def pool(task):
    return ManualPool(task)


def _start(pool, kind, wait_s, group):
    recorder = Recorder()
    watch = KindWatch(
        pool.task,
        pool,
        lambda: Address("127.0.0.1", 7000),
        kind,
        recorder,
        WatchTiming(wait_s),
        group=group,
    )
    watch.start()
    pool.respond(-1, items=[])
    return recorder


def _advance_to_probe(task, pool):
    task.advance(WAIT_S + RESPONSE_MARGIN_S)
    while not pool.targets[-1].endswith("a?watch=1&waitMs=0"):
        task.advance(0.01)


def test_watch_waits_at_the_store(task, pool):
    _start(pool, "a", WAIT_S, WatchGroup())
    assert pool.targets == ["/-/objects/a", "/-/objects/a?watch=1&waitMs=2000"]


def test_watch_probes_an_unreachable_store_without_a_wait(task, pool):
    """Guards against late recovery after an outage of the store.

    With a wait in the first call, requests with a key were still refused for four
    seconds after the store responded again.
    """
    recorder = _start(pool, "a", WAIT_S, WatchGroup())
    task.advance(WAIT_S + RESPONSE_MARGIN_S)
    task.advance(MAX_RETRY_DELAY_S)
    assert recorder.reachability == [True, False]
    assert pool.targets[2:] == ["/-/objects/a?watch=1&waitMs=0"]
    pool.respond(2, events=[])
    assert recorder.reachability == [True, False, True]
    assert pool.targets[3] == "/-/objects/a?watch=1&waitMs=2000"


def test_timeouts_of_probes_are_short_and_grow_to_a_limit(task, pool):
    _start(pool, "a", WAIT_S, WatchGroup())
    task.advance(WAIT_S + RESPONSE_MARGIN_S)
    sent_before = len(pool.sent)
    task.advance(20.0)
    probes = len(pool.sent) - sent_before
    longest_s = MAX_PROBE_TIMEOUT_S + MAX_RETRY_DELAY_S
    shortest_s = MIN_PROBE_TIMEOUT_S
    assert 20.0 / longest_s - 1 <= probes <= 20.0 / shortest_s


def test_response_to_one_watch_retries_the_hung_calls_of_others(task, pool):
    group = WatchGroup()
    first = _start(pool, "a", WAIT_S, group)
    _start(pool, "b", 20.0, group)
    long_poll = pool.targets.index("/-/objects/b?watch=1&waitMs=20000")
    _advance_to_probe(task, pool)
    assert first.reachability == [True, False]
    task.advance(HUNG_CALL_S)
    sent_before = len(pool.sent)
    pool.respond(long_poll, events=[])
    assert "/-/objects/a?watch=1&waitMs=0" in pool.targets[sent_before:]


def test_call_that_was_just_sent_is_not_cancelled(task, pool):
    """Guards against repeated cancellation at a slow store.

    Each response to another watch would cancel the call and send it again, so that it
    would never get a response.
    """
    group = WatchGroup()
    _start(pool, "a", WAIT_S, group)
    _start(pool, "b", 20.0, group)
    long_poll = pool.targets.index("/-/objects/b?watch=1&waitMs=20000")
    _advance_to_probe(task, pool)
    sent_before = len(pool.sent)
    pool.respond(long_poll, events=[])
    assert not any("/a?" in target for target in pool.targets[sent_before:])
