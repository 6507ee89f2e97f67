"""A watch of the store, driven by hand: no socket, no clock."""

import pytest
from manualtask import ManualPool, ManualTask

from bamboolever.config.watch import (
    ANSWER_SLACK_S,
    HANGING_S,
    MAX_PROBE_TIMEOUT_S,
    MAX_RETRY_S,
    MIN_PROBE_TIMEOUT_S,
    KindObserver,
    KindWatch,
    StoreContact,
    WatchTiming,
)
from bamboolever.net.addresses import Address

WAIT_S = 2.0


class Recorder(KindObserver):
    def __init__(self):
        self.contacts = []
        self.confirmed_at = None

    def on_listing(self, documents):
        pass

    def on_changes(self, documents):
        pass

    def on_confirmed(self, as_of):
        self.confirmed_at = as_of

    def on_contact(self, is_reached, reason):
        self.contacts.append(is_reached)


@pytest.fixture
def task():
    return ManualTask()


@pytest.fixture
def pool(task):
    return ManualPool(task)


def _start(pool, kind, wait_s, contact):
    recorder = Recorder()
    watch = KindWatch(
        pool.task,
        pool,
        lambda: Address("127.0.0.1", 7000),
        kind,
        recorder,
        WatchTiming(wait_s),
        contact=contact,
    )
    watch.start()
    pool.respond(-1, items=[])
    return recorder


def _advance_to_probe(task, pool):
    task.advance(WAIT_S + ANSWER_SLACK_S)
    while not pool.targets[-1].endswith("a?watch=1&waitMs=0"):
        task.advance(0.01)


def test_watch_waits_at_the_store(task, pool):
    _start(pool, "a", WAIT_S, StoreContact())
    assert pool.targets == ["/-/objects/a", "/-/objects/a?watch=1&waitMs=2000"]


def test_watch_that_lost_the_store_asks_without_waiting(task, pool):
    """Keys were refused for four seconds after the store was back."""
    recorder = _start(pool, "a", WAIT_S, StoreContact())
    task.advance(WAIT_S + ANSWER_SLACK_S)
    task.advance(MAX_RETRY_S)
    assert recorder.contacts == [True, False]
    assert pool.targets[2:] == ["/-/objects/a?watch=1&waitMs=0"]
    pool.respond(2, events=[])
    assert recorder.contacts == [True, False, True]
    assert pool.targets[3] == "/-/objects/a?watch=1&waitMs=2000"


def test_calls_to_a_silent_store_are_short_and_grow_to_a_limit(task, pool):
    _start(pool, "a", WAIT_S, StoreContact())
    task.advance(WAIT_S + ANSWER_SLACK_S)
    before = len(pool.sent)
    task.advance(20.0)
    made = len(pool.sent) - before
    longest_s = MAX_PROBE_TIMEOUT_S + MAX_RETRY_S
    shortest_s = MIN_PROBE_TIMEOUT_S
    assert 20.0 / longest_s - 1 <= made <= 20.0 / shortest_s


def test_answer_to_one_watch_sends_those_that_hang_again(task, pool):
    contact = StoreContact()
    first = _start(pool, "a", WAIT_S, contact)
    _start(pool, "b", 20.0, contact)
    answered = pool.targets.index("/-/objects/b?watch=1&waitMs=20000")
    _advance_to_probe(task, pool)
    assert first.contacts == [True, False]
    task.advance(HANGING_S)
    hanging = len(pool.sent)
    pool.respond(answered, events=[])
    assert "/-/objects/a?watch=1&waitMs=0" in pool.targets[hanging:]


def test_call_that_was_just_sent_is_not_given_up(task, pool):
    """A store that is slow would never answer a call that is sent anew each time."""
    contact = StoreContact()
    _start(pool, "a", WAIT_S, contact)
    _start(pool, "b", 20.0, contact)
    answered = pool.targets.index("/-/objects/b?watch=1&waitMs=20000")
    _advance_to_probe(task, pool)
    hanging = len(pool.sent)
    pool.respond(answered, events=[])
    assert not any("/a?" in target for target in pool.targets[hanging:])
