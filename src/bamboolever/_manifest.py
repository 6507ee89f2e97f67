"""Manifests list the chunks of one version of a model's weights by digest.

All digests are SHA-256 in lowercase hex. The manifest's own digest covers its encoded
form. The rollout object contains it, which authenticates the manifest.
"""

import hashlib
import json
from dataclasses import dataclass
from functools import cached_property
from typing import Any, final

MAX_MANIFEST_BYTES = 900_000


class ManifestError(ValueError):
    """The bytes are no valid manifest, or not the expected one."""


@dataclass(frozen=True)
class Chunk:
    """One chunk of the weights; ``size`` is in bytes."""

    digest: str
    size: int


@final
@dataclass(frozen=True)
class Manifest:
    """The chunks of one version, in the order in which they form the weights."""

    model: str
    version: str
    weights_digest: str
    chunks: tuple[Chunk, ...]

    @classmethod
    def from_weights(
        cls, model: str, version: str, weights: bytes, chunk_bytes: int
    ) -> "Manifest":
        """Return the manifest of ``weights`` in chunks of ``chunk_bytes``."""
        parts = [
            weights[start : start + chunk_bytes]
            for start in range(0, len(weights), chunk_bytes)
        ]
        chunks = tuple(Chunk(digest_bytes(part), len(part)) for part in parts)
        return cls(model, version, digest_bytes(weights), chunks)

    @classmethod
    def decode(cls, data: bytes, *, expected_digest: str | None = None) -> "Manifest":
        """Return the manifest that ``data`` encodes.

        Raises `ManifestError` if ``data`` is invalid or does not have
        ``expected_digest``.
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
            raise ManifestError(f"invalid manifest: {error}") from error

    @cached_property
    def total_bytes(self) -> int:
        """Size of the weights in bytes."""
        return sum(chunk.size for chunk in self.chunks)

    @cached_property
    def digest(self) -> str:
        """Digest of the encoded manifest."""
        return digest_bytes(self.encode())

    def encode(self) -> bytes:
        """Return this manifest as JSON; equal manifests give equal bytes."""
        content = {
            "chunks": [[chunk.digest, chunk.size] for chunk in self.chunks],
            "model": self.model,
            "version": self.version,
            "weights_digest": self.weights_digest,
        }
        return json.dumps(content, sort_keys=True, separators=(",", ":")).encode()


def digest_bytes(data: bytes) -> str:
    """Return the SHA-256 of ``data`` in lowercase hex."""
    return hashlib.sha256(data).hexdigest()
