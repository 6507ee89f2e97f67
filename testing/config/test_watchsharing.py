"""Watches that follow what other processes hear from the store."""

import json

import pytest
from watchbuilders import (
    WAIT_S,
    FollowingShare,
    advance_to_probe,
    make_event,
    make_item,
    make_result,
    start_watch,
)

from bamboolever.config.watchgroup import WatchGroup
from bamboolever.net.fetch import MIN_PROGRESS_BYTES
from bamboolever.net.messages import ResponseHead


def test_following_watch_calls_the_store_only_when_nothing_is_heard(task, pool):
    sharing = FollowingShare(delay_s=5.0)
    start_watch(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    task.advance(4.9)
    assert pool.targets == ["/-/objects/a"]
    sharing.delay_s = 0.0
    task.advance(0.2)
    assert pool.targets[1:] == ["/-/objects/a?watch=1&waitMs=2000"]


def test_shared_changes_are_applied_without_a_call(task, pool):
    recorder = start_watch(
        pool, "a", WAIT_S, WatchGroup(), sharing=FollowingShare(delay_s=60.0)
    )
    recorder.watch.apply_shared(make_result())
    assert recorder.changed_names == ["x"]
    assert recorder.confirmed_at == 99.0
    assert pool.targets == ["/-/objects/a"]
    recorder.watch.apply_shared(make_result())
    assert recorder.changed_names == ["x"]


@pytest.mark.parametrize(
    "result", [{"changes": None}, {"from_revision": 2}, {"changes": b"no JSON"}]
)
def test_changes_that_cannot_be_applied_are_read_from_the_store(task, pool, result):
    recorder = start_watch(
        pool, "a", WAIT_S, WatchGroup(), sharing=FollowingShare(delay_s=60.0)
    )
    recorder.confirmed_at = None
    task.advance(1.0)
    recorder.watch.apply_shared(make_result(**result))
    assert recorder.changed_names == []
    assert recorder.confirmed_at is None
    assert pool.targets[1:] == ["/-/objects/a?watch=1&waitMs=0"]
    pool.respond(-1, events=[make_event("x", 3)])
    assert recorder.changed_names == ["x"]


def test_change_is_published_before_it_is_applied(task, pool):
    """Guards against peers that missed a change which moved the watcher's cell.

    The watcher had dropped them as peers when it came to publish the change.
    """
    sharing = FollowingShare(delay_s=0.0)
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    published_first = []
    recorder.on_changes = lambda _documents: published_first.append(
        len(sharing.published)
    )
    pool.respond(-1, events=[make_event("x", 3)])
    assert published_first == [1]


def test_peer_that_saw_the_restored_store_causes_a_new_listing(task, pool):
    recorder = start_watch(
        pool, "a", WAIT_S, WatchGroup(), sharing=FollowingShare(delay_s=60.0)
    )
    recorder.watch.apply_shared(make_result(era=1))
    assert recorder.changed_names == []
    assert recorder.restores == 1
    assert pool.targets[1:] == ["/-/objects/a"]


def test_change_whose_update_was_lost_is_read_from_the_store(task, pool):
    recorder = start_watch(
        pool, "a", WAIT_S, WatchGroup(), sharing=FollowingShare(delay_s=60.0)
    )
    task.advance(1.0)
    recorder.watch.catch_up_to(1, 5)
    recorder.watch.catch_up_to(0, 1)
    assert len(pool.sent) == 1
    recorder.watch.catch_up_to(0, 5)
    recorder.watch.catch_up_to(0, 5)
    assert pool.targets[1:] == ["/-/objects/a?watch=1&waitMs=0"]
    pool.respond(-1, events=[make_event("x", 5)], at=5)
    recorder.watch.catch_up_to(0, 5)
    assert recorder.changed_names == ["x"]
    assert recorder.watch.changed_revision == 5
    assert len(pool.sent) == 2


@pytest.mark.parametrize("is_first", [True, False])
def test_listing_counts_as_a_change_that_peers_may_lack(task, pool, is_first):
    """Guards against peers that wait for an update on what a listing had brought."""
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    if not is_first:
        pool.respond(-1, status=410)
        pool.respond(-1, items=[make_item("x", 4)], at=5)
    assert recorder.watch.changed_revision == recorder.watch.revision


def test_older_response_after_a_newer_one_changes_nothing(task, pool):
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    late = pool.sent[-1][1]
    advance_to_probe(task, pool)
    late.on_head(ResponseHead(200, ()))
    late.on_data(b" " * MIN_PROGRESS_BYTES)
    pool.respond(-1, events=[make_event("x", 3), make_event("y", 5)], at=5)
    confirmed_at = recorder.confirmed_at
    assert confirmed_at > task.now() - 0.1
    late.on_data(json.dumps({"events": [make_event("x", 3)], "at": 3}).encode())
    late.on_end()
    assert recorder.changed_names == ["x", "y"]
    changes = json.dumps({"events": [make_event("z", 6)], "at": 6}).encode()
    recorder.watch.apply_shared(
        make_result(from_revision=5, revision=6, changes=changes)
    )
    assert recorder.changed_names == ["x", "y", "z"]


def test_changes_that_are_known_already_are_not_applied_again(task, pool):
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    recorder.watch.apply_shared(make_result())
    pool.respond(-1, events=[make_event("x", 3), make_event("y", 4)], at=4)
    assert recorder.changed_names == ["x", "y"]


def test_listing_that_is_older_than_a_peers_update_changes_nothing(task, pool):
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    pool.respond(-1, status=410)
    recorder.watch.apply_shared(make_result())
    pool.respond(-1, items=[], at=2)
    assert recorder.changed_names == ["x"]
    assert recorder.listings == 1
    assert pool.targets[-1] == "/-/objects/a?watch=3&waitMs=2000"


@pytest.mark.parametrize("is_shared", [True, False])
def test_only_a_response_for_others_counts_as_arriving_for_them(task, pool, is_shared):
    sharing = FollowingShare(0.0 if is_shared else 60.0)
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    task.advance(1.0)
    recorder.watch.catch_up_to(0, 5)
    assert not recorder.watch.is_receiving
    handler = pool.sent[-1][1]
    handler.on_head(ResponseHead(200, ()))
    handler.on_data(b" ")
    assert recorder.watch.is_receiving == is_shared
