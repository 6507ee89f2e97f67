"""Verified chunks held in memory, addressed by digest."""

import hashlib
from abc import ABC, abstractmethod
from typing import final

from bamboolever._manifest import Manifest, digest_bytes


class ChunkStore(ABC):
    """Where an agent keeps verified chunks."""

    @abstractmethod
    def add(self, digest: str, data: bytes) -> bool:
        """Keep a chunk; return False when it is not what its digest says."""

    @abstractmethod
    def get(self, digest: str) -> bytes | None:
        """Return a held chunk."""

    @abstractmethod
    def retain(self, manifests: list[Manifest]) -> None:
        """Drop every chunk that none of these manifests names."""

    def find_held_chunks(self, manifest: Manifest) -> int:
        """Return the bitmap of the manifest's chunks that are held."""
        bitmap = 0
        for index, chunk in enumerate(manifest.chunks):
            if self.get(chunk.digest) is not None:
                bitmap |= 1 << index
        return bitmap

    def verify_weights(self, manifest: Manifest) -> bool:
        """Tell whether the chunks together digest to the whole."""
        whole = hashlib.sha256()
        for chunk in manifest.chunks:
            data = self.get(chunk.digest)
            if data is None:
                return False
            whole.update(data)
        return whole.hexdigest() == manifest.weights_digest


@final
class MemoryChunkStore(ChunkStore):
    """Keeps chunks in this process's memory."""

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
