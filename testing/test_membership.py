"""Tests of the fleet's members when the instance list lags or loses instances."""

from builders import make_record
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboolever._membership import SHRINK_CONFIRM_S, Membership

ALL_IDS = [f"i{n}" for n in range(8)]
instance_ids = st.sampled_from(ALL_IDS)


class MembershipMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.membership = Membership()
        self.departed = set()
        self.connected = set()
        self.now = 0.0

    @rule(listed=st.sets(instance_ids))
    def receive_list(self, listed):
        self.now += 1
        before = {m.record.instance_id for m in self.membership.members(role="agent")}
        records = [make_record(name) for name in listed]
        is_accepted = self.membership.apply_list(records, self.now)
        after = {m.record.instance_id for m in self.membership.members(role="agent")}
        assert set(listed) <= after
        if not is_accepted:
            assert before <= after

    @rule(name=instance_ids)
    def connect(self, name):
        self.membership.on_connected(name)
        self.connected.add(name)

    @rule(name=instance_ids)
    def disconnect(self, name):
        self.membership.on_disconnected(name)
        self.connected.discard(name)

    @rule(name=instance_ids)
    def leave(self, name):
        self.membership.on_leaving(name)
        self.departed.add(name)

    @invariant()
    def a_departure_is_final(self):
        for member in self.membership.members(role="agent"):
            if member.record.instance_id in self.departed:
                assert member.is_leaving


TestMembership = MembershipMachine.TestCase


def test_a_list_that_lost_most_members_is_held_back():
    membership = Membership()
    membership.apply_list([make_record(name) for name in ALL_IDS], 0.0)
    assert not membership.apply_list([], 1.0)
    assert len(membership.members(role="agent")) == len(ALL_IDS)


def test_a_shrunken_list_is_accepted_after_a_while():
    membership = Membership()
    membership.apply_list([make_record(name) for name in ALL_IDS], 0.0)
    membership.apply_list([make_record("i0")], 1.0)
    membership.apply_list([make_record("i0")], 2.0 + SHRINK_CONFIRM_S)
    assert len(membership.members(role="agent")) == 1


def test_a_connected_instance_stays_when_the_list_lacks_it():
    membership = Membership()
    membership.apply_list([make_record(name) for name in ALL_IDS], 0.0)
    membership.on_connected("i3")
    membership.apply_list([make_record(n) for n in ALL_IDS if n != "i3"], 1.0)
    assert membership.get("i3") is not None
