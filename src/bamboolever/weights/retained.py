"""Tracks the staged pieces of the version before the one being transferred.

Load pattern: half of a fleet drops a version that the other half still finishes. Other
agents may fetch its pieces from here until the newer version overwrites them.
"""

from typing import final

from bamboolever.fleet.records import ModelVersion
from bamboolever.platform.weights import PieceDigests
from bamboolever.weights.pieces import PieceSet


@final
class RetainedPieces:
    """Staged pieces of an earlier version; bit N of ``bitmap`` stands for piece N.

    ``version`` is None while there are none. ``manifest`` is None if it is not known,
    as for pieces that were staged before the agent started.
    """

    def __init__(self) -> None:
        self.version: ModelVersion | None = None
        self.bitmap = 0
        self.manifest: PieceDigests | None = None

    def take(self, pieces: PieceSet) -> None:
        """Retain the verified pieces of a transfer that ends."""
        self.manifest = pieces.manifest
        self.version = ModelVersion(pieces.manifest.model, pieces.manifest.version)
        self.bitmap = pieces.verified

    def adopt(self, version: ModelVersion, numbers: frozenset[int] | None) -> None:
        """Retain pieces that were found staged; none if their list is not known."""
        self.version = version if numbers is not None else None
        self.bitmap = sum(1 << number for number in numbers or ())

    def on_overwrite(self, number: int) -> None:
        """Forget a piece that is about to be overwritten."""
        self.bitmap &= ~(1 << number)

    def has(self, version: ModelVersion, number: int) -> bool:
        """Return whether the piece of a version is retained."""
        return self.version == version and bool(self.bitmap >> number & 1)
