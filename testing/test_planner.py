"""Tests the distribution policies of several agents together, with failing sources.

Every instance must get every chunk, and the origin must not send more copies than the
cap, also if fetches fail, agents die and the platform loses requests and responses.
"""

import pytest
from builders import FakePlatform, make_location, make_manifest, make_transfer_view
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboolever._chunkstore import MemoryChunkStore
from bamboolever._grants import GrantRequest
from bamboolever._planner import (
    FetchFromOrigin,
    FetchFromPeer,
    PeerView,
    RequestGrant,
    iterate_bits,
)
from bamboolever._platform import PlatformError
from bamboolever._policies import (
    ORIGIN_SOURCE,
    POLICIES,
    BudgetedPolicy,
    make_policy,
)
from bamboolever._transfer import _obtain_grant

LOCATIONS = [
    make_location("a1", "cape"),
    make_location("a2", "cape"),
    make_location("b1", "gauteng"),
    make_location("b2", "gauteng"),
    make_location("c1", "kzn"),
]
MANIFEST = make_manifest(chunk_count=6)


class Node:
    """One agent's view and policy, and its fetches in flight."""

    def __init__(self, location, policy, aim):
        self.view = make_transfer_view(
            location.instance_id, LOCATIONS, MANIFEST, aim=aim
        )
        self.policy = policy
        self.pending = []
        self.is_alive = True


class Fleet:
    """Carries out planned actions on the views; counts chunks sent by the origin."""

    def __init__(self, policy="budgeted", aim="time-to-n"):
        self.now = 0.0
        self.platform = FakePlatform()
        self.origin_chunks = 0
        self.imported = {}
        self.nodes = {
            location.instance_id: Node(location, make_policy(policy, index), aim)
            for index, location in enumerate(LOCATIONS)
        }

    def list_alive(self):
        return [node for node in self.nodes.values() if node.is_alive]

    def plan(self, node):
        self.connect(node)
        for action in node.policy.plan(node.view, self.now):
            self.start(node, action)

    def connect(self, node):
        view = node.view
        wanted = set(node.policy.wanted_peers(view))
        for peer_id in list(view.peers):
            if peer_id not in self.nodes or not self.nodes[peer_id].is_alive:
                del view.peers[peer_id]
        for peer_id in wanted:
            other = self.nodes.get(peer_id)
            if other is not None and other.is_alive:
                peer = view.peers.setdefault(peer_id, PeerView(other.view.location))
                peer.held_chunks = other.view.held_chunks

    def start(self, node, action):
        if isinstance(action, RequestGrant):
            self.request_grant(node, action)
            return
        is_origin = isinstance(action, FetchFromOrigin)
        source = ORIGIN_SOURCE if is_origin else action.peer_id
        if action.index in node.view.in_flight:
            return
        node.view.in_flight[action.index] = source
        if is_origin:
            for state in node.view.grants:
                state.origin_budget.discard(action.index)
            self.origin_chunks += 1
        node.pending.append(action)

    def request_grant(self, node, action):
        view = node.view
        state = view.grants[action.segment]
        request = GrantRequest(
            view.location.instance_id,
            view.location.region,
            action.missing,
            len(action.missing),
            view.segment_masks[action.segment].bit_count(),
            view.aim,
            view.origin_copies,
            action.dead_holders,
            action.is_origin_copy_wanted,
        )
        try:
            result = _obtain_grant(self.platform, f"s{action.segment}", request)
        except PlatformError:
            state.retry_at = self.now + 1.0
            return
        state.grants = result.grants
        state.retry_at = self.now + (1.0 if result.grants.origin else 0.2)
        state.origin_budget |= result.new_indexes
        state.is_origin_copy_denied = (
            action.is_origin_copy_wanted and not result.new_indexes
        )
        if result.new_indexes:
            view.progress_at[action.segment] = self.now

    def finish(self, node, action, has_succeeded):
        node.pending.remove(action)
        node.view.in_flight.pop(action.index, None)
        if not has_succeeded:
            if isinstance(action, FetchFromPeer):
                peer = node.view.peers.get(action.peer_id)
                if peer is not None:
                    peer.retry_at = self.now + 1.0
            return
        if isinstance(action, FetchFromPeer):
            source = self.nodes[action.peer_id]
            # The oracle: no peer sends a chunk that it does not hold.
            assert source.view.held_chunks >> action.index & 1
            if source.view.location.region != node.view.location.region:
                key = (node.view.location.region, action.index)
                self.imported[key] = self.imported.get(key, 0) + 1
        node.view.add_chunk(action.index, self.now)

    def kill(self, name):
        self.nodes[name].is_alive = False
        self.nodes[name].pending.clear()
        fleet = {
            n.view.location.instance_id: n.view.location for n in self.list_alive()
        }
        for node in self.list_alive():
            node.view.set_fleet(fleet)

    def run_to_end(self, seconds=60.0):
        end = self.now + seconds
        while self.now < end:
            for node in self.list_alive():
                for action in list(node.pending):
                    self.finish(node, action, True)
                self.plan(node)
            if all(node.view.is_complete for node in self.list_alive()):
                return
            self.now += 0.25


class TransferMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.killed = 0

    @rule(name=st.sampled_from([p.instance_id for p in LOCATIONS]))
    def plan(self, name):
        if self.fleet.nodes[name].is_alive:
            self.fleet.plan(self.fleet.nodes[name])

    @rule(data=st.data(), has_succeeded=st.booleans())
    def end_fetch(self, data, has_succeeded):
        pending = [(n, a) for n in self.fleet.list_alive() for a in n.pending]
        if pending:
            node, action = data.draw(st.sampled_from(pending))
            self.fleet.finish(node, action, has_succeeded)

    @rule(step=st.sampled_from([0.1, 1.0, 4.0]))
    def advance_time(self, step):
        self.fleet.now += step

    @rule(fault=st.sampled_from(["lose_answers", "lose_requests"]))
    def lose_platform_message(self, fault):
        setattr(self.fleet.platform, fault, 1)

    @rule(is_down=st.booleans())
    def set_platform_down(self, is_down):
        self.fleet.platform.is_down = is_down

    @rule(name=st.sampled_from([p.instance_id for p in LOCATIONS]))
    def kill_agent(self, name):
        if self.killed < 2 and self.fleet.nodes[name].is_alive:
            self.killed += 1
            self.fleet.kill(name)

    @invariant()
    def the_origin_cap_holds(self):
        assert self.fleet.origin_chunks <= 4 * len(MANIFEST.chunks)

    @invariant()
    def held_chunks_belong_to_the_manifest(self):
        for node in self.fleet.nodes.values():
            indexes = list(iterate_bits(node.view.held_chunks))
            assert all(0 <= index < len(MANIFEST.chunks) for index in indexes)


TestTransfer = TransferMachine.TestCase
TestTransfer.settings = settings(max_examples=40, stateful_step_count=40)


@pytest.mark.parametrize("aim", ["time-to-n", "origin-bytes"])
def test_without_faults_all_instances_complete_within_the_limits(aim):
    fleet = Fleet(aim=aim)
    fleet.run_to_end()
    chunk_count = len(MANIFEST.chunks)
    assert all(node.view.is_complete for node in fleet.nodes.values())
    copies = fleet.origin_chunks / chunk_count
    assert copies <= (1.1 if aim == "origin-bytes" else 3.0)
    # Each chunk enters a region at most once, from the origin or another region.
    assert all(count == 1 for count in fleet.imported.values())


@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_every_policy_completes_without_faults(policy):
    fleet = Fleet(policy=policy)
    fleet.run_to_end()
    assert all(node.view.is_complete for node in fleet.nodes.values())


@pytest.mark.parametrize("name", [p.instance_id for p in LOCATIONS])
def test_a_holder_that_dies_is_replaced(name):
    fleet = Fleet(aim="origin-bytes")
    for node in fleet.list_alive():
        fleet.plan(node)
    fleet.kill(name)
    fleet.run_to_end()
    assert all(node.view.is_complete for node in fleet.list_alive())
    assert fleet.origin_chunks <= 4 * len(MANIFEST.chunks)


def test_nothing_is_read_from_the_origin_while_the_platform_is_down():
    fleet = Fleet()
    fleet.platform.is_down = True
    fleet.run_to_end(seconds=20.0)
    assert fleet.origin_chunks == 0
    fleet.platform.is_down = False
    fleet.run_to_end()
    assert all(node.view.is_complete for node in fleet.list_alive())


def test_an_unlisted_holder_is_not_taken_for_dead():
    view = make_transfer_view("a1", LOCATIONS[:1], MANIFEST)
    state = view.grants[0]
    request = GrantRequest("a2", "cape", (0,), 1, 1, "time-to-n", 4)
    state.grants = state.grants.grant(request)
    actions = BudgetedPolicy().plan(view, 2.0)
    assert not any(isinstance(a, RequestGrant) and a.segment == 0 for a in actions)


def test_a_chunk_with_another_digest_is_not_stored():
    store = MemoryChunkStore()
    digest = MANIFEST.chunks[0].digest
    assert not store.add(digest, b"corrupt")
    assert store.get(digest) is None
