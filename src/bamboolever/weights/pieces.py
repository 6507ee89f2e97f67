"""Pieces of one version: which are verified, missing or under way."""

import hashlib
from dataclasses import dataclass

from bamboolever.platform.weights import PieceDigests


@dataclass
class PieceSet:
    """Pieces of one version; bit N of a bitmap stands for piece N."""

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
        """Tell whether ``data`` is the piece with this number."""
        if not 0 <= number < self.count:
            return False
        return hashlib.sha256(data).digest() == self.manifest.digests[number]

    def add(self, number: int) -> None:
        """Note a verified piece."""
        self.verified |= 1 << number

    def discard(self, number: int) -> None:
        """Note that a piece turned out bad."""
        self.verified &= ~(1 << number)


def full_bitmap(count: int) -> int:
    """Return the bitmap of all of ``count`` pieces."""
    return (1 << count) - 1
