"""Recognition of callers' retries of rejected requests."""

from bamboolever.calls.rejections import MAX_AGE_S, RejectionHistory


def test_age_of_a_first_attempt_is_zero():
    assert RejectionHistory().first_attempt_age_s(1, 10.0) == 0.0


def test_age_of_a_retry_counts_from_the_first_attempt():
    history = RejectionHistory()
    history.on_rejected(1, 10.0, 10.1)
    assert history.first_attempt_age_s(1, 11.5) == 1.5
    history.on_rejected(1, 11.5, 11.5)
    assert history.first_attempt_age_s(1, 12.0) == 2.0
    assert history.first_attempt_age_s(2, 12.0) == 0.0


def test_rejections_expire():
    history = RejectionHistory()
    history.on_rejected(1, 10.0, 10.0)
    assert history.first_attempt_age_s(1, 10.1 + MAX_AGE_S) == 0.0


def test_expired_rejections_are_removed():
    history = RejectionHistory()
    for number in range(1000):
        history.on_rejected(number, float(number), float(number))
    assert len(history._times) <= MAX_AGE_S + 1
