"""Watches that the store cuts off while they wait."""

import pytest
from watchbuilders import WAIT_S, make_event, start_watch

from bamboolever.config.watch import MAX_RETRY_DELAY_S
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.net.exchange import ExchangeFailure, FailureKind
from bamboolever.net.messages import ResponseHead

ASKED = "/-/objects/a?watch=1&waitMs=0"
WAITING = "/-/objects/a?watch=1&waitMs=2000"
# A store may cut off each watch soon after it has begun to wait.
CUT_AFTER_S = 1.0


def _fail(pool, kind, index=-1):
    handler = pool.sent[index][1]
    handler.on_failure(ExchangeFailure(kind, is_request_sent=True, detail=""))


@pytest.fixture
def recorder(pool):
    return start_watch(pool, "a", WAIT_S, WatchGroup())


@pytest.mark.parametrize("kind", [FailureKind.CLOSED, FailureKind.RESET])
def test_watch_that_is_cut_off_is_no_outage(task, pool, recorder, kind):
    """Guards against upstreams that are gone and stay in use.

    Their removal was put off as after an outage, anew with each watch that was cut off.
    """
    for _ in range(3):
        task.advance(CUT_AFTER_S)
        assert pool.targets[-1] == WAITING
        _fail(pool, kind)
        assert pool.targets[-1] == ASKED
        pool.respond(-1, events=[])
    assert recorder.reachability == [True]


def test_change_beside_a_cut_is_read_at_once(task, pool, recorder):
    task.advance(CUT_AFTER_S)
    _fail(pool, FailureKind.CLOSED)
    pool.respond(-1, events=[make_event("x", 2)], at=2)
    assert recorder.changed_names == ["x"]


def test_store_that_closes_the_next_call_too_is_lost(task, pool, recorder):
    task.advance(CUT_AFTER_S)
    _fail(pool, FailureKind.CLOSED)
    _fail(pool, FailureKind.CLOSED)
    assert recorder.reachability == [True, False]
    task.advance(MAX_RETRY_DELAY_S)
    pool.respond(-1, events=[])
    assert recorder.reachability == [True, False, True]


@pytest.mark.parametrize("kind", [FailureKind.CONNECT, FailureKind.SILENT])
def test_store_that_cannot_be_reached_is_lost(task, pool, recorder, kind):
    task.advance(CUT_AFTER_S)
    _fail(pool, kind)
    assert recorder.reachability == [True, False]


def test_response_that_breaks_off_is_no_cut(task, pool, recorder):
    """The store had begun to answer: it did not end a wait."""
    handler = pool.sent[-1][1]
    handler.on_head(ResponseHead(200, ((b"content-length", b"9"),)))
    handler.on_data(b"{")
    _fail(pool, FailureKind.CLOSED)
    assert recorder.reachability == [True, False]


def test_cut_during_an_outage_does_not_end_the_pause_before_the_next_call(
    task, pool, recorder
):
    waiting = len(pool.sent) - 1
    while recorder.reachability[-1]:
        task.advance(0.1)
    sent = len(pool.sent)
    _fail(pool, FailureKind.CLOSED, waiting)
    assert len(pool.sent) == sent
