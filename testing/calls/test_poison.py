"""Requests that crash what runs them."""

from bamboolever.calls.poison import CRASH_MAX_AGE_S, CrashTracker, request_digest

BAD, INNOCENT = 1, 2


def _crash(ledger, upstream, now, *digests):
    for digest in digests:
        ledger.on_broken_response(upstream, digest, now)
    return ledger.on_upstream_down(upstream, now + 0.5)


def test_request_is_blocked_after_three_crashes():
    ledger = CrashTracker()
    for upstream in range(3):
        assert not ledger.is_blocked(BAD, float(upstream))
        assert _crash(ledger, upstream, float(upstream), BAD) == [BAD]
    assert ledger.is_blocked(BAD, 3.0)


def test_lost_answers_of_a_living_upstream_blame_nobody():
    ledger = CrashTracker()
    for second in range(20):
        ledger.on_broken_response(7, INNOCENT, float(second))
    assert not ledger.is_blocked(INNOCENT, 20.0)


def test_old_break_is_not_blamed_for_a_later_crash():
    ledger = CrashTracker()
    ledger.on_broken_response(7, INNOCENT, 0.0)
    assert ledger.on_upstream_down(7, 10.0) == []


def test_neighbours_of_one_crash_are_not_blocked():
    ledger = CrashTracker()
    for upstream in range(3):
        _crash(ledger, upstream, float(upstream), BAD, 100 + upstream)
    assert ledger.is_blocked(BAD, 3.0)
    assert not any(ledger.is_blocked(100 + upstream, 3.0) for upstream in range(3))


def test_request_that_completes_is_cleared():
    ledger = CrashTracker()
    for _ in range(2):
        ledger.on_crash(INNOCENT, 0.0)
    ledger.on_completed(INNOCENT)
    ledger.on_crash(INNOCENT, 1.0)
    assert not ledger.is_blocked(INNOCENT, 1.0)


def test_block_ends_after_a_while():
    ledger = CrashTracker()
    for _ in range(3):
        ledger.on_crash(BAD, 0.0)
    assert ledger.is_blocked(BAD, 1.0)
    assert not ledger.is_blocked(BAD, CRASH_MAX_AGE_S + 1.0)


def test_digest_tells_callers_and_bodies_apart():
    first = request_digest(b"POST", b"/a", "key", b"body")
    assert first == request_digest(b"POST", b"/a", "key", b"body")
    assert first != request_digest(b"POST", b"/a", "other", b"body")
    assert first != request_digest(b"POST", b"/a", "key", b"bodz")
