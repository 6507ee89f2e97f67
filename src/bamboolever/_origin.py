"""The interface of the origin, which holds the weights, and its HTTP client."""

import http.client
import urllib.parse
from abc import ABC, abstractmethod
from typing import final

from bamboolever._httpbody import read_body
from bamboolever._manifest import MAX_MANIFEST_BYTES


class OriginError(Exception):
    """The origin did not return what was requested."""


class Origin(ABC):
    """Reads manifests and chunks from the origin; methods block."""

    @abstractmethod
    def read_manifest(self, model: str, version: str) -> bytes:
        """Return the encoded manifest of a version.

        Raises `OriginError` if it cannot be read.
        """

    @abstractmethod
    def read_chunk(self, digest: str, size: int) -> bytes:
        """Return at most the first ``size`` bytes of the chunk with this digest.

        The digest is not verified. Raises `OriginError` if it cannot be read.
        """


@final
class HttpOrigin(Origin):
    """An origin that is reached over HTTP at ``url``."""

    def __init__(self, url: str, *, timeout_s: float = 30.0):
        parts = urllib.parse.urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._timeout_s = timeout_s

    def read_manifest(self, model: str, version: str) -> bytes:
        """See `Origin.read_manifest`."""
        return self._get(f"/manifests/{model}/{version}", MAX_MANIFEST_BYTES)

    def read_chunk(self, digest: str, size: int) -> bytes:
        """See `Origin.read_chunk`."""
        return self._get(f"/chunks/{digest}", size)

    def _get(self, path: str, max_bytes: int) -> bytes:
        connection = http.client.HTTPConnection(
            self._host, self._port, timeout=self._timeout_s
        )
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            data = read_body(response, max_bytes)
        except (OSError, http.client.HTTPException) as error:
            raise OriginError(f"GET {path}: {error}") from error
        finally:
            connection.close()
        if response.status != 200:
            raise OriginError(f"GET {path}: status {response.status}")
        return data
