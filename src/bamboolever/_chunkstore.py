"""Stores verified chunks, addressed by digest."""

import hashlib
from abc import ABC, abstractmethod
from typing import final

from bamboolever._manifest import Manifest, digest_bytes


class ChunkStore(ABC):
    """Interface of an agent's store of verified chunks."""

    @abstractmethod
    def add(self, digest: str, data: bytes) -> bool:
        """Store a chunk; return False if ``data`` does not have this digest."""

    @abstractmethod
    def get(self, digest: str) -> bytes | None:
        """Return the chunk with this digest, or None if it is not stored."""

    @abstractmethod
    def retain(self, manifests: list[Manifest]) -> None:
        """Delete every chunk that none of these manifests lists."""

    def find_held_chunks(self, manifest: Manifest) -> int:
        """Return the bitmap of the manifest's chunks that are stored."""
        bitmap = 0
        for index, chunk in enumerate(manifest.chunks):
            if self.get(chunk.digest) is not None:
                bitmap |= 1 << index
        return bitmap

    def verify_weights(self, manifest: Manifest) -> bool:
        """Return whether all chunks are stored and match the digest of the weights."""
        weights_hash = hashlib.sha256()
        for chunk in manifest.chunks:
            data = self.get(chunk.digest)
            if data is None:
                return False
            weights_hash.update(data)
        return weights_hash.hexdigest() == manifest.weights_digest


@final
class MemoryChunkStore(ChunkStore):
    """Stores chunks in the memory of this process."""

    def __init__(self) -> None:
        self._chunks: dict[str, bytes] = {}

    def add(self, digest: str, data: bytes) -> bool:
        """See `ChunkStore.add`."""
        if digest_bytes(data) != digest:
            return False
        self._chunks[digest] = data
        return True

    def get(self, digest: str) -> bytes | None:
        """See `ChunkStore.get`."""
        return self._chunks.get(digest)

    def retain(self, manifests: list[Manifest]) -> None:
        """See `ChunkStore.retain`."""
        kept = {chunk.digest for m in manifests for chunk in m.chunks}
        self._chunks = {d: data for d, data in self._chunks.items() if d in kept}
