"""A watch of the store, driven by hand: no socket, no clock."""

import heapq
import itertools
import json

import pytest

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
from bamboolever.net.messages import ResponseHead

WAIT_S = 2.0


class ManualTimer:
    def __init__(self):
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


class ManualTask:
    def __init__(self):
        self._now = 100.0
        self._order = itertools.count()
        self._due = []

    def now(self):
        return self._now

    def call_later(self, delay_s, action):
        timer = ManualTimer()
        entry = (self._now + delay_s, next(self._order), timer, action)
        heapq.heappush(self._due, entry)
        return timer

    def advance(self, seconds):
        end = self._now + seconds
        while self._due and self._due[0][0] <= end:
            self._now, _, timer, action = heapq.heappop(self._due)
            if not timer.is_cancelled:
                action()
        self._now = end


class ManualPool:
    def __init__(self, task):
        self.task = task
        self.sent = []

    def send(self, address, request, handler):
        self.sent.append((request.target.decode(), handler))
        return ManualConnection()

    def answer(self, index, **content):
        body = json.dumps({"at": 1, **content}).encode()
        handler = self.sent[index][1]
        handler.on_head(ResponseHead(200, ()))
        handler.on_data(body)
        handler.on_end()

    @property
    def targets(self):
        return [target for target, _ in self.sent]


class ManualConnection:
    def cancel(self):
        pass


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
    pool.answer(-1, items=[])
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
    pool.answer(2, events=[])
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
    pool.answer(answered, events=[])
    assert "/-/objects/a?watch=1&waitMs=0" in pool.targets[hanging:]


def test_call_that_was_just_sent_is_not_given_up(task, pool):
    """A store that is slow would never answer a call that is sent anew each time."""
    contact = StoreContact()
    _start(pool, "a", WAIT_S, contact)
    _start(pool, "b", 20.0, contact)
    answered = pool.targets.index("/-/objects/b?watch=1&waitMs=20000")
    _advance_to_probe(task, pool)
    hanging = len(pool.sent)
    pool.answer(answered, events=[])
    assert not any("/a?" in target for target in pool.targets[hanging:])
