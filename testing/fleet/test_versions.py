"""Rollouts of versions, and when the older versions expire."""

from hypothesis import given
from hypothesis import strategies as st

from bamboolever.fleet.storetimes import REWRITE_DELAY_S
from bamboolever.fleet.versions import VersionRollouts


def test_version_is_required_after_its_timeout():
    versions = VersionRollouts(8.0)
    assert versions.add("m", 2, 10.0)
    assert versions.min_version("m", 17.0) == 0
    assert versions.min_version("m", 18.0) == 2


def test_each_version_has_its_own_timeout():
    versions = VersionRollouts(8.0)
    versions.add("m", 2, 10.0)
    versions.add("m", 3, 14.0)
    assert versions.min_version("m", 18.0) == 2
    assert versions.min_version("m", 22.0) == 3


def test_rollout_of_older_version_is_ignored():
    versions = VersionRollouts(8.0)
    versions.add("m", 3, 0.0)
    assert not versions.add("m", 2, 1.0)
    assert versions.newest("m") == 3
    assert versions.min_version("other", 100.0) == 0


def test_version_with_unknown_start_is_required_at_once():
    versions = VersionRollouts(8.0)
    versions.add("m", 3)
    assert versions.min_version("m", 100.0) == 3


def test_restarted_process_records_reported_ages():
    old, restarted = VersionRollouts(8.0), VersionRollouts(8.0)
    old.add("m", 2, 18.0)
    old.add("m", 3, 20.0)
    restarted.add("m", 3)
    for rollout in old.ages(21.0):
        restarted.record_age(rollout.model, rollout.version, rollout.age_s, 21.0)
    assert restarted.min_version("m", 25.0) == 0
    assert restarted.min_version("m", 26.0) == 2
    assert restarted.min_version("m", 28.0) == 3


def test_version_expires_with_the_first_newer_rollout():
    """Guards against engines that skip a version and keep serving an expired one."""
    versions = VersionRollouts(8.0)
    versions.add("m", 2, 10.0)
    versions.add("m", 3, 12.0)
    assert versions.expires_at("m", 1) == 18.0
    assert versions.expires_at("m", 2) == 20.0
    assert versions.expires_at("m", 3) is None


def test_expiry_is_unknown_after_a_rollout_with_unknown_start():
    versions = VersionRollouts(8.0)
    versions.add("m", 2)
    versions.add("m", 3, 12.0)
    assert versions.expires_at("m", 1) is None


def test_rollout_that_is_heard_of_late_is_not_counted_from_its_hearing():
    """Guards against an entry that was cut off and serves an expired version."""
    versions = VersionRollouts(8.0)
    versions.confirm(0, 5, 10.0)
    # Named between 12.0 and 12.5, and read at 14.0 by this process.
    versions.add("m", 2, revision=7)
    versions.confirm(0, 8, 14.0)
    assert versions.min_version("m", 10.0 + 8.0) == 2
    # Another process knows that the store was without it until 12.0.
    versions.record_age("m", 2, 2.1, 14.1)
    assert versions.min_version("m", 19.0) == 0
    assert versions.min_version("m", 20.0) == 2


def test_response_of_another_kind_bounds_the_start():
    versions = VersionRollouts(8.0)
    versions.add("m", 2, revision=7)
    assert versions.min_version("m", 9.0) == 2
    versions.confirm(0, 6, 9.5)
    assert versions.expires_at("m", 1) == 17.5
    versions.confirm(0, 7, 9.9)
    assert versions.expires_at("m", 1) == 17.5


def test_older_rollout_that_is_heard_of_last_decides_the_expiry():
    versions = VersionRollouts(8.0)
    versions.add("m", 3, 14.0)
    assert not versions.add("m", 2, 12.0)
    assert versions.expires_at("m", 1) == 20.0


def test_restored_store_says_nothing_of_revisions_before():
    versions = VersionRollouts(8.0)
    versions.confirm(1, 50, 10.0)
    versions.add("m", 2, revision=60)
    # The copy lacks the version, which is written again under another revision.
    versions.confirm(2, 40, 12.0)
    versions.confirm(2, 41, 12.0 + REWRITE_DELAY_S - 0.1)
    versions.confirm(1, 55, 20.0)
    versions.add("m", 2, revision=45)
    assert versions.expires_at("m", 1) == 18.0
    versions.add("m", 3, revision=46)
    assert versions.min_version("m", 13.0) == 3


NAMED_AT = 50.0
FACTS = st.lists(
    st.one_of(
        st.tuples(st.just("named")),
        st.tuples(st.just("confirmed"), st.floats(0, 100)),
        st.tuples(st.just("reported"), st.floats(0, NAMED_AT), st.floats(0, 100)),
    ),
    max_size=12,
)


def _learn(facts):
    versions = VersionRollouts(8.0)
    for kind, *times in facts:
        if kind == "named":
            versions.add("m", 2, revision=1000)
        elif kind == "confirmed":
            revision = 999 if times[0] < NAMED_AT else 1000
            versions.confirm(0, revision, times[0])
        else:
            started_at, said_after = times
            versions.record_age("m", 2, said_after - started_at, said_after)
    return versions


@given(FACTS, st.randoms())
def test_start_does_not_depend_on_the_order_of_what_is_heard(facts, random):
    """Guards against a start that the first hearing fixes, and one after the naming."""
    facts = [*facts, ("named",)]
    shuffled = [*facts, *random.sample(facts, len(facts) // 2)]
    random.shuffle(shuffled)
    versions, other = _learn(facts), _learn(shuffled)
    ages = [each.age_s("m", 2, 100.0) for each in (versions, other)]
    assert ages[0] == ages[1]
    assert ages[0] is None or ages[0] >= 100.0 - NAMED_AT - 1e-9
    assert versions.min_version("m", NAMED_AT + 8.0) == 2


def test_version_that_is_written_again_keeps_its_start():
    versions = VersionRollouts(8.0)
    versions.confirm(0, 10, 100.0)
    versions.add("model", 2, revision=11)
    versions.confirm(0, 20, 104.0)
    versions.add("model", 2, revision=21)
    assert versions.expires_at("model", 1) == 108.0
