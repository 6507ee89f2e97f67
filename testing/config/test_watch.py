"""Watches of the store, with a manual clock and without sockets."""

import json

import pytest
from manualtask import SlowStore
from watchbuilders import (
    WAIT_S,
    advance_to_probe,
    make_event,
    make_item,
    start_watch,
    start_watch_at,
)

from bamboolever.config.storecalls import (
    HUNG_CALL_S,
    MAX_PROBE_OVERDUE_S,
    MIN_PROBE_OVERDUE_S,
    RESPONSE_MARGIN_S,
)
from bamboolever.config.watch import MAX_RETRY_DELAY_S
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.net.fetch import MIN_PROGRESS_BYTES
from bamboolever.net.messages import ResponseHead

LONG_WAIT_S = 20.0
# A store counts as stable so long after an outage; changes are due this much later.
STABLE_S = 3.0
CHANGE_BOUND_S = 2.0
# A configuration of 1,600 routes, and a link between regions that others use too.
LARGE_BYTES = 310_000
LINK_BYTES_PER_S = 800_000


def test_watch_waits_at_the_store(task, pool):
    start_watch(pool, "a", WAIT_S, WatchGroup())
    assert pool.targets == ["/-/objects/a", "/-/objects/a?watch=1&waitMs=2000"]


def test_watch_probes_an_unreachable_store_without_a_wait(task, pool):
    """Guards against late recovery after an outage of the store.

    With a wait in the first call, requests with a key were still refused for four
    seconds after the store responded again.
    """
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    task.advance(WAIT_S + RESPONSE_MARGIN_S)
    task.advance(MAX_RETRY_DELAY_S)
    assert recorder.reachability == [True, False]
    assert pool.targets[2:] == ["/-/objects/a?watch=1&waitMs=0"]
    pool.respond(2, events=[])
    assert recorder.reachability == [True, False, True]
    assert pool.targets[3] == "/-/objects/a?watch=1&waitMs=2000"


@pytest.mark.parametrize("is_watched", [False, True])
def test_watch_goes_on_after_objects_that_its_observer_cannot_apply(
    task, pool, is_watched
):
    """Guards against a process that keeps its old objects for good."""
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    take = recorder.on_changes

    def fail_once(documents):
        recorder.on_changes = recorder.on_listing = take
        raise RuntimeError("not applicable")

    recorder.on_changes = recorder.on_listing = fail_once
    if is_watched:
        pool.respond(-1, events=[make_event("x", 2)], at=2)
    else:
        pool.respond(-1, status=410)
        pool.respond(-1, items=[make_event("x", 2)["object"]], at=2)
    task.advance(MAX_RETRY_DELAY_S)
    assert pool.targets[-1] == "/-/objects/a"
    pool.respond(-1, items=[make_event("y", 3)["object"]], at=3)
    assert recorder.changed_names == ["y"]
    assert recorder.reachability == [True]


def test_timeouts_of_probes_are_short_and_grow_to_a_limit(task, pool):
    start_watch(pool, "a", WAIT_S, WatchGroup())
    task.advance(WAIT_S + RESPONSE_MARGIN_S)
    sent_before = len(pool.sent)
    task.advance(20.0)
    probes = len(pool.sent) - sent_before
    longest_s = MAX_PROBE_OVERDUE_S + MAX_RETRY_DELAY_S
    shortest_s = MIN_PROBE_OVERDUE_S
    assert 20.0 / longest_s - 1 <= probes <= 20.0 / shortest_s


def test_response_to_one_watch_retries_the_hung_calls_of_others(task, pool):
    group = WatchGroup()
    first = start_watch(pool, "a", WAIT_S, group)
    start_watch(pool, "b", 20.0, group)
    long_poll = pool.targets.index("/-/objects/b?watch=1&waitMs=20000")
    advance_to_probe(task, pool)
    assert first.reachability == [True, False]
    task.advance(HUNG_CALL_S)
    sent_before = len(pool.sent)
    pool.respond(long_poll, events=[])
    assert "/-/objects/a?watch=1&waitMs=0" in pool.targets[sent_before:]


