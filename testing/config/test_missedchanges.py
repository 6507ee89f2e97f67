"""Watches that notice that the store's response to a waiting call was lost."""

import json

import pytest
from watchbuilders import WAIT_S, FollowingShare, make_event, start_watch

from bamboolever.config.missedchanges import MAX_REVISIONS, SeenChanges
from bamboolever.config.storecalls import HUNG_CALL_S
from bamboolever.config.watch import MAX_RETRY_DELAY_S
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.net.fetch import MIN_PROGRESS_BYTES
from bamboolever.net.messages import ResponseHead
from bamboolever.platform.store import StoredDocument

LONG_WAIT_S = 20.0
WAITING = "/-/objects/b?watch=1&waitMs=20000"
ASKED = "/-/objects/b?watch=1&waitMs=0"
# Calls are sent again for so long that each of them has become overdue.
LOSS_S = 2.5


@pytest.fixture
def sharing():
    return FollowingShare(delay_s=0.0)


@pytest.fixture
def waiting(task, pool, sharing):
    """A watch with a call that waits long, beside one that is answered often."""
    group = WatchGroup()
    recorder = start_watch(pool, "b", LONG_WAIT_S, group, sharing=sharing)
    recorder.often = start_watch(pool, "a", WAIT_S, group)
    task.advance(HUNG_CALL_S)
    return recorder


def _answer_often(pool, revision, **content):
    """Answer the last call of the other watch at a revision of the store."""
    last = max(n for n, each in enumerate(pool.targets) if "/a?watch" in each)
    pool.respond(last, at=revision, **{"events": [], **content})


def _advance(task, pool, revision, duration_s):
    """Let time pass in which the other watch is answered as it waits."""
    for _ in range(round(duration_s / 0.1)):
        task.advance(0.1)
        _answer_often(pool, revision)


def test_change_is_found_although_the_response_that_told_of_it_was_lost(
    task, pool, waiting, sharing
):
    """Guards against old weights that serve until a long poll ends.

    The store named a higher revision with each response to another watch meanwhile.
    """
    _answer_often(pool, 2)
    _advance(task, pool, 2, HUNG_CALL_S + 0.1)
    assert pool.targets.count(ASKED) == 1
    pool.respond(pool.targets.index(ASKED), events=[make_event("x", 2)], at=2)
    assert waiting.changed_names == ["x"]
    assert sharing.published[-1].revision == 2
    assert "/-/objects/b?watch=2&waitMs=20000" in pool.targets
    assert waiting.reachability == [True]


def test_call_for_a_lost_response_is_repeated_until_it_is_answered(task, pool, waiting):
    _answer_often(pool, 2)
    _advance(task, pool, 2, LOSS_S)
    asked = pool.targets.count(ASKED)
    assert 2 <= asked <= LOSS_S / HUNG_CALL_S
    _advance(task, pool, 2, MAX_RETRY_DELAY_S)
    assert pool.targets.count(ASKED) > asked
    last = len(pool.targets) - 1 - pool.targets[::-1].index(ASKED)
    pool.respond(last, events=[make_event("x", 2)], at=2)
    assert waiting.changed_names == ["x"]


def test_probe_is_repeated_although_no_other_watch_is_answered(task, pool, waiting):
    _answer_often(pool, 2)
    task.advance(2 * HUNG_CALL_S + 0.1)
    assert pool.targets.count(ASKED) == 2


def test_store_without_changes_of_the_kind_is_asked_once_for_a_revision(
    task, pool, waiting
):
    """The call that waits is kept: it was not answered as there is nothing to tell."""
    _answer_often(pool, 2)
    _advance(task, pool, 2, HUNG_CALL_S + 0.1)
    pool.respond(pool.targets.index(ASKED), events=[], at=2)
    _advance(task, pool, 2, 3.0)
    assert [each for each in pool.targets if "/b?" in each] == [WAITING, ASKED]
    pool.respond(pool.targets.index(WAITING), events=[make_event("x", 3)], at=3)
    assert waiting.changed_names == ["x"]


