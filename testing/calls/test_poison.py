"""Detection of requests that crash the upstreams which run them."""

from bamboolever.calls.poison import CRASH_MAX_AGE_S, CrashTracker, request_digest

POISON, HARMLESS = 1, 2


def _crash(tracker, upstream, now, *digests):
    for digest in digests:
        tracker.on_broken_response(upstream, digest, now)
    return tracker.on_upstream_down(upstream, now + 0.5)


def test_request_is_blocked_after_three_crashes():
    tracker = CrashTracker()
    for upstream in range(3):
        assert not tracker.is_blocked(POISON, float(upstream))
        assert _crash(tracker, upstream, float(upstream), POISON) == [POISON]
    assert tracker.is_blocked(POISON, 3.0)


def test_broken_responses_alone_block_no_request():
    tracker = CrashTracker()
    for second in range(20):
        tracker.on_broken_response(7, HARMLESS, float(second))
    assert not tracker.is_blocked(HARMLESS, 20.0)


def test_request_with_an_old_broken_response_is_not_a_suspect():
    tracker = CrashTracker()
    tracker.on_broken_response(7, HARMLESS, 0.0)
    assert tracker.on_upstream_down(7, 10.0) == []


def test_requests_in_flight_during_one_crash_are_not_blocked():
    tracker = CrashTracker()
    for upstream in range(3):
        _crash(tracker, upstream, float(upstream), POISON, 100 + upstream)
    assert tracker.is_blocked(POISON, 3.0)
    assert not any(tracker.is_blocked(100 + upstream, 3.0) for upstream in range(3))


def test_completion_resets_the_crash_count():
    tracker = CrashTracker()
    for _ in range(2):
        tracker.on_crash(HARMLESS, 0.0)
    tracker.on_completed(HARMLESS)
    tracker.on_crash(HARMLESS, 1.0)
    assert not tracker.is_blocked(HARMLESS, 1.0)


def test_block_expires():
    tracker = CrashTracker()
    for _ in range(3):
        tracker.on_crash(POISON, 0.0)
    assert tracker.is_blocked(POISON, 1.0)
    assert not tracker.is_blocked(POISON, CRASH_MAX_AGE_S + 1.0)


def test_digest_differs_by_key_and_body():
    first = request_digest(b"POST", b"/a", "key", b"body")
    assert first == request_digest(b"POST", b"/a", "key", b"body")
    assert first != request_digest(b"POST", b"/a", "other", b"body")
    assert first != request_digest(b"POST", b"/a", "key", b"bodz")