def test_call_that_the_store_held_during_an_outage_is_sent_again_after_it(task, pool):
    """Guards against an upstream that leaves unseen for the rest of a long poll.

    The store held the call when it fell silent, and never responded to it.
    """
    group = WatchGroup()
    first = start_watch(pool, "a", WAIT_S, group)
    second = start_watch(pool, "b", 20.0, group)
    advance_to_probe(task, pool)
    probe = len(pool.sent) - 1
    assert pool.targets.count("/-/objects/b?watch=1&waitMs=20000") == 1
    pool.respond(probe, events=[])
    assert first.reachability == [True, False, True]
    assert pool.targets.count("/-/objects/b?watch=1&waitMs=20000") == 2
    newest = (
        len(pool.sent)
        - 1
        - pool.targets[::-1].index("/-/objects/b?watch=1&waitMs=20000")
    )
    pool.respond(newest, events=[make_event("x", 2)], at=2)
    assert second.changed_names == ["x"]
    assert second.reachability == [True]


def test_held_call_is_sent_again_once_for_each_outage(task, pool):
    group = WatchGroup()
    start_watch(pool, "a", WAIT_S, group)
    start_watch(pool, "b", 20.0, group)
    advance_to_probe(task, pool)
    pool.respond(len(pool.sent) - 1, events=[])
    for _ in range(3):
        task.advance(1.0)
        waiting = [n for n, each in enumerate(pool.targets) if "a?watch" in each][-1]
        pool.respond(waiting, events=[])
    assert pool.targets.count("/-/objects/b?watch=1&waitMs=20000") == 2


def test_call_that_was_just_sent_is_not_cancelled(task, pool):
    """Guards against repeated cancellation at a slow store.

    Each response to another watch would cancel the call and send it again, so that it
    would never get a response.
    """
    group = WatchGroup()
    start_watch(pool, "a", WAIT_S, group)
    start_watch(pool, "b", 20.0, group)
    long_poll = pool.targets.index("/-/objects/b?watch=1&waitMs=20000")
    advance_to_probe(task, pool)
    sent_before = len(pool.sent)
    pool.respond(long_poll, events=[])
    assert not any("/a?" in target for target in pool.targets[sent_before:])


def test_store_restored_from_a_copy_is_listed_again_by_all_watches(task, pool):
    """A watch that went on from a revision of the former era would miss changes."""
    group = WatchGroup()
    first = start_watch(pool, "a", WAIT_S, group)
    second = start_watch(pool, "b", 20.0, group)
    watch = pool.targets.index("/-/objects/a?watch=1&waitMs=2000")
    pool.respond(watch, era=2, events=[make_event("old", 2)])
    assert first.changed_names == []
    assert (first.restores, second.restores) == (1, 1)
    assert pool.targets[-2:] == ["/-/objects/a", "/-/objects/b"]
    pool.respond(-2, era=2, items=[])
    assert first.listings == 2


@pytest.mark.parametrize("era", [None, 0, 1, 7])
def test_store_that_was_restored_before_the_start_may_lack_changes_yet(task, pool, era):
    """Guards against trust in a copy that a process reads as it starts."""
    recorder = start_watch_at(pool, wait_s=WAIT_S)
    pool.respond(-1, era=era, items=[])
    pool.respond(-1, era=era, events=[])
    assert recorder.restores == (1 if era else 0)
    assert recorder.listings == 1


def test_late_response_of_an_older_era_changes_nothing(task, pool):
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    pool.respond(-1, era=2, events=[])
    pool.respond(-1, era=2, items=[])
    sent_before = len(pool.sent)
    pool.respond(-1, era=1, events=[make_event("old", 7)])
    assert recorder.changed_names == []
    assert recorder.restores == 1
    task.advance(MAX_RETRY_DELAY_S)
    assert len(pool.sent) == sent_before + 1


