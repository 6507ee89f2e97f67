"""Grants: who may read which part of a version from the origin or abroad.

The chunks of a version form segments. Each segment has one object in the
platform, changed by conditional writes only, which lists every origin read
that was ever allowed. Bytes are granted before they are read and never
returned, so the cap on origin bytes holds whatever happens to the holders.
"""

import json
from dataclasses import dataclass
from typing import Any, final

GRANT_KIND = "grants"
MAX_SEGMENTS = 16


class GrantError(ValueError):
    """A stored grant document cannot be read."""


@dataclass(frozen=True)
class OriginGrant:
    """Leave for ``holder`` to read these chunks from the origin once each."""

    holder: str
    region: str
    indexes: tuple[int, ...]
    byte_count: int


@dataclass(frozen=True)
class ImportGrant:
    """Leave for ``holder`` to bring a segment into its region from peers."""

    holder: str
    region: str


@dataclass(frozen=True)
class GrantRequest:
    """What one instance asks for in one segment."""

    holder: str
    region: str
    missing: tuple[int, ...]
    missing_bytes: int
    segment_bytes: int
    aim: str
    origin_copies: int
    dead_holders: frozenset[str] = frozenset()
    #: Whether to read from the origin although another region has the segment.
    is_origin_copy_wanted: bool = True


@final
@dataclass(frozen=True)
class SegmentGrants:
    """The grants of one segment."""

    origin: tuple[OriginGrant, ...] = ()
    imports: tuple[ImportGrant, ...] = ()

    @classmethod
    def decode(cls, value: bytes | None) -> "SegmentGrants":
        """Return the stored grants; None means that none were made.

        Raises `GrantError` on an unreadable document.
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
            raise GrantError(f"unreadable grants: {error}") from error
        return cls(origin, imports)

    @property
    def origin_bytes(self) -> int:
        """Bytes granted from the origin so far."""
        return sum(grant.byte_count for grant in self.origin)

    def encode(self) -> bytes:
        """Return the stored form."""
        content = {
            "origin": [
                [grant.holder, grant.region, list(grant.indexes), grant.byte_count]
                for grant in self.origin
            ],
            "imports": [[grant.holder, grant.region] for grant in self.imports],
        }
        return json.dumps(content, separators=(",", ":")).encode()

    def importer_of(self, region: str) -> str | None:
        """Return the holder that last got this segment for ``region``."""
        for grant in reversed(self.imports):
            if grant.region == region:
                return grant.holder
        return None

    def origin_holders(self) -> set[str]:
        """Return every instance that may have read from the origin."""
        return {grant.holder for grant in self.origin}

    def grant(self, request: GrantRequest) -> "SegmentGrants":
        """Return the grants after ``request``; the same object if refused."""
        changed = self._grant_import(request)
        if not changed._may_use_origin(request):
            return changed
        new = OriginGrant(
            request.holder, request.region, request.missing, request.missing_bytes
        )
        return SegmentGrants((*changed.origin, new), changed.imports)

    def _grant_import(self, request: GrantRequest) -> "SegmentGrants":
        holder = self.importer_of(request.region)
        if holder == request.holder:
            return self
        if holder is not None and holder not in request.dead_holders:
            return self
        new = ImportGrant(request.holder, request.region)
        return SegmentGrants(self.origin, (*self.imports, new))

    def _may_use_origin(self, request: GrantRequest) -> bool:
        if self.importer_of(request.region) != request.holder:
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
            # A repeat: a chunk that arrived corrupt or not at all.
            return True
        if request.aim != "time-to-n" or not request.is_origin_copy_wanted:
            return False
        # One copy stays in reserve for holders that fail.
        reserved = min(request.segment_bytes, cap - request.segment_bytes)
        return self.origin_bytes + request.missing_bytes <= cap - reserved


def count_segments(chunk_count: int) -> int:
    """Return into how many segments a version of this many chunks falls."""
    return max(1, min(MAX_SEGMENTS, chunk_count))


def segment_of(index: int, chunk_count: int) -> int:
    """Return the segment of a chunk; segments are runs of chunks."""
    return index * count_segments(chunk_count) // chunk_count
