"""Rendezvous hashing: selects stable, evenly spread subsets without shared state.

Every process that knows the same members makes the same choice.
"""

import functools
import hashlib
from collections.abc import Iterable

# Enough for the pieces times the agents of one version, with room for the next.
MAX_CACHED_SCORES = 16_384
SCORE_BITS = 64


@functools.lru_cache(maxsize=MAX_CACHED_SCORES)
def score_member(key: str, member: str) -> int:
    """Return the member's score for ``key``, an integer of 64 bits.

    The member with the highest score comes first.
    """
    digest = hashlib.blake2b(
        f"{key}\0{member}".encode(), digest_size=SCORE_BITS // 8
    ).digest()
    return int.from_bytes(digest, "big")


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by descending score for ``key``.

    >>> rank_members("k", ["a", "b"]) == rank_members("k", ["b", "a"])
    True
    """
    return sorted(members, key=lambda member: (-score_member(key, member), member))


def select_subset(key: str, members: Iterable[str], size: int) -> list[str]:
    """Return the ``size`` members with the highest scores for ``key``.

    A member that joins or leaves replaces at most one member of the subset.
    """
    return rank_members(key, members)[:size]
