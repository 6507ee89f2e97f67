"""The interface of the platform's object store and instance list, and its HTTP client.

Writes are conditional on the object's revision. If the response to a write is lost, the
write may or may not have taken effect; `write_resolved` finds out which.
"""

import base64
import http.client
import json
import threading
import urllib.parse
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, final

from bamboolever._httpbody import read_body
from bamboolever._ratelimit import TokenBucket

MAX_VALUE_BYTES = 10**6
MAX_WRITE_ATTEMPTS = 3
MAX_RESPONSE_BYTES = 64 * 2**20


class PlatformError(Exception):
    """Base class of the errors of the platform."""


class PlatformUnavailable(PlatformError):
    """A read failed, or a write failed and certainly had no effect."""


class PlatformBudgetExceeded(PlatformUnavailable):
    """The call would exceed this process's rate of calls to the platform."""


class WriteAmbiguous(PlatformError):
    """The response to a write was lost; the write may have taken effect."""


class WriteConflict(PlatformError):
    """The object is not at the expected revision.

    ``current`` is the object, or None if it does not exist.
    """

    def __init__(self, current: "StoredObject | None"):
        revision = current.revision if current else None
        super().__init__(f"the object is at revision {revision}")
        self.current = current


class WatchGap(PlatformError):
    """The platform no longer has the events after the given revision."""


@dataclass(frozen=True)
class StoredObject:
    """A stored object.

    ``revision`` is that of its last write and grows with each write to the platform.
    """

    kind: str
    name: str
    revision: int
    value: bytes
    is_deleted: bool = False


@dataclass(frozen=True)
class Snapshot:
    """Objects as of one platform revision."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True)
class InstanceRecord:
    """One row of the platform's instance list, which lags behind the fleet."""

    instance_id: str
    role: str
    service: str
    region: str
    availability_zone: str
    host: str
    port: int
    is_leaving: bool