def test_watch_that_fell_behind_catches_up_while_the_history_grows(task):
    """Guards against an entry that stayed on an old configuration for 18 seconds.

    The response to its watch held each version since, and with each one took longer
    than the timeout, after which it began anew.
    """
    store = SlowStore(task, response_s=0.02, bytes_per_s=LINK_BYTES_PER_S)
    recorder = start_watch_at(store)
    store.put("main", LARGE_BYTES)
    task.advance(5.0)
    store.is_cut = True
    for _ in range(7):
        store.put("main", LARGE_BYTES)
        task.advance(1.3)
    store.is_cut = False
    for _ in range(5):
        task.advance(1.3)
        store.put("main", LARGE_BYTES)
    task.advance(3.0)
    assert recorder.watch.changed_revision == store.revision


def test_large_response_that_keeps_arriving_is_not_given_up(task):
    """Guards against a listing that no entry ever got whole over a narrow link."""
    store = SlowStore(task, response_s=0.02, bytes_per_s=LARGE_BYTES / 4)
    store.put("main", LARGE_BYTES)
    recorder = start_watch_at(store)
    task.advance(5.0)
    assert recorder.listings == 1
    assert not store.cancelled


@pytest.mark.parametrize("response_s", [1.34, 3.0])
def test_slow_store_is_followed(task, response_s):
    """Guards against calls that were cancelled although they would be answered."""
    store = SlowStore(task, response_s=0.02)
    group = WatchGroup()
    recorder, *_ = [start_watch_at(store, kind, group) for kind in ("a", "b", "c")]
    task.advance(5.0)
    store.response_s = response_s
    task.advance(3 * response_s)
    store.put("x")
    task.advance(4 * response_s)
    assert "x" in recorder.changed_names


def test_silent_store_is_used_again_soon_after_it_is_back(task):
    """Calls that were sent while it was silent never get a response."""
    store = SlowStore(task, response_s=0.02)
    recorder = start_watch_at(store)
    task.advance(5.0)
    store.is_cut = True
    task.advance(30.0)
    assert recorder.reachability == [True, False]
    assert len(store.in_flight) <= 3
    store.is_cut = False
    store.put("x")
    task.advance(MAX_PROBE_OVERDUE_S + MAX_RETRY_DELAY_S)
    assert recorder.changed_names == ["x"]
    assert recorder.reachability == [True, False, True]
    assert len(store.in_flight) == 1


@pytest.mark.parametrize("lost_s", [0.0, 0.3, 1.0])
@pytest.mark.parametrize("silent_s", [1.0, 2.1, 3.3, 4.4, 6.0, 9.0])
def test_changes_after_a_silent_outage_are_seen_whichever_calls_it_lost(
    task, silent_s, lost_s
):
    """Guards against waiting for a call that was sent as an outage began or ended."""
    store = SlowStore(task, response_s=0.02)
    group = WatchGroup()
    watches = [
        start_watch_at(store, kind, group, wait_s)
        for kind, wait_s in (("a", WAIT_S), ("b", LONG_WAIT_S))
    ]
    task.advance(5.4)
    store.fall_silent()
    task.advance(silent_s)
    store.come_back(lost_s)
    task.advance(STABLE_S)
    store.put("x")
    task.advance(CHANGE_BOUND_S)
    assert [each.changed_names for each in watches] == [["x"], ["x"]]


def test_store_that_is_slow_as_a_rule_is_not_called_more_often(task):
    store = SlowStore(task, response_s=3.0)
    recorder = start_watch_at(store)
    task.advance(20.0)
    changes, calls = len(recorder.reachability), len(store.calls)
    task.advance(20.0)
    assert len(recorder.reachability) == changes
    assert len(store.calls) - calls <= 20.0 / (WAIT_S + 3.0) + 1
    assert recorder.confirmed_at >= task.now() - WAIT_S - 2 * 3.0


def test_lost_response_is_asked_for_again_beside_the_call(task):
    store = SlowStore(task, response_s=0.02)
    recorder = start_watch_at(store)
    task.advance(0.5)
    store.is_cut = True
    task.advance(WAIT_S)
    store.is_cut = False
    store.put("x")
    task.advance(RESPONSE_MARGIN_S + MAX_RETRY_DELAY_S)
    assert recorder.changed_names == ["x"]


