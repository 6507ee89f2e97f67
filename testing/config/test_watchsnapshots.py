"""Watches that take the state of a kind from a peer."""

from itertools import pairwise

import pytest
from manualtask import ManualPool
from watchbuilders import (
    PEER,
    WAIT_S,
    AskingShare,
    FollowingShare,
    Recorder,
    advance_to_probe,
    make_event,
    make_result,
    make_snapshot,
    start_watch,
)

from bamboolever.config.storecalls import (
    HUNG_CALL_S,
)
from bamboolever.config.watch import KindWatch, WatchTiming
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.net.fetch import MIN_PROGRESS_BYTES
from bamboolever.net.messages import ResponseHead


@pytest.fixture
def sharing():
    return AskingShare()


@pytest.fixture
def follower(task, pool, sharing):
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    recorder.confirmed_at = None
    task.advance(1.0)
    return recorder


def test_watching_process_publishes_changes_in_parts(task, pool):
    sharing = FollowingShare(delay_s=0.0)
    start_watch(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    events = [make_event("x" * 1000, revision) for revision in range(2, 7)]
    pool.respond(-1, events=events, at=9)
    spans = [(each.from_revision, each.revision) for each in sharing.published]
    assert spans[0][0] == 1 and spans[-1][1] == 9
    assert all(first[1] == second[0] for first, second in pairwise(spans))
    assert [each.as_of is None for each in sharing.published[:-1]] == [True] * (
        len(spans) - 1
    )
    assert sharing.published[-1].as_of is not None
    follower = start_watch(
        ManualPool(task), "a", WAIT_S, WatchGroup(), sharing=FollowingShare(60.0)
    )
    for each in sharing.published:
        follower.watch.apply_shared(each)
    assert len(follower.changed_names) == 5


def test_change_too_large_for_a_datagram_is_had_from_the_peer(pool, follower, sharing):
    """Guards against each entry reading it over the narrow link to the store."""
    update = make_result(changes=None, source=PEER)
    follower.watch.apply_shared(update)
    follower.watch.apply_shared(update)
    assert sharing.asked == [(PEER, "a", 0, 1)]
    assert follower.confirmed_at is None
    sharing.answer(make_snapshot("x", "y"))
    assert follower.listed_names == ["x", "y"]
    assert follower.confirmed_at == 99.0
    assert follower.watch.changed_revision == 3
    assert pool.targets == ["/-/objects/a"]


def test_missed_change_is_had_from_the_peer_that_knows_of_it(pool, follower, sharing):
    follower.watch.catch_up_to(0, 3, PEER)
    sharing.answer(make_snapshot("x"))
    follower.watch.catch_up_to(0, 3, PEER)
    assert follower.listed_names == ["x"]
    assert len(sharing.asked) == 1
    assert pool.targets == ["/-/objects/a"]


@pytest.mark.parametrize(
    "snapshot",
    [None, make_snapshot(revision=2), make_snapshot(documents=None, revision=1)],
    ids=["gone", "behind", "nothing new"],
)
def test_store_is_called_if_the_peer_does_not_have_the_change(
    pool, follower, sharing, snapshot
):
    follower.watch.apply_shared(make_result(changes=None, source=PEER))
    sharing.answer(snapshot)
    revision = 2 if snapshot is not None and snapshot.documents is not None else 1
    assert pool.targets[1:] == [f"/-/objects/a?watch={revision}&waitMs=0"]


def test_entry_that_the_store_turns_away_follows_its_peers(task, pool, sharing):
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup())
    recorder.watch._sharing = sharing
    advance_to_probe(task, pool)
    recorder.watch.apply_shared(make_result(changes=None, source=PEER))
    sharing.answer(make_snapshot("x"))
    assert recorder.listed_names == ["x"]
    assert recorder.confirmed_at == 99.0


@pytest.mark.parametrize("snapshot", [None, make_snapshot("x")], ids=["gone", "newer"])
def test_stopped_watch_ignores_what_a_peer_answers(pool, follower, sharing, snapshot):
    follower.watch.catch_up_to(0, 3, PEER)
    follower.watch.stop()
    sent = len(pool.sent)
    sharing.answer(snapshot)
    assert follower.listings == 1
    assert len(pool.sent) == sent


def test_older_snapshot_changes_nothing(follower):
    follower.watch.apply_shared(make_result(as_of=None))
    follower.watch.apply_snapshot(make_snapshot("old", revision=2, as_of=98.0))
    follower.watch.apply_snapshot(make_snapshot("old", era=-1, revision=9))
    assert (follower.changed_names, follower.listings) == (["x"], 1)
    assert follower.confirmed_at == 98.0


def test_snapshot_of_a_newer_state_without_objects_confirms_nothing(follower):
    follower.watch.apply_snapshot(make_snapshot(documents=None, revision=9))
    assert follower.confirmed_at is None


def test_snapshot_of_a_restored_store_causes_a_new_listing(pool, follower):
    follower.watch.apply_snapshot(make_snapshot("x", era=1))
    assert (follower.listings, follower.restores) == (1, 1)
    assert pool.targets[1:] == ["/-/objects/a"]


def test_process_that_knows_nothing_can_begin_with_a_snapshot(task, pool):
    recorder = Recorder()
    watch = KindWatch(
        task,
        pool,
        lambda: PEER,
        "a",
        recorder,
        WatchTiming(None),
        group=WatchGroup(),
    )
    assert watch.snapshot() is None
    watch.apply_snapshot(make_snapshot("x", era=2))
    assert recorder.listed_names == ["x"]
    assert watch.era == 2
    assert pool.targets == []


def test_peer_that_is_ahead_is_asked_beside_a_call_that_is_lost(task, pool, sharing):
    """Guards against an entry whose only call was lost as the store came back.

    The calls of the outage had been answered late, so that it counted as overdue only
    seconds later; its peers had the change all the while.
    """
    sharing.delay_s = 0.0
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    assert recorder.watch.is_calling
    recorder.watch.catch_up_to(0, 3, PEER)
    task.advance(HUNG_CALL_S - 0.01)
    recorder.watch.catch_up_to(0, 3, PEER)
    assert not sharing.asked
    task.advance(0.02)
    recorder.watch.catch_up_to(0, 3, PEER)
    assert sharing.asked == [(PEER, "a", 0, 1)]
    sharing.answer(make_snapshot("x"))
    assert recorder.listed_names == ["x"]


def test_peer_that_is_ahead_is_not_asked_while_the_own_response_arrives(
    task, pool, sharing
):
    sharing.delay_s = 0.0
    recorder = start_watch(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    handler = pool.sent[-1][1]
    handler.on_head(ResponseHead(200, ()))
    for _ in range(10):
        handler.on_data(b" " * MIN_PROGRESS_BYTES)
        recorder.watch.catch_up_to(0, 3, PEER)
        task.advance(0.1)
    assert not sharing.asked
