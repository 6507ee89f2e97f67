"""Store watches shared among the entries of a cell."""

from types import SimpleNamespace

import pytest

from bamboolever.config.kindstate import Snapshot
from bamboolever.config.sharing import WatchResult
from bamboolever.daemons.storerelay import StoreRelay
from bamboolever.fleet.messages import EntryLoad
from bamboolever.fleet.peers import PeerLoads
from bamboolever.net.addresses import Address

CONFIGURATION_TIMEOUT_S = 2.0
ADDRESSES = [Address(f"10.0.0.{number}", 7000) for number in range(1, 6)]


class Member:
    """One entry of a cell, on a clock of its own."""

    def __init__(self, address):
        self.address = address
        self.now = 100.0
        self.has_lost_store = False
        self.sent = []
        self.applied = []
        peers = PeerLoads(address)
        self.fleet = SimpleNamespace(peers=peers, own_cell="zone/0", started_ms=7)
        self.relay = StoreRelay(
            lambda: self.now,
            address,
            self.fleet,
            "config",
            lambda message, to: self.sent.append((message, to)),
            CONFIGURATION_TIMEOUT_S,
        )
        self.watch = watch = SimpleNamespace(
            kind="config",
            apply_shared=self.applied.append,
            is_reachable=True,
            is_receiving=False,
            snapshot=lambda: Snapshot(0, 5, 5, (), None),
        )
        self.relay.add_watch(watch)

    def hear(self, *members, sequence=1):
        for member in members:
            load = EntryLoad(
                str(member.address),
                7,
                sequence,
                {},
                cell="zone/0",
                has_lost_store=member.has_lost_store,
            )
            self.fleet.peers.apply(member.address, load, self.now)
            member.relay.on_load_sent(sequence, member.now)

    def publish(self, as_of):
        self.relay.publish(WatchResult("config", 0, 5, 5, b"", as_of))
        sent, self.sent = self.sent, []
        return {to: message for message, to in sent}


@pytest.fixture
def members():
    members = [Member(address) for address in ADDRESSES]
    for member in members:
        member.hear(*[other for other in members if other is not member])
    return members


def _callers(members):
    return [
        member for member in members if member.relay.call_delay_s(member.now) == 0.0
    ]


def test_one_entry_of_a_cell_watches_the_store(members):
    assert len(_callers(members)) == 1


def test_entry_without_peers_watches_the_store():
    member = Member(ADDRESSES[0])
    assert member.relay.call_delay_s(member.now) == 0.0


def test_others_take_over_in_time_from_an_entry_that_fell_silent(members):
    """Guards against a changed configuration that came too late.

    The store refused the watching entry just before a change was acknowledged; the next
    entry called it 2.8 s later, and the change had to be in force after 2 s.
    """
    (watching,) = _callers(members)
    others = [member for member in members if member is not watching]
    delays = [member.relay.call_delay_s(member.now) for member in others]
    assert len(set(delays)) > 1
    assert max(delays) <= 0.9 * CONFIGURATION_TIMEOUT_S
    for member in others:
        member.now += min(delays) + 0.01
        member.hear(*[other for other in members if other is not member], sequence=2)
    assert len(_callers(others)) == 1


def test_entry_that_lost_the_store_is_passed_over_at_once(members):
    (watching,) = _callers(members)
    watching.has_lost_store = True
    others = [member for member in members if member is not watching]
    for member in others:
        member.hear(watching, sequence=2)
    assert len(_callers(others)) == 1


def test_confirmation_from_a_peer_puts_the_call_off(members):
    (watching,) = _callers(members)
    follower = next(member for member in members if member is not watching)
    before = follower.relay.call_delay_s(follower.now)
    for member in members:
        member.now += 1.0
    watching.hear(follower, sequence=2)
    update = watching.publish(as_of=watching.now)[follower.address]
    follower.relay.on_update(update, watching.address, follower.now)
    assert follower.relay.call_delay_s(follower.now) == pytest.approx(before, abs=0.01)


def test_delayed_confirmation_does_not_count_as_fresh(members):
    """An update that waited while its receiver was suspended is as old as it is.

    Its age counts from the receiver's own load, which the update names.
    """
    watching, follower = members[0], members[1]
    watching.hear(follower, sequence=2)
    watching.now += 0.2
    update = watching.publish(as_of=watching.now - 0.5)[follower.address]
    follower.now += 20.0
    follower.relay.on_update(update, watching.address, follower.now)
    (result,) = follower.applied
    assert result.as_of <= 100.0 + 0.2 - 0.5


def test_confirmation_that_names_no_load_of_this_process_is_not_counted(members):
    watching, follower = members[0], members[1]
    update = watching.publish(as_of=watching.now)[follower.address]
    follower.fleet.started_ms = 8
    follower.relay.on_update(update, watching.address, follower.now)
    (result,) = follower.applied
    assert result.as_of is None


def test_response_that_is_arriving_puts_the_call_of_others_off(members):
    """Guards against entries that all read the same large response at once."""
    (watching,) = _callers(members)
    follower = next(member for member in members if member is not watching)
    watching.hear(follower, sequence=2)
    before = follower.relay.call_delay_s(follower.now)
    for member in members:
        member.now += 1.0
    watching.watch.is_receiving = True
    watching.hear(follower, sequence=3)
    watching.relay.on_load_sent(2, watching.now)
    updates = [message for message, to in watching.sent if to == follower.address]
    (update,) = updates
    assert update.confirmed_age_s is None
    follower.relay.on_update(update, watching.address, follower.now)
    assert follower.relay.call_delay_s(follower.now) == pytest.approx(before, abs=0.01)
    (result,) = follower.applied
    assert result.as_of is None
    watching.relay.on_load_sent(3, watching.now + 0.1)
    assert len(watching.sent) == len(members) - 1


def test_response_that_arrives_too_slowly_does_not_keep_others_from_the_store(members):
    """Guards against a cell that stays behind with the entry that watches for it."""
    (watching,) = _callers(members)
    watching.watch.is_receiving = True
    follower = next(member for member in members if member is not watching)
    for sequence in range(2, 12):
        follower.hear(watching, sequence=sequence)
        watching.hear(follower, sequence=sequence)
        watching.relay.on_load_sent(sequence, watching.now)
        for update in _updates(watching, follower):
            follower.relay.on_update(update, watching.address, follower.now)
        for member in members:
            member.now += 0.5
    assert follower.relay.call_delay_s(follower.now) == 0.0


def _updates(sender, receiver):
    return [message for message, to in sender.sent if to == receiver.address]


def test_peer_that_has_just_heard_from_the_store_is_not_passed_over(members):
    """What it heard may be old, as a large response takes long to arrive."""
    (watching,) = _callers(members)
    follower = next(member for member in members if member is not watching)
    before = follower.relay.call_delay_s(follower.now)
    for member in members:
        member.now += 1.5
    watching.hear(follower, sequence=2)
    update = watching.publish(as_of=watching.now - 1.5)[follower.address]
    follower.relay.on_update(update, watching.address, follower.now)
    assert follower.relay.call_delay_s(follower.now) == pytest.approx(before, abs=0.01)


def test_part_of_an_update_confirms_nothing(members):
    """Guards against keys that are trusted although a later part was lost."""
    watching, follower = members[0], members[1]
    watching.hear(follower, sequence=2)
    update = watching.publish(as_of=None)[follower.address]
    follower.relay.on_update(update, watching.address, follower.now)
    (result,) = follower.applied
    assert result.as_of is None
