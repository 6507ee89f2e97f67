"""Trust in API keys by the age of the configuration's last confirmation."""

from bamboolever.config.freshness import Freshness


def test_keys_are_not_trusted_before_any_confirmation():
    assert not Freshness(5.0).can_trust_keys(0.0)


def test_trust_ends_a_margin_before_the_bound():
    freshness = Freshness(5.0)
    freshness.confirm(10.0)
    assert freshness.can_trust_keys(14.0)
    assert not freshness.can_trust_keys(14.6)


def test_older_confirmation_does_not_replace_a_newer_one():
    freshness = Freshness(5.0)
    freshness.confirm(10.0)
    freshness.confirm(8.0)
    assert freshness.age_s(11.0) == 1.0


def test_without_a_bound_one_confirmation_is_enough():
    freshness = Freshness(None)
    freshness.confirm(0.0)
    assert freshness.can_trust_keys(1e6)
