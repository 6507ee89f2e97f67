"""Manifests: the chunks of one version of a model's weights, by digest.

All digests are SHA-256 in lowercase hex. The manifest's own digest covers its
encoded form and stands in the rollout object, which authenticates it.
"""

import hashlib
import json
from dataclasses import dataclass
from functools import cached_property
from typing import Any, final

MAX_MANIFEST_BYTES = 900_000


class ManifestError(ValueError):
    """Bytes that are no manifest, or not the expected one."""


@dataclass(frozen=True)
class Chunk:
    """One piece of the weights; ``size`` is in bytes."""

    digest: str
    size: int


@final
@dataclass(frozen=True)
class Manifest:
    """The ordered chunks of one version."""

    model: str
    version: str
    weights_digest: str
    chunks: tuple[Chunk, ...]

    @classmethod
    def from_weights(
        cls, model: str, version: str, weights: bytes, chunk_bytes: int
    ) -> "Manifest":
        """Cut ``weights`` into chunks of ``chunk_bytes`` and digest each."""
        pieces = [
            weights[start : start + chunk_bytes]
            for start in range(0, len(weights), chunk_bytes)
        ]
        chunks = tuple(Chunk(digest_bytes(piece), len(piece)) for piece in pieces)
        return cls(model, version, digest_bytes(weights), chunks)

    @classmethod
    def decode(cls, data: bytes, *, expected_digest: str | None = None) -> "Manifest":
        """Return the manifest in ``data``.

        Raises `ManifestError` when the digest differs or the form is wrong.
        """
        if expected_digest is not None and digest_bytes(data) != expected_digest:
            raise ManifestError("the manifest's digest is not the expected one")
        try:
            content: Any = json.loads(data)
            chunks = tuple(
                Chunk(str(digest), int(size)) for digest, size in content["chunks"]
            )
            return cls(
                str(content["model"]),
                str(content["version"]),
                str(content["weights_digest"]),
                chunks,
            )
        except (ValueError, KeyError, TypeError) as error:
            raise ManifestError(f"unreadable manifest: {error}") from error

    @cached_property
    def total_bytes(self) -> int:
        """Size of the weights in bytes."""
        return sum(chunk.size for chunk in self.chunks)

    @cached_property
    def digest(self) -> str:
        """Digest of the encoded form."""
        return digest_bytes(self.encode())

    def encode(self) -> bytes:
        """Return the one encoded form of this manifest."""
        content = {
            "chunks": [[chunk.digest, chunk.size] for chunk in self.chunks],
            "model": self.model,
            "version": self.version,
            "weights_digest": self.weights_digest,
        }
        return json.dumps(content, sort_keys=True, separators=(",", ":")).encode()


def digest_bytes(data: bytes) -> str:
    """Return the SHA-256 of ``data`` in hex."""
    return hashlib.sha256(data).hexdigest()
