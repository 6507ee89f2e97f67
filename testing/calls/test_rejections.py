"""Callers that come back after a rejection."""

from bamboolever.calls.rejections import MAX_AGE_S, RejectionHistory


def test_first_attempt_has_used_nothing():
    assert RejectionHistory().used_s(1, 10.0) == 0.0


def test_returning_caller_has_waited_since_its_first_attempt():
    ledger = RejectionHistory()
    ledger.on_rejected(1, 10.0, 10.1)
    assert ledger.used_s(1, 11.5) == 1.5
    ledger.on_rejected(1, 11.5, 11.5)
    assert ledger.used_s(1, 12.0) == 2.0
    assert ledger.used_s(2, 12.0) == 0.0


def test_rejections_are_forgotten_after_the_callers_patience():
    ledger = RejectionHistory()
    ledger.on_rejected(1, 10.0, 10.0)
    assert ledger.used_s(1, 10.1 + MAX_AGE_S) == 0.0


def test_memory_is_bounded_by_time():
    ledger = RejectionHistory()
    for number in range(1000):
        ledger.on_rejected(number, float(number), float(number))
    assert len(ledger._times) <= MAX_AGE_S + 1
