"""Stand-in for the origin of weights: deterministic bytes at a limited rate."""

import hashlib
import json
import random
import threading
import time
from typing import final

from bamboolever._manifest import Manifest
from bamboolever._ratelimit import TokenBucket
from bamboolever._webserver import WebRequest, WebResponse, WebServer

SERVER_THREADS = 24


def make_weights(
    model: str, version: str, size_bytes: int, *, shared_fraction: float
) -> bytes:
    """Return weights whose first part is the same for all versions of a model."""
    shared_bytes = int(size_bytes * shared_fraction)
    shared = random.Random(model).randbytes(shared_bytes)
    return shared + random.Random(f"{model}/{version}").randbytes(
        size_bytes - shared_bytes
    )


@final
class StandInOrigin:
    """Serves manifests and chunks and counts the bytes that it sent."""

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        rate_bytes_per_s: float,
        chunk_bytes: int,
    ):
        self._chunk_bytes = chunk_bytes
        self._lock = threading.Lock()
        self._bucket = TokenBucket(rate_bytes_per_s, rate_bytes_per_s / 4)
        self._manifests: dict[tuple[str, str], Manifest] = {}
        self._chunks: dict[str, bytes] = {}
        self.sent_bytes = 0
        self.send_count_by_digest: dict[str, int] = {}
        self.chunks_to_corrupt = 0
        self._server = WebServer(
            host, port, self._handle_request, threads=SERVER_THREADS
        )
        self.port = self._server.port
        self.url = f"http://{host}:{self.port}"

    def start(self) -> None:
        """Serve until `stop`."""
        self._server.start()

    def stop(self) -> None:
        """Close every connection."""
        self._server.stop()

    def set_rate(self, rate_bytes_per_s: float) -> None:
        """Change the rate of the origin's link."""
        with self._lock:
            self._bucket.set_limits(rate_bytes_per_s, rate_bytes_per_s / 4)

    def add_version(
        self, model: str, version: str, size_bytes: int, *, shared_fraction: float = 0.0
    ) -> Manifest:
        """Make a version available and return its manifest."""
        weights = make_weights(
            model, version, size_bytes, shared_fraction=shared_fraction
        )
        manifest = Manifest.from_weights(model, version, weights, self._chunk_bytes)
        for index, chunk in enumerate(manifest.chunks):
            start = index * self._chunk_bytes
            self._chunks[chunk.digest] = weights[start : start + self._chunk_bytes]
        self._manifests[(model, version)] = manifest
        return manifest

    def _handle_request(self, request: WebRequest) -> WebResponse:
        parts = request.path.strip("/").split("/")
        if parts[0] == "_counts":
            return WebResponse.from_json({"sent_bytes": self.sent_bytes})
        if parts[0] == "manifests" and len(parts) == 3:
            manifest = self._manifests.get((parts[1], parts[2]))
            if manifest is None:
                return WebResponse.from_json({"error": "unknown version"}, status=404)
            return WebResponse(body=manifest.encode())
        if parts[0] == "chunks" and len(parts) == 2:
            return self._send_chunk(parts[1])
        if parts[0] == "_versions" and request.method == "POST":
            return self._add_from_request(request)
        return WebResponse.from_json({"error": "unknown path"}, status=404)

    def _add_from_request(self, request: WebRequest) -> WebResponse:
        content = json.loads(request.body)
        manifest = self.add_version(
            content["model"], content["version"], int(content["size_bytes"])
        )
        return WebResponse.from_json({"manifest_digest": manifest.digest})

    def _send_chunk(self, digest: str) -> WebResponse:
        data = self._chunks.get(digest)
        if data is None:
            return WebResponse.from_json({"error": "unknown chunk"}, status=404)
        with self._lock:
            wait_s = self._bucket.reserve(time.monotonic(), len(data))
            self.sent_bytes += len(data)
            self.send_count_by_digest[digest] = (
                self.send_count_by_digest.get(digest, 0) + 1
            )
            is_corrupt = self.chunks_to_corrupt > 0
            self.chunks_to_corrupt -= int(is_corrupt)
        time.sleep(wait_s)
        if is_corrupt:
            data = hashlib.sha256(data).digest() + data[32:]
        return WebResponse(body=data, content_type="application/octet-stream")
