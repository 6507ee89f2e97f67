"""Decides which instance may bring a segment of a version into its region.

`SegmentGrants` holds the grants made for one segment so far. It takes the request of an
instance and returns the grants with the new ones added, or itself if the request is
denied. An `ImportGrant` lets one instance per region fetch the segment from other
regions. An `OriginGrant` lets the holder of the import read chunks from the origin.

Load pattern: all instances of a service fetch a new version at the same time, and the
origin is slow. The bytes read from it are therefore capped at a number of copies.

The chunks of a version form segments, and each segment's grants are one object in the
platform. It is changed by conditional writes only and lists every origin read that was
ever allowed. Bytes are granted before they are read and never returned, so the cap
holds even if holders fail.
"""

import json
from dataclasses import dataclass
from typing import Any, final

GRANT_KIND = "grants"
MAX_SEGMENTS = 16


class GrantError(ValueError):
    """A stored grants object is invalid."""


@dataclass(frozen=True)
class OriginGrant:
    """Permission for ``holder`` to read these chunks from the origin once each.

    ``indexes`` are those of the chunks and ``byte_count`` is their size in all.
    """

    holder: str
    region: str
    indexes: tuple[int, ...]
    byte_count: int


@dataclass(frozen=True)
class ImportGrant:
    """Permission for ``holder`` to bring a segment into its region from peers."""

    holder: str
    region: str


@dataclass(frozen=True)
class GrantRequest:
    """The request of the instance ``holder`` for one segment.

    ``missing`` are the indexes of the chunks that it wants to bring into ``region``.
    The origin sends at most ``origin_copies`` copies of the ``segment_bytes``.
    ``dead_holders`` are the holders of earlier grants that the instance takes for dead;
    it may replace them.
    """

    holder: str
    region: str
    missing: tuple[int, ...]
    missing_bytes: int
    segment_bytes: int
    aim: str
    origin_copies: int
    dead_holders: frozenset[str] = frozenset()
    #: Whether to read from the origin instead of waiting for other regions' copies.
    is_origin_copy_wanted: bool = True


@final
@dataclass(frozen=True)
class SegmentGrants:
    """The grants of one segment, oldest first."""

    origin: tuple[OriginGrant, ...] = ()
    imports: tuple[ImportGrant, ...] = ()

    @classmethod
    def decode(cls, value: bytes | None) -> "SegmentGrants":
        """Return the grants of a stored object; None stands for no object.

        Raises `GrantError` if the object is invalid.
        """
        if value is None:
            return cls()
        try:
            content: Any = json.loads(value)
            origin = tuple(
                OriginGrant(row[0], row[1], tuple(row[2]), int(row[3]))
                for row in content["origin"]
            )
            imports = tuple(ImportGrant(row[0], row[1]) for row in content["imports"])
        except (ValueError, KeyError, TypeError, IndexError) as error:
            raise GrantError(f"invalid grants object: {error}") from error
        return cls(origin, imports)

    @property
    def origin_bytes(self) -> int:
        """Bytes of the origin reads granted so far."""
        return sum(grant.byte_count for grant in self.origin)

    def encode(self) -> bytes:
        """Return the value to store in the platform."""
        content = {
            "origin": [
                [grant.holder, grant.region, list(grant.indexes), grant.byte_count]
                for grant in self.origin
            ],
            "imports": [[grant.holder, grant.region] for grant in self.imports],
        }
        return json.dumps(content, separators=(",", ":")).encode()

    def find_importer(self, region: str) -> str | None:
        """Return the last holder of the import into ``region``, or None."""
        for grant in reversed(self.imports):
            if grant.region == region:
                return grant.holder
        return None

    def origin_holders(self) -> set[str]:
        """Return the ids of all instances that may have read from the origin."""
        return {grant.holder for grant in self.origin}

    def grant(self, request: GrantRequest) -> "SegmentGrants":
        """Return the grants after ``request``; the same object if it is denied."""
        changed = self._grant_import(request)
        if not changed._can_read_origin(request):
            return changed
        new = OriginGrant(
            request.holder, request.region, request.missing, request.missing_bytes
        )
        return SegmentGrants((*changed.origin, new), changed.imports)

    def _grant_import(self, request: GrantRequest) -> "SegmentGrants":
        holder = self.find_importer(request.region)
        if holder == request.holder:
            return self
        if holder is not None and holder not in request.dead_holders:
            return self
        new = ImportGrant(request.holder, request.region)
        return SegmentGrants(self.origin, (*self.imports, new))

    def _can_read_origin(self, request: GrantRequest) -> bool:
        if self.find_importer(request.region) != request.holder:
            return False
        if not request.missing:
            return False
        cap = request.origin_copies * request.segment_bytes
        if self.origin_bytes + request.missing_bytes > cap:
            return False
        is_lost = self.origin_holders() <= request.dead_holders
        if not self.origin and not request.is_origin_copy_wanted:
            return False
        if not self.origin or is_lost:
            return True
        if any(grant.holder == request.holder for grant in self.origin):
            # The holder reads again a chunk that was corrupt or did not arrive.
            return True
        if request.aim != "time-to-n" or not request.is_origin_copy_wanted:
            return False
        # Reserve one copy to replace holders that fail.
        reserved = min(request.segment_bytes, cap - request.segment_bytes)
        return self.origin_bytes + request.missing_bytes <= cap - reserved


def count_segments(chunk_count: int) -> int:
    """Return the number of segments of a version with ``chunk_count`` chunks."""
    return max(1, min(MAX_SEGMENTS, chunk_count))


def segment_of(index: int, chunk_count: int) -> int:
    """Return the segment of the chunk ``index``; segments are runs of chunks."""
    return index * count_segments(chunk_count) // chunk_count
