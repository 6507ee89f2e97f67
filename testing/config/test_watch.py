"""Watches of the store, with a manual clock and without sockets."""

import json
from itertools import pairwise

import pytest
from manualtask import ManualPool, ManualTask, SlowStore

from bamboolever.config.kindstate import Snapshot
from bamboolever.config.observer import KindObserver
from bamboolever.config.sharing import WatchResult, WatchSharing
from bamboolever.config.storecalls import (
    HUNG_CALL_S,
    MAX_PROBE_OVERDUE_S,
    MIN_PROBE_OVERDUE_S,
    RESPONSE_MARGIN_S,
)
from bamboolever.config.watch import MAX_RETRY_DELAY_S, KindWatch, WatchTiming
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.net.addresses import Address
from bamboolever.net.fetch import MIN_PROGRESS_BYTES
from bamboolever.net.messages import ResponseHead
from bamboolever.platform.store import StoredDocument

WAIT_S = 2.0
LONG_WAIT_S = 20.0
# A store counts as stable so long after an outage; changes are due this much later.
STABLE_S = 3.0
CHANGE_BOUND_S = 2.0


class Recorder(KindObserver):
    def __init__(self):
        self.reachability = []
        self.restores = 0
        self.listings = 0
        self.listed_names = []
        self.changed_names = []
        self.confirmed_at = None

    def on_listing(self, documents):
        self.listings += 1
        self.listed_names = [document.name for document in documents]

    def on_changes(self, documents):
        self.changed_names += [document.name for document in documents]

    def on_confirmed(self, as_of):
        self.confirmed_at = as_of

    def on_store_restored(self):
        self.restores += 1

    def on_reachability_changed(self, is_reachable, reason):
        self.reachability.append(is_reachable)


@pytest.fixture
def task():
    return ManualTask()


@pytest.fixture
def pool(task):
    return ManualPool(task)


