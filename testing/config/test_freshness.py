"""Trust in API keys by the age of the configuration's last confirmation."""

from bamboolever.config.freshness import REWRITE_DELAY_S, Freshness


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


def test_confirmations_count_again_once_lost_changes_are_written_again():
    """A restored store may confirm a configuration older than an acknowledged one."""
    freshness = Freshness(5.0)
    freshness.confirm(10.0)
    freshness.on_store_restored(11.0)
    freshness.confirm(12.0)
    assert freshness.age_s(12.0) == 2.0
    freshness.confirm(11.0 + REWRITE_DELAY_S)
    assert freshness.age_s(11.0 + REWRITE_DELAY_S) == 0.0
