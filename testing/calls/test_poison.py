"""Detection of requests that crash the upstreams which run them."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bamboolever.calls.poison import (
    CRASH_MAX_AGE_S,
    MAX_CRASHES_PER_REQUEST,
    MAX_SUSPECTS_PER_UPSTREAM,
    MAX_TRACKED_REQUESTS,
    MAX_TRACKED_UPSTREAMS,
    Crash,
    CrashTracker,
    request_digest,
)

POISON, HARMLESS = 1, 2


def _crash(tracker, upstream, now, *digests):
    for digest in digests:
        tracker.on_broken_response(upstream, digest, now, now + 0.1)
    return tracker.on_upstream_ended(upstream, now + 0.5)


def test_request_is_blocked_after_three_crashes():
    tracker = CrashTracker()
    for upstream in range(3):
        assert not tracker.is_blocked(POISON, float(upstream))
        assert _crash(tracker, upstream, float(upstream), POISON) == [POISON]
    assert tracker.is_blocked(POISON, 3.0)


def test_broken_responses_alone_block_no_request():
    tracker = CrashTracker()
    for second in range(20):
        tracker.on_broken_response(second, HARMLESS, float(second), second + 0.1)
    assert not tracker.is_blocked(HARMLESS, 20.0)


def test_end_that_is_known_late_counts_as_a_crash():
    tracker = CrashTracker()
    for upstream in range(3):
        tracker.on_broken_response(upstream, POISON, 0.0, 0.1)
    for upstream in range(3):
        assert tracker.on_upstream_ended(upstream, 60.0) == [POISON]
    assert tracker.is_blocked(POISON, 60.0)


def test_end_that_is_known_before_the_response_breaks_counts_as_a_crash():
    tracker = CrashTracker()
    assert tracker.on_upstream_ended(7, 0.0) == []
    assert tracker.on_broken_response(7, POISON, 0.0, 0.1) == [POISON]


def test_upstream_that_responds_later_was_not_crashed():
    tracker = CrashTracker()
    tracker.on_broken_response(7, HARMLESS, 0.0, 0.1)
    tracker.on_response(7, sent_at=0.2)
    assert tracker.on_upstream_ended(7, 10.0) == []


def test_response_to_an_earlier_request_does_not_clear_a_suspect():
    tracker = CrashTracker()
    tracker.on_broken_response(7, POISON, 0.0, 0.1)
    tracker.on_response(7, sent_at=0.05)
    assert tracker.on_upstream_ended(7, 10.0) == [POISON]


def test_upstream_that_responds_after_its_supposed_end_lives():
    tracker = CrashTracker()
    tracker.on_upstream_ended(7, 1.0)
    tracker.on_response(7, sent_at=2.0)
    assert not tracker.has_ended(7)
    assert tracker.on_broken_response(7, HARMLESS, 3.0, 3.1) == []


def test_response_from_before_the_end_does_not_undo_it():
    tracker = CrashTracker()
    tracker.on_upstream_ended(7, 1.0)
    tracker.on_response(7, sent_at=0.5)
    assert tracker.has_ended(7)


def test_upstream_that_left_as_announced_was_not_crashed():
    tracker = CrashTracker()
    tracker.on_broken_response(7, HARMLESS, 0.0, 0.1)
    tracker.on_upstream_left(7)
    assert tracker.on_upstream_ended(7, 1.0) == []


def test_requests_in_flight_during_one_crash_are_not_blocked():
    tracker = CrashTracker()
    for upstream in range(3):
        _crash(tracker, upstream, float(upstream), POISON, 100 + upstream)
    assert tracker.is_blocked(POISON, 3.0)
    assert not any(tracker.is_blocked(100 + upstream, 3.0) for upstream in range(3))


def test_completion_voids_earlier_crashes():
    tracker = CrashTracker()
    for upstream in range(2):
        _crash(tracker, upstream, 0.0, HARMLESS)
    assert tracker.add_completion(HARMLESS, 1.0)
    _crash(tracker, 2, 2.0, HARMLESS)
    assert not tracker.is_blocked(HARMLESS, 3.0)


def test_request_that_completes_elsewhere_is_not_blocked_by_crashes_at_one_moment():
    tracker = CrashTracker()
    for upstream in range(5):
        tracker.on_broken_response(upstream, HARMLESS, 1.0, 2.0)
    tracker.add_completion(HARMLESS, 1.5)
    for upstream in range(5):
        assert tracker.on_upstream_ended(upstream, 2.25) == []
    assert not tracker.is_blocked(HARMLESS, 2.5)


def test_completion_does_not_void_crashes_by_later_requests():
    tracker = CrashTracker()
    tracker.add_completion(POISON, 0.5)
    for upstream in range(3):
        _crash(tracker, upstream, 1.0, POISON)
    assert tracker.is_blocked(POISON, 2.0)


def test_block_expires():
    tracker = CrashTracker()
    for upstream in range(3):
        _crash(tracker, upstream, 0.0, POISON)
    assert tracker.is_blocked(POISON, 1.0)
    assert not tracker.is_blocked(POISON, CRASH_MAX_AGE_S + 1.0)
    assert not tracker.near_block(CRASH_MAX_AGE_S + 1.0)
    assert not tracker.crashes_by(POISON)


def test_crash_of_one_upstream_counts_once():
    tracker = CrashTracker()
    assert _crash(tracker, 7, 0.0, POISON) == [POISON]
    for second in range(5):
        assert not tracker.add_crash(Crash(POISON, 7, 1.0 + second), 10.0)
    assert tracker.crashes_by(POISON) == [Crash(POISON, 7, 0.0)]


def test_request_is_near_its_block_after_two_crashes():
    tracker = CrashTracker()
    _crash(tracker, 0, 0.0, POISON, HARMLESS)
    assert tracker.near_block(1.0) == []
    _crash(tracker, 1, 0.0, POISON)
    assert tracker.near_block(1.0) == [POISON]


FACTS = [
    *(Crash(POISON, upstream, 10.0 + upstream) for upstream in range(4)),
    *(Crash(HARMLESS, upstream, 10.0 + upstream) for upstream in range(4)),
]


@given(st.permutations([*FACTS, *FACTS, (HARMLESS, 13.0)]))
def test_facts_give_the_same_blocks_in_any_order(facts):
    tracker = CrashTracker()
    for fact in facts:
        if isinstance(fact, Crash):
            tracker.add_crash(fact, 20.0)
        else:
            tracker.add_completion(*fact)
    assert tracker.is_blocked(POISON, 20.0)
    assert not tracker.is_blocked(HARMLESS, 20.0)
    assert tracker.crashes_by(HARMLESS) == []


@pytest.mark.parametrize("is_ended", [False, True])
def test_memory_is_bounded(is_ended):
    tracker = CrashTracker()
    serial = itertools.count()
    for upstream in range(MAX_TRACKED_UPSTREAMS + 9):
        tracker.on_broken_response(upstream, next(serial), 0.0, 0.1)
        if is_ended:
            tracker.on_upstream_ended(upstream, 0.2)
    for digest in range(MAX_SUSPECTS_PER_UPSTREAM + 9):
        tracker.on_broken_response(-1, digest, 0.0, 0.1)
    for digest in range(MAX_TRACKED_REQUESTS + 9):
        tracker.add_crash(Crash(digest, 1, 0.0), 0.1)
        tracker.add_completion(-digest, 0.0)
    for upstream in range(MAX_CRASHES_PER_REQUEST + 9):
        tracker.add_crash(Crash(POISON, upstream, 1.0 + upstream), 2.0)
    assert len(tracker._suspects) <= MAX_TRACKED_UPSTREAMS
    assert len(tracker._ended_at) <= MAX_TRACKED_UPSTREAMS
    assert len(tracker._suspects[-1]) <= MAX_SUSPECTS_PER_UPSTREAM
    assert len(tracker._crashes) <= MAX_TRACKED_REQUESTS
    assert len(tracker._completed_at) <= MAX_TRACKED_REQUESTS
    assert len(tracker.crashes_by(POISON)) <= MAX_CRASHES_PER_REQUEST


def test_digest_differs_by_key_and_body():
    first = request_digest(b"POST", b"/a", "key", b"body")
    assert first == request_digest(b"POST", b"/a", "key", b"body")
    assert first != request_digest(b"POST", b"/a", "other", b"body")
    assert first != request_digest(b"POST", b"/a", "key", b"bodz")


def test_delayed_report_of_a_void_crash_is_corrected_by_a_later_one():
    """Guards against blocks that a report from a suspended entry's socket brings back.

    A delay makes the crash look newer than the completion that voids it.
    """
    tracker = CrashTracker()
    tracker.add_completion(POISON, 10.0)
    for upstream in range(3):
        assert tracker.add_crash(Crash(POISON, upstream, 13.5), 14.0)
    assert tracker.is_blocked(POISON, 14.0)
    for upstream in range(3):
        assert not tracker.add_crash(Crash(POISON, upstream, 9.7), 14.1)
    assert not tracker.is_blocked(POISON, 14.1)
    assert tracker.near_block(14.1) == []
