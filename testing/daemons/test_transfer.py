"""What an agent hands to others while it changes versions."""

from types import SimpleNamespace

import pytest
from manualtask import ManualPool, ManualTask

from bamboolever.daemons.staging import StagingClient
from bamboolever.daemons.transfer import Transfer
from bamboolever.fleet.exchange import PieceMap
from bamboolever.fleet.records import ModelVersion
from bamboolever.net.addresses import Address
from bamboolever.platform.weights import PieceDigests
from bamboolever.weights.pieces import PieceSet
from bamboolever.weights.plan import make_piece_policy

OLDER, NEWER = ModelVersion("m", 2), ModelVersion("m", 3)


@pytest.fixture
def transfer():
    owner = SimpleNamespace(pool=None, task=None)
    engine = Address("127.0.0.1", 9000)
    made = Transfer(owner, engine, make_piece_policy("region-chain"), lambda: None)
    _move(made, OLDER, 0b111)
    return made


def _move(transfer, named, verified):
    manifest = PieceDigests(named.model, named.version, (b"",) * 4)
    left = []
    view = SimpleNamespace(
        pieces=PieceSet(manifest, verified), mark_inactive=left.append
    )
    transfer._swarm = SimpleNamespace(view=view, stop=lambda: None)
    return left


def _given(transfer, named):
    return {number for number in range(4) if transfer._holds(named, number)}


def test_dropped_version_is_given_until_it_is_written_over(transfer):
    """The half that finished it found its pieces gone and the origin down."""
    transfer.drop()
    assert _given(transfer, OLDER) == {0, 1, 2}
    _move(transfer, NEWER, 0)
    assert _given(transfer, OLDER) == {0, 1, 2}
    transfer._on_overwrite(1)
    assert _given(transfer, OLDER) == {0, 2}
    assert _given(transfer, NEWER) == set()


def test_only_verified_pieces_of_the_version_under_way_are_given(transfer):
    assert _given(transfer, OLDER) == {0, 1, 2}
    assert _given(transfer, NEWER) == set()


def test_peer_that_tells_of_another_version_takes_no_part_in_this_one(transfer):
    peer = Address("127.0.0.2", 7000)
    left = _move(transfer, NEWER, 0)
    transfer.apply_map(peer, PieceMap(OLDER.model, OLDER.version, 0b1, False))
    assert left == [peer]


def test_piece_counts_as_written_over_before_it_is_sent():
    """Told afterwards, a neighbour was promised a piece that was no longer there."""
    pool = ManualPool(ManualTask())
    sent_before = []
    engine = Address("127.0.0.1", 9000)
    stage = StagingClient(
        pool, engine, lambda number: sent_before.append(len(pool.sent))
    )
    stage.put("m", 3, b"data", lambda taken: None)
    assert sent_before == [0]
    assert len(pool.sent) == 1
