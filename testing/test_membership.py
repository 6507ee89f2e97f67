"""Membership: lagging lists joined with instances' own words."""

from builders import make_record
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboolever._membership import SHRINK_CONFIRM_S, Membership

IDS = [f"i{n}" for n in range(8)]
some_id = st.sampled_from(IDS)


class MembershipMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.membership = Membership()
        self.left = set()
        self.connected = set()
        self.now = 0.0

    @rule(listed=st.sets(some_id))
    def hear_list(self, listed):
        self.now += 1
        before = {m.record.instance_id for m in self.membership.members(role="agent")}
        records = [make_record(name) for name in listed]
        is_taken = self.membership.apply_list(records, self.now)
        after = {m.record.instance_id for m in self.membership.members(role="agent")}
        assert set(listed) <= after
        if not is_taken:
            assert before <= after

    @rule(name=some_id)
    def connect(self, name):
        self.membership.on_connected(name)
        self.connected.add(name)

    @rule(name=some_id)
    def disconnect(self, name):
        self.membership.on_disconnected(name)
        self.connected.discard(name)

    @rule(name=some_id)
    def leave(self, name):
        self.membership.on_leaving(name)
        self.left.add(name)

    @invariant()
    def a_leaving_instance_never_comes_back(self):
        for member in self.membership.members(role="agent"):
            if member.record.instance_id in self.left:
                assert member.is_leaving


TestMembership = MembershipMachine.TestCase


def test_a_list_that_suddenly_shrinks_does_not_empty_the_fleet():
    membership = Membership()
    membership.apply_list([make_record(name) for name in IDS], 0.0)
    assert not membership.apply_list([], 1.0)
    assert len(membership.members(role="agent")) == len(IDS)


def test_a_fleet_that_stays_small_is_believed_after_a_while():
    membership = Membership()
    membership.apply_list([make_record(name) for name in IDS], 0.0)
    membership.apply_list([make_record("i0")], 1.0)
    membership.apply_list([make_record("i0")], 2.0 + SHRINK_CONFIRM_S)
    assert len(membership.members(role="agent")) == 1


def test_a_connected_instance_outlives_its_row():
    membership = Membership()
    membership.apply_list([make_record(name) for name in IDS], 0.0)
    membership.on_connected("i3")
    membership.apply_list([make_record(n) for n in IDS if n != "i3"], 1.0)
    assert membership.get("i3") is not None
