"""Pieces whose bytes do not have the digest in the manifest."""

import pytest

from bamboolever.net.addresses import Address
from bamboolever.weights.pieces import MAX_REPEATS, DigestMismatches

PEER, OTHER = Address("127.0.0.1", 7000), Address("127.0.0.2", 7000)


@pytest.mark.parametrize(
    ("first", "second"), [(None, None), (PEER, OTHER), (PEER, None), (None, PEER)]
)
def test_same_bytes_from_two_reads_make_the_digest_suspect(first, second):
    mismatches = DigestMismatches()
    assert not mismatches.add(3, first, b"piece")
    assert mismatches.add(3, second, b"piece")


@pytest.mark.parametrize(
    ("source", "number", "data"),
    [(PEER, 3, b"piece"), (None, 3, b"x"), (None, 4, b"p")],
)
def test_damaged_piece_does_not_make_the_digest_suspect(source, number, data):
    mismatches = DigestMismatches()
    assert not mismatches.add(3, PEER, b"piece")
    assert not mismatches.add(number, source, data)


def test_same_bytes_from_the_only_agent_that_has_them_make_the_digest_suspect():
    """Guards against an agent that asks another one for the same piece for ever.

    Its manifest had a wrong digest. The other one had read the manifest again, and was
    the only source of the piece.
    """
    mismatches = DigestMismatches()
    added = [mismatches.add(3, PEER, b"piece") for _ in range(MAX_REPEATS)]
    assert added == [False] * (MAX_REPEATS - 1) + [True]
