"""Time that earlier attempts of a caller used."""

from bamboolever.calls.patience import PatienceEstimator


def test_first_attempts_have_used_nothing():
    patience = PatienceEstimator()
    assert patience.observe("r", 6.0) == 0.0
    assert patience.observe("r", 5.99) == 0.0


def test_returning_attempt_shows_what_was_used():
    patience = PatienceEstimator()
    patience.observe("r", 6.0)
    assert round(patience.observe("r", 4.8), 3) == 1.2
    assert patience.observe("other", 4.8) == 0.0
