"""Tracks which pieces of a version are verified and checks their digests."""

import hashlib
from dataclasses import dataclass
from typing import final

from bamboolever.net.addresses import Address
from bamboolever.platform.weights import PieceDigests


@dataclass
class PieceSet:
    """Pieces of one version; bit N of ``verified`` stands for piece N."""

    manifest: PieceDigests
    verified: int = 0

    @property
    def count(self) -> int:
        """Number of pieces."""
        return len(self.manifest.digests)

    @property
    def is_complete(self) -> bool:
        """Whether every piece is verified."""
        return self.verified == full_bitmap(self.count)

    def missing(self) -> list[int]:
        """Return the numbers of the pieces that are not verified."""
        return [n for n in range(self.count) if not self.verified >> n & 1]

    def matches(self, number: int, data: bytes) -> bool:
        """Return whether ``data`` has the digest of the piece with this number.

        False if the version has no such piece.
        """
        if not 0 <= number < self.count:
            return False
        return hashlib.sha256(data).digest() == self.manifest.digests[number]

    def add(self, number: int) -> None:
        """Mark a piece as verified."""
        self.verified |= 1 << number

    def discard(self, number: int) -> None:
        """Mark a piece as not verified, so that it counts as missing."""
        self.verified &= ~(1 << number)


# The same bytes that often from one agent make the digest suspect, too. Its piece may
# be the damaged one, but if no one else has it, nothing else would tell.
MAX_REPEATS = 3


@dataclass
class _Mismatch:
    source: Address | None
    digest: bytes
    repeats: int = 1


@final
class DigestMismatches:
    """Pieces that did not have the digest in the manifest.

    Bytes that were damaged on their way differ from each other. The same bytes from the
    origin twice, from two sources, or from one agent `MAX_REPEATS` times, show that the
    digest may be wrong.
    """

    def __init__(self) -> None:
        self._last: dict[int, _Mismatch] = {}

    def add(self, number: int, source: Address | None, data: bytes) -> bool:
        """Record a piece and return whether its digest in the manifest is suspect.

        ``source`` None is the origin.
        """
        mismatch = _Mismatch(source, hashlib.sha256(data).digest())
        last, self._last[number] = self._last.get(number), mismatch
        if last is None or last.digest != mismatch.digest:
            return False
        if source is None or source != last.source:
            return True
        mismatch.repeats = last.repeats + 1
        return mismatch.repeats >= MAX_REPEATS


def full_bitmap(count: int) -> int:
    """Return a bitmap in which the bits of all ``count`` pieces are set."""
    return (1 << count) - 1
