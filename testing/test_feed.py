"""Tests that the feed's documents never revert and follow those of the platform.

Snapshots and changes may be late, repeated, out of order or incomplete.
"""

import pytest
from builders import make_rollout_object
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bamboolever._documents import DocumentKey
from bamboolever._feed import ConfigurationFeed
from bamboolever._platform import StoredObject

NAMES = st.sampled_from(["engraver", "orders", "admin"])


class FeedMachine(RuleBasedStateMachine):
    """Two feeds receive the snapshots and changes of one platform.

    These arrive late, repeated, out of order and with gaps. One feed also gets the
    objects of the other.
    """

    def __init__(self):
        super().__init__()
        self.revision = 0
        self.platform = {}
        self.history = []
        self.feeds = [ConfigurationFeed(), ConfigurationFeed()]
        self.highest_revisions = [{}, {}]

    @rule(name=NAMES)
    def change(self, name):
        self.revision += 1
        stored = make_rollout_object(f"v{self.revision}", self.revision, name)
        self.platform[name] = stored
        self.history.append(stored)

    @precondition(lambda self: self.platform)
    @rule(data=st.data())
    def delete(self, data):
        name = data.draw(st.sampled_from(sorted(self.platform)))
        self.revision += 1
        del self.platform[name]
        self.history.append(
            StoredObject("rollouts", name, self.revision, b"", is_deleted=True)
        )

    @rule(index=st.integers(0, 1))
    def apply_snapshot(self, index):
        objects = list(self.platform.values())
        self.feeds[index].apply_snapshot(self.revision, objects)
        names = {name for name, _ in self.feeds[index].list_documents("rollouts")}
        assert names == set(self.platform)

    @precondition(lambda self: self.history)
    @rule(index=st.integers(0, 1), data=st.data())
    def apply_old_snapshot(self, index, data):
        until = data.draw(st.integers(0, len(self.history)))
        state = {}
        for stored in self.history[:until]:
            state[stored.name] = stored
        live = [stored for stored in state.values() if not stored.is_deleted]
        self.feeds[index].apply_snapshot(until, live)

    @precondition(lambda self: self.history)
    @rule(index=st.integers(0, 1), data=st.data())
    def apply_changes(self, index, data):
        start = data.draw(st.integers(0, len(self.history)))
        end = data.draw(st.integers(start, len(self.history)))
        self.feeds[index].apply_changes(start, end, self.history[start:end])

    @rule()
    def apply_objects_of_the_other_feed(self):
        source, target = self.feeds
        target.apply_changes(0, source.revision, source.stored)

    @invariant()
    def no_document_reverts(self):
        for feed, highest in zip(self.feeds, self.highest_revisions, strict=True):
            for name in ("engraver", "orders", "admin"):
                revision = feed.get_revision("rollouts", name)
                assert revision >= highest.get(name, 0)
                highest[name] = revision

    @rule()
    def apply_first_change_again(self):
        """A deleted document once came back this way.

        The feed had a snapshot without the document and kept no tombstone for it.
        """
        if self.history:
            first = self.history[0]
            self.feeds[0].apply_changes(0, first.revision, [first])

    @invariant()
    def documents_in_force_are_as_new_as_the_revision(self):
        for feed in self.feeds:
            latest = {s.name: s for s in self.history[: feed.revision]}
            for name, stored in latest.items():
                in_force = feed.get("rollouts", name) is not None
                revision = feed.get_revision("rollouts", name)
                if stored.is_deleted:
                    assert not in_force or revision > stored.revision
                else:
                    assert revision >= stored.revision


TestFeed = FeedMachine.TestCase


def test_a_document_that_fails_its_checks_does_not_replace_a_valid_one():
    feed = ConfigurationFeed()
    feed.apply_snapshot(1, [make_rollout_object("v1", 1)])
    bad = StoredObject("rollouts", "engraver", 2, b'{"service": 3}')
    feed.apply_changes(1, 2, [bad])
    assert feed.get("rollouts", "engraver").version == "v1"
    assert feed.refused[0].key == DocumentKey("rollouts", "engraver")
    feed.apply_changes(2, 3, [make_rollout_object("v3", 3)])
    assert feed.refused == []


@pytest.mark.parametrize("from_revision", [1, 5])
def test_a_gap_in_the_changes_is_detected(from_revision):
    assert ConfigurationFeed().apply_changes(from_revision, 9, []) is None


def test_a_drain_is_not_checked_as_a_document():
    feed = ConfigurationFeed()
    drain = StoredObject("drains", "engraver-1", 1, b"{}")
    assert feed.apply_snapshot(1, [drain]) == [DocumentKey("drains", "engraver-1")]
    assert feed.refused == []
    assert feed.is_present("drains", "engraver-1")
    feed.apply_snapshot(2, [])
    assert not feed.is_present("drains", "engraver-1")