def test_changes_that_were_seen_cause_no_further_call(task, pool, waiting):
    """Guards against calls for each change of a store that loses nothing."""
    _answer_often(pool, 3, events=[make_event("x", 2), make_event("y", 3)])
    _advance(task, pool, 3, 3.0)
    assert [each for each in pool.targets if "/b?" in each] == [WAITING]


def test_response_that_arrives_in_time_needs_no_further_call(task, pool, waiting):
    _answer_often(pool, 2)
    task.advance(HUNG_CALL_S - 0.1)
    pool.respond(pool.targets.index(WAITING), events=[make_event("x", 2)], at=2)
    task.advance(HUNG_CALL_S)
    assert ASKED not in pool.targets


def test_response_that_is_arriving_is_not_asked_for_again(task, pool, waiting):
    """Guards against copies of a large response on a narrow link."""
    handler = pool.sent[pool.targets.index(WAITING)][1]
    handler.on_head(ResponseHead(200, ()))
    for _ in range(10):
        _answer_often(pool, 2)
        handler.on_data(b" " * MIN_PROGRESS_BYTES)
        task.advance(0.2)
    assert ASKED not in pool.targets


def test_response_that_arrives_is_kept_beside_one_that_is_complete(task, pool, waiting):
    """Guards against large responses that are given up and read again."""
    arriving = pool.sent[pool.targets.index(WAITING)][1]
    _answer_often(pool, 2)
    task.advance(HUNG_CALL_S)
    arriving.on_head(ResponseHead(200, ()))
    arriving.on_data(b" " * MIN_PROGRESS_BYTES)
    pool.respond(pool.targets.index(ASKED), events=[make_event("x", 2)], at=2)
    sent = len(pool.sent)
    events = [make_event("x", 2), make_event("y", 3)]
    arriving.on_data(json.dumps({"events": events, "at": 3}).encode())
    arriving.on_end()
    assert waiting.changed_names == ["x", "y"]
    assert len(pool.sent) == sent + 1


def test_changes_of_the_former_store_do_not_count_for_a_restored_one(
    task, pool, waiting
):
    """Its revisions begin anew, so that other changes have those that were seen."""
    _answer_often(pool, 3, events=[make_event("x", 2), make_event("y", 3)])
    _answer_often(pool, 1, era=2)
    listings = [n for n, each in enumerate(pool.targets) if "?" not in each][-2:]
    for index in listings:
        pool.respond(index, era=2, items=[])
    _answer_often(pool, 3, era=2)
    task.advance(HUNG_CALL_S)
    assert ASKED in pool.targets


def test_restored_store_expects_nothing_of_the_former_one(task, pool, waiting):
    _answer_often(pool, 9)
    _answer_often(pool, 1, era=2)
    listings = [n for n, each in enumerate(pool.targets) if "?" not in each][-2:]
    for index in listings:
        pool.respond(index, era=2, items=[])
    task.advance(WAIT_S - 0.1)
    assert ASKED not in pool.targets


def test_stopped_watch_asks_nothing(task, pool, waiting):
    _answer_often(pool, 2)
    waiting.watch.stop()
    task.advance(3.0)
    assert ASKED not in pool.targets


def _changes(*revisions):
    return [StoredDocument("x", {}, revision) for revision in revisions]


def test_seen_changes_are_all_only_if_none_is_between():
    seen = SeenChanges()
    seen.add(_changes(4, 5, 7))
    assert seen.are_all(3, 5)
    assert seen.are_all(6, 7)
    assert not seen.are_all(3, 7)
    assert not seen.are_all(7, 8)
    seen.clear()
    assert not seen.are_all(3, 4)


def test_deletion_does_not_count_as_seen_by_the_revision_that_it_states():
    """A deletion may state the revision of the object's last change before it."""
    seen = SeenChanges()
    seen.add([StoredDocument("x", None, 4)])
    assert not seen.are_all(3, 4)


def test_seen_changes_are_bounded():
    seen = SeenChanges()
    seen.add(_changes(*range(2 * MAX_REVISIONS)))
    assert not seen.are_all(0, MAX_REVISIONS - 1)
    assert seen.are_all(MAX_REVISIONS, 2 * MAX_REVISIONS - 1)
