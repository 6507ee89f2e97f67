"""What an agent hands to others while it changes versions."""

from types import SimpleNamespace

import pytest

from bamboolever.daemons.transfer import Transfer
from bamboolever.fleet.records import NamedVersion
from bamboolever.net.addresses import Address
from bamboolever.platform.weights import PieceDigests
from bamboolever.weights.pieces import PieceSet
from bamboolever.weights.plan import make_piece_policy

OLDER, NEWER = NamedVersion("m", 2), NamedVersion("m", 3)


@pytest.fixture
def transfer():
    owner = SimpleNamespace(pool=None, task=None)
    engine = Address("127.0.0.1", 9000)
    made = Transfer(owner, engine, make_piece_policy("region-chain"), lambda: None)
    _move(made, OLDER, 0b111)
    return made


def _move(transfer, named, verified):
    manifest = PieceDigests(named.model, named.version, (b"",) * 4)
    view = SimpleNamespace(pieces=PieceSet(manifest, verified))
    transfer._swarm = SimpleNamespace(view=view, stop=lambda: None)


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
