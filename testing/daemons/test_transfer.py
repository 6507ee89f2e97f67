"""Which pieces an agent serves to others while it changes versions."""

from types import SimpleNamespace

import pytest
from manualtask import ManualPool, ManualTask

from bamboolever.config.model import WeightOrigin
from bamboolever.daemons.staging import StagingClient
from bamboolever.daemons.transfer import Transfer
from bamboolever.fleet.messages import PieceMap
from bamboolever.fleet.records import ModelVersion
from bamboolever.net.addresses import Address
from bamboolever.platform import names
from bamboolever.platform.weights import PieceDigests
from bamboolever.weights.pieces import PieceSet
from bamboolever.weights.plan import make_piece_policy
from bamboolever.weights.view import Peer

OLDER, NEWER = ModelVersion("m", 2), ModelVersion("m", 3)


@pytest.fixture
def transfer():
    context = SimpleNamespace(pool=None, task=None)
    engine = Address("127.0.0.1", 9000)
    transfer = Transfer(
        context, engine, make_piece_policy("region-chain"), lambda: None
    )
    _transfer_version(transfer, OLDER, 0b111)
    return transfer


def _transfer_version(transfer, model_version, verified):
    manifest = PieceDigests(model_version.model, model_version.version, (b"",) * 4)
    inactive = []
    view = SimpleNamespace(
        pieces=PieceSet(manifest, verified), mark_inactive=inactive.append
    )
    transfer._swarm = SimpleNamespace(view=view, stop=lambda: None)
    return inactive


def _served_pieces(transfer, model_version):
    return {number for number in range(4) if transfer._has_piece(model_version, number)}


def test_pieces_of_a_dropped_version_are_served_until_overwritten(transfer):
    """Guards against a transfer that stalled while the origin was down.

    One half of the agents was still finishing the older version, but the other half
    had dropped it and no longer served its pieces.
    """
    transfer.drop()
    assert _served_pieces(transfer, OLDER) == {0, 1, 2}
    _transfer_version(transfer, NEWER, 0)
    assert _served_pieces(transfer, OLDER) == {0, 1, 2}
    transfer._on_overwrite(1)
    assert _served_pieces(transfer, OLDER) == {0, 2}
    assert _served_pieces(transfer, NEWER) == set()


def test_only_verified_pieces_of_the_version_in_transfer_are_served(transfer):
    assert _served_pieces(transfer, OLDER) == {0, 1, 2}
    assert _served_pieces(transfer, NEWER) == set()


def test_peer_that_announces_another_version_is_inactive_in_this_one(transfer):
    peer = Address("127.0.0.2", 7000)
    inactive = _transfer_version(transfer, NEWER, 0)
    transfer.apply_piece_map(peer, PieceMap(OLDER.model, OLDER.version, 0b1, False))
    assert inactive == [peer]


def test_piece_counts_as_overwritten_before_its_replacement_is_sent():
    """Guards against announcing a piece that is no longer staged.

    This happened when the piece was marked only after the replacement was sent.
    """
    pool = ManualPool(ManualTask())
    sent_counts = []
    engine = Address("127.0.0.1", 9000)
    staging = StagingClient(
        pool, engine, lambda number: sent_counts.append(len(pool.sent))
    )
    staging.put("m", 3, b"data", lambda is_accepted: None)
    assert sent_counts == [0]
    assert len(pool.sent) == 1


@pytest.mark.parametrize("is_list_known", [False, True])
def test_transfer_starts_once_the_other_agents_are_known(is_list_known):
    """Guards against pieces that were read from the origin by several agents.

    An agent that learned of the version before it had the list of upstreams took
    itself for the only agent, and read all pieces.
    """
    task = ManualTask()
    pool = ManualPool(task)
    context = SimpleNamespace(
        pool=pool,
        task=task,
        origin=lambda: WeightOrigin(Address("127.0.0.1", 9100), "zone-a", 1e6, 8),
        can_plan_transfer=lambda: is_list_known,
        own_peer=lambda: Peer(Address("127.0.0.1", 7000), "region-1"),
        peers=list,
        region_of=lambda availability_zone: "region-1",
    )
    engine = Address("127.0.0.1", 9000)
    policy = make_piece_policy("region-chain")
    transfer = Transfer(context, engine, policy, lambda: None)
    transfer.start("m", 2, lambda model_version: True)
    assert len(pool.sent) == int(is_list_known)


class Agent:
    """The transfer of one of several agents of a region, on a task of its own."""

    def __init__(self, number, count):
        self.task = ManualTask()
        self.pool = ManualPool(self.task)
        members = [
            Peer(Address(f"127.0.0.{each + 1}", 7000), "region-1")
            for each in range(count)
        ]
        own = members.pop(number)
        origin = WeightOrigin(Address("127.0.0.99", 9100), "zone-a", 1e6, 8)
        context = SimpleNamespace(
            pool=self.pool,
            task=self.task,
            origin=lambda: origin,
            can_plan_transfer=lambda: True,
            own_peer=lambda: own,
            peers=lambda: members,
            region_of=lambda availability_zone: "region-1",
            upload_count=lambda: 0,
            announce_pieces=lambda piece_map, addresses: None,
        )
        engine = Address("127.0.0.1", 9000)
        policy = make_piece_policy("region-chain")
        self.transfer = Transfer(context, engine, policy, self.start)

    def start(self):
        self.transfer.start(OLDER.model, OLDER.version, lambda model_version: True)

    @property
    def origin_calls(self):
        """Indexes of the calls for the manifest that went to the origin."""
        targets = self.pool.targets
        return [
            index
            for index, target in enumerate(targets)
            if target.startswith(names.MANIFEST_PATH)
        ]


def test_slow_manifest_is_used_when_it_arrives():
    """Guards against an agent that had all pieces and served nothing for 14 s.

    All agents asked the origin at once. Each cancelled its call after a second, and
    asked again for what was on its way.
    """
    agent = Agent(0, 1)
    agent.start()
    agent.task.advance(2.0)
    digests = ["00" * 32] * 4
    agent.pool.respond(
        agent.origin_calls[0],
        model=OLDER.model,
        version=OLDER.version,
        digests=digests,
    )
    assert agent.transfer.is_started


def test_few_agents_of_a_region_ask_the_origin_for_the_manifest():
    """Guards against agents that waited for each other's manifests at the origin."""
    agents = [Agent(number, 15) for number in range(15)]
    for agent in agents:
        agent.start()
    asked = [agent for agent in agents if agent.origin_calls]
    assert 1 <= len(asked) <= 2
