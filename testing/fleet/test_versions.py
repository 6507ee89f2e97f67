"""Named versions and when they become required."""

from bamboolever.fleet.versions import VERSION_MARGIN_S, VersionRollouts


def test_version_is_required_once_its_time_is_up():
    versions = VersionRollouts(8.0)
    assert versions.add("m", 2, 10.0)
    assert versions.min_version("m", 17.0) == 0
    assert versions.min_version("m", 18.0 - VERSION_MARGIN_S) == 2


def test_each_version_has_its_own_time():
    versions = VersionRollouts(8.0)
    versions.add("m", 2, 10.0)
    versions.add("m", 3, 14.0)
    assert versions.min_version("m", 18.0) == 2
    assert versions.min_version("m", 22.0) == 3


def test_older_naming_changes_nothing():
    versions = VersionRollouts(8.0)
    versions.add("m", 3, 0.0)
    assert not versions.add("m", 2, 1.0)
    assert versions.newest("m") == 3
    assert versions.min_version("other", 100.0) == 0


def test_version_found_already_named_is_required_at_once():
    versions = VersionRollouts(8.0)
    versions.add("m", 3, 100.0, is_new=False)
    assert versions.min_version("m", 100.0) == 3


def test_restarted_process_learns_the_ages_of_namings():
    old, restarted = VersionRollouts(8.0), VersionRollouts(8.0)
    old.add("m", 2, 18.0)
    old.add("m", 3, 20.0)
    restarted.add("m", 3, 20.3, is_new=False)
    for model, version, age_s in old.ages(21.0):
        restarted.record_age(model, version, age_s, 21.0)
    assert restarted.min_version("m", 25.0) == 0
    assert restarted.min_version("m", 26.0) == 2
    assert restarted.min_version("m", 28.0) == 3


def test_version_ends_with_the_first_one_named_after_it():
    """Engines that skipped a version held on to one that nobody may use."""
    versions = VersionRollouts(8.0)
    versions.add("m", 2, 10.0)
    versions.add("m", 3, 12.0)
    assert versions.expires_at("m", 1) == 18.0 - VERSION_MARGIN_S
    assert versions.expires_at("m", 2) == 20.0 - VERSION_MARGIN_S
    assert versions.expires_at("m", 3) is None


def test_end_is_unknown_where_a_naming_is_of_unknown_age():
    versions = VersionRollouts(8.0)
    versions.add("m", 2, 10.0, is_new=False)
    versions.add("m", 3, 12.0)
    assert versions.expires_at("m", 1) is None