def test_response_that_brings_a_byte_now_and_then_holds_nothing_up(task, pool):
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    handler = pool.sent[-1][1]
    handler.on_head(ResponseHead(200, ()))
    for _ in range(100):
        handler.on_data(b" ")
        task.advance(0.1)
    assert recorder.reachability == [True, False]
    pool.respond(-1, events=[make_event("x", 3)], at=3)
    assert recorder.changed_names == ["x"]


def test_page_that_arrives_twice_is_listed_once(task, pool):
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    pool.respond(-1, status=410)
    late = pool.sent[-1][1]
    task.advance(MIN_PROBE_OVERDUE_S + MAX_RETRY_DELAY_S)
    late.on_head(ResponseHead(200, ()))
    late.on_data(b" " * MIN_PROGRESS_BYTES)
    page = {"items": [make_item("m", 2)], "hasMore": True, "at": 4}
    pool.respond(-1, **page)
    late.on_data(json.dumps(page).encode())
    late.on_end()
    pool.respond(-1, items=[make_item("n", 3)], at=4)
    assert recorder.listed_names == ["m", "n"]


def test_long_history_is_listed_in_its_place(task):
    """The work to catch up must not grow with the versions that were missed."""
    store = SlowStore(task, response_s=0.02, bytes_per_s=LARGE_BYTES)
    store.put("main", LARGE_BYTES)
    recorder = start_watch_at(store)
    task.advance(5.0)
    store.is_cut = True
    for _ in range(20):
        store.put("main", LARGE_BYTES)
        task.advance(1.0)
    store.is_cut = False
    task.advance(MAX_PROBE_OVERDUE_S + MAX_RETRY_DELAY_S + 1.5)
    assert recorder.listings == 2
    assert recorder.watch.is_reachable


def test_change_between_two_pages_of_a_listing_is_not_missed(task, pool):
    """The watch went on from the revision of the last page."""
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    pool.respond(-1, status=410)
    pool.respond(-1, items=[make_item("m", 2)], hasMore=True, at=10)
    pool.respond(-1, items=[], at=12)
    assert recorder.listings == 2
    assert pool.targets[-1] == "/-/objects/a?watch=10&waitMs=2000"


def test_watch_passes_on_what_it_knows(task, pool):
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    count = recorder.watch.change_count
    pool.respond(-1, events=[make_event("x", 3), make_event("y", 4)], at=4)
    deleted = {**make_event("x", 5), "deleted": True}
    pool.respond(-1, events=[deleted], at=6)
    snapshot = recorder.watch.snapshot()
    assert [document.name for document in snapshot.documents] == ["y"]
    assert (snapshot.revision, snapshot.changed_revision) == (6, 6)
    assert snapshot.as_of == recorder.confirmed_at
    assert recorder.watch.change_count > count


def test_slow_listing_is_kept_however_often_other_watches_are_answered(task):
    """Each look at the progress of a call must not count as progress."""
    store = SlowStore(task, response_s=0.02, bytes_per_s=80_000)
    store.put("main", LARGE_BYTES)
    recorder = start_watch_at(store)
    for _ in range(60):
        task.advance(0.1)
        recorder.watch.retry_if_hung()
    assert recorder.listings == 1
    assert not store.cancelled


def test_listing_in_place_of_a_history_is_not_begun_twice(task, pool):
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    first = pool.sent[-1][1]
    advance_to_probe(task, pool)
    second = pool.sent[-1][1]
    too_large = ResponseHead(200, ((b"content-length", b"99999999"),))
    second.on_head(too_large)
    assert pool.targets[-1] == "/-/objects/a"
    first.on_head(too_large)
    pool.respond(-1, items=[make_item("m", 9)], at=9)
    assert recorder.listings == 2
    assert pool.targets[-1] == "/-/objects/a?watch=9&waitMs=2000"
