"""Pieces that stay staged from the version before."""

from bamboolever.fleet.records import ModelVersion
from bamboolever.platform.weights import PieceDigests
from bamboolever.weights.pieces import PieceSet
from bamboolever.weights.retained import RetainedPieces

VERSION, OTHER = ModelVersion("m", 2), ModelVersion("other", 2)


def test_verified_pieces_of_a_transfer_are_retained_until_overwritten():
    retained = RetainedPieces()
    assert not retained.has(VERSION, 0)
    retained.take(PieceSet(PieceDigests("m", 2, (b"",) * 3), verified=0b101))
    assert [retained.has(VERSION, number) for number in range(3)] == [True, False, True]
    retained.on_overwrite(2)
    assert not retained.has(VERSION, 2)
    assert not retained.has(OTHER, 0)


def test_nothing_is_retained_while_the_list_of_staged_pieces_is_unknown():
    retained = RetainedPieces()
    retained.adopt(VERSION, frozenset({0, 2}))
    assert retained.bitmap == 0b101
    retained.adopt(VERSION, None)
    assert retained.version is None
    assert not retained.has(VERSION, 0)