class Platform(ABC):
    """Reads, writes and watches objects; implement it to use another platform.

    Methods block and are called from executor threads. Each may raise
    `PlatformUnavailable`.
    """

    @abstractmethod
    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, or None if it does not exist."""

    @abstractmethod
    def list_objects(self, kinds: tuple[str, ...]) -> Snapshot:
        """Return all objects of these kinds at one revision."""

    @abstractmethod
    def write(
        self, kind: str, name: str, value: bytes, *, expected_revision: int
    ) -> int:
        """Write ``value`` if the object is at ``expected_revision``.

        Revision 0 means that the object must not exist. Returns the new revision.
        Raises `WriteConflict` or `WriteAmbiguous`.
        """

    @abstractmethod
    def delete(self, kind: str, name: str, *, expected_revision: int) -> int:
        """Delete the object if it is at ``expected_revision``; see `write`."""

    @abstractmethod
    def watch(
        self, kinds: tuple[str, ...], *, after_revision: int, timeout_s: float
    ) -> Snapshot:
        """Wait for changes after a revision and return them, oldest first.

        Returns no objects if nothing changes within ``timeout_s`` seconds. Raises
        `WatchGap` if the platform no longer has the changes after the revision.
        """

    @abstractmethod
    def list_instances(self, region: str) -> list[InstanceRecord]:
        """Return the instances with their addresses as reached from ``region``."""


def write_resolved(
    platform: Platform, kind: str, name: str, value: bytes, *, expected_revision: int
) -> int:
    """Write conditionally and return the new revision, also if a response is lost.

    After a lost response the object is read to find out whether the write took effect.
    ``value`` must be unique to this writer, for example by a nonce. Raises
    `WriteConflict` if another write won, `PlatformUnavailable` if nothing was written
    and `WriteAmbiguous` if the object cannot be read either.
    """
    for _ in range(MAX_WRITE_ATTEMPTS):
        try:
            return platform.write(
                kind, name, value, expected_revision=expected_revision
            )
        except WriteConflict as conflict:
            # An earlier attempt whose response was lost may have arrived late.
            if conflict.current is None or conflict.current.value != value:
                raise
            return conflict.current.revision
        except WriteAmbiguous as error:
            ambiguous = error
        current = _read_back(platform, kind, name, ambiguous)
        if current is not None and current.value == value:
            return current.revision
        if (current.revision if current else 0) != expected_revision:
            raise WriteConflict(current)
        # The request may still be in flight; only another conditional write finds out.
    raise ambiguous


def _read_back(
    platform: Platform, kind: str, name: str, ambiguous: WriteAmbiguous
) -> StoredObject | None:
    try:
        return platform.get(kind, name)
    except PlatformUnavailable as error:
        raise ambiguous from error


def update_object(
    platform: Platform,
    kind: str,
    name: str,
    change: Callable[[bytes | None], bytes | None],
    *,
    attempts: int = 8,
) -> StoredObject | None:
    """Read, change and conditionally write one object; retry on conflicts.

    ``change`` is called with the current value, or None if the object does not exist.
    It returns the new value, or None to leave the object as it is. Returns the object
    afterwards. Raises `WriteConflict` if all ``attempts`` fail with one.
    """
    current = platform.get(kind, name)
    for attempt in range(attempts):
        value = change(current.value if current else None)
        if value is None:
            return current
        expected = current.revision if current else 0
        try:
            revision = write_resolved(
                platform, kind, name, value, expected_revision=expected
            )
            return StoredObject(kind, name, revision, value)
        except WriteConflict as conflict:
            if attempt == attempts - 1:
                raise
            current = conflict.current or platform.get(kind, name)
    return current


@final
class HttpPlatform(Platform):
    """A platform that is reached over HTTP, with one connection per call.

    ``calls_per_second`` limits the rate of this process; ``calls`` counts its calls.
    """

    def __init__(self, url: str, *, timeout_s: float, calls_per_second: float):
        parts = urllib.parse.urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._timeout_s = timeout_s
        self._budget_lock = threading.Lock()
        self._budget = TokenBucket(calls_per_second, calls_per_second * 2)
        self.calls = 0

    @classmethod
    def from_config(cls, settings: Any) -> "HttpPlatform":
        """Return a client for ``settings``, a `PlatformSettings`."""
        return cls(
            settings.url,
            timeout_s=settings.timeout,
            calls_per_second=settings.calls_per_second,
        )

    def get(self, kind: str, name: str) -> StoredObject | None:
        """See `Platform.get`."""
        status, body = self._read(f"/objects/{kind}/{_quote(name)}")
        if status == 404:
            return None
        return _decode_object(body)

    def list_objects(self, kinds: tuple[str, ...]) -> Snapshot:
        """See `Platform.list_objects`."""
        _, body = self._read(f"/objects?kinds={','.join(kinds)}")
        return _decode_snapshot(body)

    def write(
        self, kind: str, name: str, value: bytes, *, expected_revision: int
    ) -> int:
        """See `Platform.write`."""
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformError(f"{kind}/{name}: the value is larger than one megabyte")
        path = f"/objects/{kind}/{_quote(name)}?expected={expected_revision}"
        return self._send_write("PUT", path, value)

    def delete(self, kind: str, name: str, *, expected_revision: int) -> int:
        """See `Platform.delete`."""
        path = f"/objects/{kind}/{_quote(name)}?expected={expected_revision}"
        return self._send_write("DELETE", path, b"")

    def watch(
        self, kinds: tuple[str, ...], *, after_revision: int, timeout_s: float
    ) -> Snapshot:
        """See `Platform.watch`."""
        query = f"kinds={','.join(kinds)}&after={after_revision}&timeout={timeout_s}"
        status, body = self._read(f"/watch?{query}", extra_timeout_s=timeout_s)
        if status == 410:
            raise WatchGap(
                f"the platform no longer has the events after {after_revision}"
            )
        return _decode_snapshot(body)

    def list_instances(self, region: str) -> list[InstanceRecord]:
        """See `Platform.list_instances`."""
        _, body = self._read(f"/instances?region={_quote(region)}")
        try:
            return [InstanceRecord(**row) for row in body["instances"]]
        except (KeyError, TypeError) as error:
            raise PlatformUnavailable("invalid instance list") from error

    def _read(self, path: str, *, extra_timeout_s: float = 0.0) -> tuple[int, Any]:
        try:
            status, body = self._call("GET", path, b"", extra_timeout_s)
        except WriteAmbiguous as error:
            raise PlatformUnavailable(str(error)) from error
        if status not in (200, 404, 410):
            raise PlatformUnavailable(f"GET {path}: status {status}")
        return status, body

    def _send_write(self, method: str, path: str, value: bytes) -> int:
        status, body = self._call(method, path, value, 0.0)
        if status == 200:
            return int(body["revision"])
        if status == 409:
            current = body.get("current")
            raise WriteConflict(_decode_object(current) if current else None)
        if status == 503 or status == 429:
            raise PlatformUnavailable(f"{method} {path}: status {status}")
        raise WriteAmbiguous(f"{method} {path}: status {status}")

    def _call(
        self, method: str, path: str, value: bytes, extra_timeout_s: float
    ) -> tuple[int, Any]:
        self._count_call()
        connection = self._make_connection(extra_timeout_s)
        try:
            connection.connect()
        except OSError as error:
            raise PlatformUnavailable(f"cannot connect: {error}") from error
        try:
            connection.request(method, path, body=value or None)
            response = connection.getresponse()
            body = json.loads(read_body(response, MAX_RESPONSE_BYTES) or b"null")
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise WriteAmbiguous(f"{method} {path}: {error}") from error
        finally:
            connection.close()
        return response.status, body

    def _make_connection(self, extra_timeout_s: float) -> http.client.HTTPConnection:
        # Use a new connection for each call. A kept connection that breaks during a
        # write would make the write ambiguous on every restart of the platform.
        return http.client.HTTPConnection(
            self._host, self._port, timeout=self._timeout_s + extra_timeout_s
        )

    def _count_call(self) -> None:
        with self._budget_lock:
            if not self._budget.try_take(self._budget.read_clock()):
                raise PlatformBudgetExceeded(
                    "this process exceeds its rate of calls to the platform"
                )
            self.calls += 1


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")


def _decode_object(body: Any) -> StoredObject:
    try:
        return StoredObject(
            kind=body["kind"],
            name=body["name"],
            revision=int(body["revision"]),
            value=base64.b64decode(body["value"]),
            is_deleted=bool(body.get("deleted", False)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformUnavailable("invalid response of the platform") from error


def _decode_snapshot(body: Any) -> Snapshot:
    try:
        rows = body["objects"]
        return Snapshot(int(body["revision"]), tuple(map(_decode_object, rows)))
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformUnavailable("invalid response of the platform") from error