class FollowingShare(WatchSharing):
    """Lets a watch follow others; ``delay_s`` is when it would call the store."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.published = []

    def call_delay_s(self, now):
        return self.delay_s

    def publish(self, result):
        self.published.append(result)


def _start(pool, kind, wait_s, group, **options):
    recorder = Recorder()
    watch = KindWatch(
        pool.task,
        pool,
        lambda: Address("127.0.0.1", 7000),
        kind,
        recorder,
        WatchTiming(wait_s),
        group=group,
        **options,
    )
    recorder.watch = watch
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


@pytest.mark.parametrize("is_watched", [False, True])
def test_watch_goes_on_after_objects_that_its_observer_cannot_apply(
    task, pool, is_watched
):
    """Guards against a process that keeps its old objects for good."""
    recorder = _start(pool, "a", WAIT_S, WatchGroup())
    take = recorder.on_changes

    def fail_once(documents):
        recorder.on_changes = recorder.on_listing = take
        raise RuntimeError("not applicable")

    recorder.on_changes = recorder.on_listing = fail_once
    if is_watched:
        pool.respond(-1, events=[_event("x", 2)], at=2)
    else:
        pool.respond(-1, status=410)
        pool.respond(-1, items=[_event("x", 2)["object"]], at=2)
    task.advance(MAX_RETRY_DELAY_S)
    assert pool.targets[-1] == "/-/objects/a"
    pool.respond(-1, items=[_event("y", 3)["object"]], at=3)
    assert recorder.changed_names == ["y"]
    assert recorder.reachability == [True]


def test_timeouts_of_probes_are_short_and_grow_to_a_limit(task, pool):
    _start(pool, "a", WAIT_S, WatchGroup())
    task.advance(WAIT_S + RESPONSE_MARGIN_S)
    sent_before = len(pool.sent)
    task.advance(20.0)
    probes = len(pool.sent) - sent_before
    longest_s = MAX_PROBE_OVERDUE_S + MAX_RETRY_DELAY_S
    shortest_s = MIN_PROBE_OVERDUE_S
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


def test_call_that_the_store_held_during_an_outage_is_sent_again_after_it(task, pool):
    """Guards against an upstream that leaves unseen for the rest of a long poll.

    The store held the call when it fell silent, and never responded to it.
    """
    group = WatchGroup()
    first = _start(pool, "a", WAIT_S, group)
    second = _start(pool, "b", 20.0, group)
    _advance_to_probe(task, pool)
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
    pool.respond(newest, events=[_event("x", 2)], at=2)
    assert second.changed_names == ["x"]
    assert second.reachability == [True]


def test_held_call_is_sent_again_once_for_each_outage(task, pool):
    group = WatchGroup()
    _start(pool, "a", WAIT_S, group)
    _start(pool, "b", 20.0, group)
    _advance_to_probe(task, pool)
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
    _start(pool, "a", WAIT_S, group)
    _start(pool, "b", 20.0, group)
    long_poll = pool.targets.index("/-/objects/b?watch=1&waitMs=20000")
    _advance_to_probe(task, pool)
    sent_before = len(pool.sent)
    pool.respond(long_poll, events=[])
    assert not any("/a?" in target for target in pool.targets[sent_before:])


def _event(name, revision):
    metadata = {"name": name, "revision": revision}
    return {"object": {"metadata": metadata, "specification": {}}, "deleted": False}


def _result(**changes):
    body = json.dumps({"events": [_event("x", 3)], "at": 3}).encode()
    content = {
        "kind": "a",
        "era": 0,
        "from_revision": 1,
        "revision": 3,
        "changes": body,
        "as_of": 99.0,
        **changes,
    }
    return WatchResult(**content)


def test_following_watch_calls_the_store_only_when_nothing_is_heard(task, pool):
    sharing = FollowingShare(delay_s=5.0)
    _start(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    task.advance(4.9)
    assert pool.targets == ["/-/objects/a"]
    sharing.delay_s = 0.0
    task.advance(0.2)
    assert pool.targets[1:] == ["/-/objects/a?watch=1&waitMs=2000"]


def test_shared_changes_are_applied_without_a_call(task, pool):
    recorder = _start(
        pool, "a", WAIT_S, WatchGroup(), sharing=FollowingShare(delay_s=60.0)
    )
    recorder.watch.apply_shared(_result())
    assert recorder.changed_names == ["x"]
    assert recorder.confirmed_at == 99.0
    assert pool.targets == ["/-/objects/a"]
    recorder.watch.apply_shared(_result())
    assert recorder.changed_names == ["x"]


@pytest.mark.parametrize(
    "result", [{"changes": None}, {"from_revision": 2}, {"changes": b"no JSON"}]
)
def test_changes_that_cannot_be_applied_are_read_from_the_store(task, pool, result):
    recorder = _start(
        pool, "a", WAIT_S, WatchGroup(), sharing=FollowingShare(delay_s=60.0)
    )
    recorder.confirmed_at = None
    task.advance(1.0)
    recorder.watch.apply_shared(_result(**result))
    assert recorder.changed_names == []
    assert recorder.confirmed_at is None
    assert pool.targets[1:] == ["/-/objects/a?watch=1&waitMs=0"]
    pool.respond(-1, events=[_event("x", 3)])
    assert recorder.changed_names == ["x"]


def test_change_is_published_before_it_is_applied(task, pool):
    """Guards against peers that missed a change which moved the watcher's cell.

    The watcher had dropped them as peers when it came to publish the change.
    """
    sharing = FollowingShare(delay_s=0.0)
    recorder = _start(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    published_first = []
    recorder.on_changes = lambda _documents: published_first.append(
        len(sharing.published)
    )
    pool.respond(-1, events=[_event("x", 3)])
    assert published_first == [1]


def test_watching_process_publishes_changes_in_parts(task, pool):
    sharing = FollowingShare(delay_s=0.0)
    _start(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    events = [_event("x" * 1000, revision) for revision in range(2, 7)]
    pool.respond(-1, events=events, at=9)
    spans = [(each.from_revision, each.revision) for each in sharing.published]
    assert spans[0][0] == 1 and spans[-1][1] == 9
    assert all(first[1] == second[0] for first, second in pairwise(spans))
    assert [each.as_of is None for each in sharing.published[:-1]] == [True] * (
        len(spans) - 1
    )
    assert sharing.published[-1].as_of is not None
    follower = _start(
        ManualPool(task), "a", WAIT_S, WatchGroup(), sharing=FollowingShare(60.0)
    )
    for each in sharing.published:
        follower.watch.apply_shared(each)
    assert len(follower.changed_names) == 5


def test_store_restored_from_a_copy_is_listed_again_by_all_watches(task, pool):
    """A watch that went on from a revision of the former era would miss changes."""
    group = WatchGroup()
    first = _start(pool, "a", WAIT_S, group)
    second = _start(pool, "b", 20.0, group)
    watch = pool.targets.index("/-/objects/a?watch=1&waitMs=2000")
    pool.respond(watch, era=2, events=[_event("old", 2)])
    assert first.changed_names == []
    assert (first.restores, second.restores) == (1, 1)
    assert pool.targets[-2:] == ["/-/objects/a", "/-/objects/b"]
    pool.respond(-2, era=2, items=[])
    assert first.listings == 2


def test_late_response_of_an_older_era_changes_nothing(task, pool):
    recorder = _start(pool, "a", WAIT_S, WatchGroup())
    pool.respond(-1, era=2, events=[])
    pool.respond(-1, era=2, items=[])
    sent_before = len(pool.sent)
    pool.respond(-1, era=1, events=[_event("old", 7)])
    assert recorder.changed_names == []
    assert recorder.restores == 1
    task.advance(MAX_RETRY_DELAY_S)
    assert len(pool.sent) == sent_before + 1


def test_peer_that_saw_the_restored_store_causes_a_new_listing(task, pool):
    recorder = _start(
        pool, "a", WAIT_S, WatchGroup(), sharing=FollowingShare(delay_s=60.0)
    )
    recorder.watch.apply_shared(_result(era=1))
    assert recorder.changed_names == []
    assert recorder.restores == 1
    assert pool.targets[1:] == ["/-/objects/a"]


def test_change_whose_update_was_lost_is_read_from_the_store(task, pool):
    recorder = _start(
        pool, "a", WAIT_S, WatchGroup(), sharing=FollowingShare(delay_s=60.0)
    )
    task.advance(1.0)
    recorder.watch.catch_up_to(1, 5)
    recorder.watch.catch_up_to(0, 1)
    assert len(pool.sent) == 1
    recorder.watch.catch_up_to(0, 5)
    recorder.watch.catch_up_to(0, 5)
    assert pool.targets[1:] == ["/-/objects/a?watch=1&waitMs=0"]
    pool.respond(-1, events=[_event("x", 5)], at=5)
    recorder.watch.catch_up_to(0, 5)
    assert recorder.changed_names == ["x"]
    assert recorder.watch.changed_revision == 5
    assert len(pool.sent) == 2


# A configuration of 1,600 routes, and a link between regions that others use too.
LARGE_BYTES = 310_000
LINK_BYTES_PER_S = 800_000


def _watch_at(store, kind="a", group=None, wait_s=WAIT_S):
    recorder = Recorder()
    watch = KindWatch(
        store.task,
        store,
        lambda: Address("127.0.0.1", 7000),
        kind,
        recorder,
        WatchTiming(wait_s),
        group=group or WatchGroup(),
    )
    recorder.watch = watch
    watch.start()
    return recorder


def test_watch_that_fell_behind_catches_up_while_the_history_grows(task):
    """Guards against an entry that stayed on an old configuration for 18 seconds.

    The response to its watch held each version since, and with each one took longer
    than the timeout, after which it began anew.
    """
    store = SlowStore(task, response_s=0.02, bytes_per_s=LINK_BYTES_PER_S)
    recorder = _watch_at(store)
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
    recorder = _watch_at(store)
    task.advance(5.0)
    assert recorder.listings == 1
    assert not store.cancelled


@pytest.mark.parametrize("response_s", [1.34, 3.0])
def test_slow_store_is_followed(task, response_s):
    """Guards against calls that were cancelled although they would be answered."""
    store = SlowStore(task, response_s=0.02)
    group = WatchGroup()
    recorder, *_ = [_watch_at(store, kind, group) for kind in ("a", "b", "c")]
    task.advance(5.0)
    store.response_s = response_s
    task.advance(3 * response_s)
    store.put("x")
    task.advance(4 * response_s)
    assert "x" in recorder.changed_names


def test_silent_store_is_used_again_soon_after_it_is_back(task):
    """Calls that were sent while it was silent never get a response."""
    store = SlowStore(task, response_s=0.02)
    recorder = _watch_at(store)
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
        _watch_at(store, kind, group, wait_s)
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
    recorder = _watch_at(store)
    task.advance(20.0)
    changes, calls = len(recorder.reachability), len(store.calls)
    task.advance(20.0)
    assert len(recorder.reachability) == changes
    assert len(store.calls) - calls <= 20.0 / (WAIT_S + 3.0) + 1
    assert recorder.confirmed_at >= task.now() - WAIT_S - 2 * 3.0


def test_lost_response_is_asked_for_again_beside_the_call(task):
    store = SlowStore(task, response_s=0.02)
    recorder = _watch_at(store)
    task.advance(0.5)
    store.is_cut = True
    task.advance(WAIT_S)
    store.is_cut = False
    store.put("x")
    task.advance(RESPONSE_MARGIN_S + MAX_RETRY_DELAY_S)
    assert recorder.changed_names == ["x"]


def test_response_that_brings_a_byte_now_and_then_holds_nothing_up(task, pool):
    recorder = _start(pool, "a", WAIT_S, WatchGroup())
    handler = pool.sent[-1][1]
    handler.on_head(ResponseHead(200, ()))
    for _ in range(100):
        handler.on_data(b" ")
        task.advance(0.1)
    assert recorder.reachability == [True, False]
    pool.respond(-1, events=[_event("x", 3)], at=3)
    assert recorder.changed_names == ["x"]


def test_older_response_after_a_newer_one_changes_nothing(task, pool):
    recorder = _start(pool, "a", WAIT_S, WatchGroup())
    late = pool.sent[-1][1]
    _advance_to_probe(task, pool)
    late.on_head(ResponseHead(200, ()))
    late.on_data(b" " * MIN_PROGRESS_BYTES)
    pool.respond(-1, events=[_event("x", 3), _event("y", 5)], at=5)
    confirmed_at = recorder.confirmed_at
    assert confirmed_at > task.now() - 0.1
    late.on_data(json.dumps({"events": [_event("x", 3)], "at": 3}).encode())
    late.on_end()
    assert recorder.changed_names == ["x", "y"]
    changes = json.dumps({"events": [_event("z", 6)], "at": 6}).encode()
    recorder.watch.apply_shared(_result(from_revision=5, revision=6, changes=changes))
    assert recorder.changed_names == ["x", "y", "z"]


def test_changes_that_are_known_already_are_not_applied_again(task, pool):
    recorder = _start(pool, "a", WAIT_S, WatchGroup())
    recorder.watch.apply_shared(_result())
    pool.respond(-1, events=[_event("x", 3), _event("y", 4)], at=4)
    assert recorder.changed_names == ["x", "y"]


def _item(name, revision):
    return _event(name, revision)["object"]


def test_page_that_arrives_twice_is_listed_once(task, pool):
    recorder = _start(pool, "a", WAIT_S, WatchGroup())
    pool.respond(-1, status=410)
    late = pool.sent[-1][1]
    task.advance(MIN_PROBE_OVERDUE_S + MAX_RETRY_DELAY_S)
    late.on_head(ResponseHead(200, ()))
    late.on_data(b" " * MIN_PROGRESS_BYTES)
    page = {"items": [_item("m", 2)], "hasMore": True, "at": 4}
    pool.respond(-1, **page)
    late.on_data(json.dumps(page).encode())
    late.on_end()
    pool.respond(-1, items=[_item("n", 3)], at=4)
    assert recorder.listed_names == ["m", "n"]


def test_listing_that_is_older_than_a_peers_update_changes_nothing(task, pool):
    recorder = _start(pool, "a", WAIT_S, WatchGroup())
    pool.respond(-1, status=410)
    recorder.watch.apply_shared(_result())
    pool.respond(-1, items=[], at=2)
    assert recorder.changed_names == ["x"]
    assert recorder.listings == 1
    assert pool.targets[-1] == "/-/objects/a?watch=3&waitMs=2000"


def test_long_history_is_listed_in_its_place(task):
    """The work to catch up must not grow with the versions that were missed."""
    store = SlowStore(task, response_s=0.02, bytes_per_s=LARGE_BYTES)
    store.put("main", LARGE_BYTES)
    recorder = _watch_at(store)
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
    recorder = _start(pool, "a", WAIT_S, WatchGroup())
    pool.respond(-1, status=410)
    pool.respond(-1, items=[_item("m", 2)], hasMore=True, at=10)
    pool.respond(-1, items=[], at=12)
    assert recorder.listings == 2
    assert pool.targets[-1] == "/-/objects/a?watch=10&waitMs=2000"


class AskingShare(FollowingShare):
    """Follows others, and asks the process that told of a change."""

    def __init__(self):
        super().__init__(delay_s=60.0)
        self.asked = []

    def ask_peer(self, source, kind, era, revision, on_snapshot):
        self.asked.append((source, kind, era, revision))
        self.answer = on_snapshot
        return True


PEER = Address("10.0.0.2", 7700)


def _snapshot(*names, **changes):
    documents = tuple(StoredDocument(name, {}, 3) for name in names)
    return Snapshot(
        **{
            "era": 0,
            "revision": 3,
            "changed_revision": 3,
            "as_of": 99.0,
            "documents": documents,
            **changes,
        }
    )


@pytest.fixture
def sharing():
    return AskingShare()


@pytest.fixture
def follower(task, pool, sharing):
    recorder = _start(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    recorder.confirmed_at = None
    task.advance(1.0)
    return recorder


def test_change_too_large_for_a_datagram_is_had_from_the_peer(pool, follower, sharing):
    """Guards against each entry reading it over the narrow link to the store."""
    update = _result(changes=None, source=PEER)
    follower.watch.apply_shared(update)
    follower.watch.apply_shared(update)
    assert sharing.asked == [(PEER, "a", 0, 1)]
    assert follower.confirmed_at is None
    sharing.answer(_snapshot("x", "y"))
    assert follower.listed_names == ["x", "y"]
    assert follower.confirmed_at == 99.0
    assert follower.watch.changed_revision == 3
    assert pool.targets == ["/-/objects/a"]


def test_missed_change_is_had_from_the_peer_that_knows_of_it(pool, follower, sharing):
    follower.watch.catch_up_to(0, 3, PEER)
    sharing.answer(_snapshot("x"))
    follower.watch.catch_up_to(0, 3, PEER)
    assert follower.listed_names == ["x"]
    assert len(sharing.asked) == 1
    assert pool.targets == ["/-/objects/a"]


@pytest.mark.parametrize(
    "snapshot",
    [None, _snapshot(revision=2), _snapshot(documents=None, revision=1)],
    ids=["gone", "behind", "nothing new"],
)
def test_store_is_called_if_the_peer_does_not_have_the_change(
    pool, follower, sharing, snapshot
):
    follower.watch.apply_shared(_result(changes=None, source=PEER))
    sharing.answer(snapshot)
    revision = 2 if snapshot is not None and snapshot.documents is not None else 1
    assert pool.targets[1:] == [f"/-/objects/a?watch={revision}&waitMs=0"]


def test_entry_that_the_store_turns_away_follows_its_peers(task, pool, sharing):
    recorder = _start(pool, "a", WAIT_S, WatchGroup())
    recorder.watch._sharing = sharing
    _advance_to_probe(task, pool)
    recorder.watch.apply_shared(_result(changes=None, source=PEER))
    sharing.answer(_snapshot("x"))
    assert recorder.listed_names == ["x"]
    assert recorder.confirmed_at == 99.0


def test_older_snapshot_changes_nothing(follower):
    follower.watch.apply_shared(_result(as_of=None))
    follower.watch.apply_snapshot(_snapshot("old", revision=2, as_of=98.0))
    follower.watch.apply_snapshot(_snapshot("old", era=-1, revision=9))
    assert (follower.changed_names, follower.listings) == (["x"], 1)
    assert follower.confirmed_at == 98.0


def test_snapshot_of_a_newer_state_without_objects_confirms_nothing(follower):
    follower.watch.apply_snapshot(_snapshot(documents=None, revision=9))
    assert follower.confirmed_at is None


def test_snapshot_of_a_restored_store_causes_a_new_listing(pool, follower):
    follower.watch.apply_snapshot(_snapshot("x", era=1))
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
    watch.apply_snapshot(_snapshot("x", era=2))
    assert recorder.listed_names == ["x"]
    assert watch.era == 2
    assert pool.targets == []


def test_watch_passes_on_what_it_knows(task, pool):
    recorder = _start(pool, "a", WAIT_S, WatchGroup())
    count = recorder.watch.change_count
    pool.respond(-1, events=[_event("x", 3), _event("y", 4)], at=4)
    deleted = {**_event("x", 5), "deleted": True}
    pool.respond(-1, events=[deleted], at=6)
    snapshot = recorder.watch.snapshot()
    assert [document.name for document in snapshot.documents] == ["y"]
    assert (snapshot.revision, snapshot.changed_revision) == (6, 6)
    assert snapshot.as_of == recorder.confirmed_at
    assert recorder.watch.change_count > count


@pytest.mark.parametrize("is_shared", [True, False])
def test_only_a_response_for_others_counts_as_arriving_for_them(task, pool, is_shared):
    sharing = FollowingShare(0.0 if is_shared else 60.0)
    recorder = _start(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    task.advance(1.0)
    recorder.watch.catch_up_to(0, 5)
    assert not recorder.watch.is_receiving
    handler = pool.sent[-1][1]
    handler.on_head(ResponseHead(200, ()))
    handler.on_data(b" ")
    assert recorder.watch.is_receiving == is_shared


def test_slow_listing_is_kept_however_often_other_watches_are_answered(task):
    """Each look at the progress of a call must not count as progress."""
    store = SlowStore(task, response_s=0.02, bytes_per_s=80_000)
    store.put("main", LARGE_BYTES)
    recorder = _watch_at(store)
    for _ in range(60):
        task.advance(0.1)
        recorder.watch.retry_if_hung()
    assert recorder.listings == 1
    assert not store.cancelled


def test_listing_in_place_of_a_history_is_not_begun_twice(task, pool):
    recorder = _start(pool, "a", WAIT_S, WatchGroup())
    first = pool.sent[-1][1]
    _advance_to_probe(task, pool)
    second = pool.sent[-1][1]
    too_large = ResponseHead(200, ((b"content-length", b"99999999"),))
    second.on_head(too_large)
    assert pool.targets[-1] == "/-/objects/a"
    first.on_head(too_large)
    pool.respond(-1, items=[_item("m", 9)], at=9)
    assert recorder.listings == 2
    assert pool.targets[-1] == "/-/objects/a?watch=9&waitMs=2000"


def test_peer_that_is_ahead_is_asked_beside_a_call_that_is_lost(task, pool, sharing):
    """Guards against an entry whose only call was lost as the store came back.

    The calls of the outage had been answered late, so that it counted as overdue only
    seconds later; its peers had the change all the while.
    """
    sharing.delay_s = 0.0
    recorder = _start(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    assert recorder.watch.is_calling
    recorder.watch.catch_up_to(0, 3, PEER)
    task.advance(HUNG_CALL_S - 0.01)
    recorder.watch.catch_up_to(0, 3, PEER)
    assert not sharing.asked
    task.advance(0.02)
    recorder.watch.catch_up_to(0, 3, PEER)
    assert sharing.asked == [(PEER, "a", 0, 1)]
    sharing.answer(_snapshot("x"))
    assert recorder.listed_names == ["x"]


def test_peer_that_is_ahead_is_not_asked_while_the_own_response_arrives(
    task, pool, sharing
):
    sharing.delay_s = 0.0
    recorder = _start(pool, "a", WAIT_S, WatchGroup(), sharing=sharing)
    handler = pool.sent[-1][1]
    handler.on_head(ResponseHead(200, ()))
    for _ in range(10):
        handler.on_data(b" " * MIN_PROGRESS_BYTES)
        recorder.watch.catch_up_to(0, 3, PEER)
        task.advance(0.1)
    assert not sharing.asked
