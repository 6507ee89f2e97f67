"""The platform's object API and instance list, behind an abstract base class."""

import base64
import http.client
import json
import threading
import urllib.parse
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, final

from bamboolever._ratelimit import TokenBucket

MAX_VALUE_BYTES = 10**6
AMBIGUOUS_ATTEMPTS = 3


class PlatformError(Exception):
    """Base of the platform layer's errors."""


class PlatformUnavailable(PlatformError):
    """The platform did not answer a read, or a write surely had no effect."""


class PlatformBudgetExceeded(PlatformUnavailable):
    """This process has used its share of the platform's calls."""


class WriteAmbiguous(PlatformError):
    """A write was sent and its answer was lost; it may have taken effect."""


class WriteConflict(PlatformError):
    """The object was not at the expected revision."""

    def __init__(self, current: "StoredObject | None"):
        revision = current.revision if current else None
        super().__init__(f"the object is at revision {revision}")
        self.current = current


class WatchGap(PlatformError):
    """The platform no longer has the events after the given revision."""


@dataclass(frozen=True)
class StoredObject:
    """One object; ``revision`` grows with each write to the platform."""

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
    """One row of the platform's lagging instance list."""

    instance_id: str
    role: str
    service: str
    region: str
    availability_zone: str
    host: str
    port: int
    is_leaving: bool


class Platform(ABC):
    """What the system needs of a platform; implement it to use another one.

    Methods block and are called from executor threads. Each may raise
    `PlatformUnavailable`.
    """

    @abstractmethod
    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, or None."""

    @abstractmethod
    def list_objects(self, kinds: tuple[str, ...]) -> Snapshot:
        """Return all objects of these kinds at one revision."""

    @abstractmethod
    def write(
        self, kind: str, name: str, value: bytes, *, expected_revision: int
    ) -> int:
        """Write if the object is at ``expected_revision`` (0: does not exist).

        Returns the new revision. Raises `WriteConflict` or `WriteAmbiguous`.
        """

    @abstractmethod
    def delete(self, kind: str, name: str, *, expected_revision: int) -> int:
        """Delete if the object is at ``expected_revision``; see `write`."""

    @abstractmethod
    def watch(
        self, kinds: tuple[str, ...], *, after_revision: int, timeout_s: float
    ) -> Snapshot:
        """Wait for changes after a revision and return them, oldest first.

        Raises `WatchGap` when the changes are no longer known.
        """

    @abstractmethod
    def list_instances(self, region: str) -> list[InstanceRecord]:
        """Return the instances with addresses as reached from ``region``."""


def write_resolved(
    platform: Platform, kind: str, name: str, value: bytes, *, expected_revision: int
) -> int:
    """Write conditionally and resolve a lost answer by reading back.

    ``value`` must be unique to this writer (carry a nonce). Raises
    `WriteConflict` when another write won, `PlatformUnavailable` when nothing
    was written, `WriteAmbiguous` when the platform cannot be read either.
    """
    for _ in range(AMBIGUOUS_ATTEMPTS):
        try:
            return platform.write(
                kind, name, value, expected_revision=expected_revision
            )
        except WriteConflict as conflict:
            # An earlier attempt whose answer was lost may have arrived late.
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
        # The request may still be under way; only another conditional write tells.
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
    """Read, change and conditionally write one object until no race is lost.

    ``change`` gets the current value and returns the new one, or None to leave
    the object as it is. Returns the object afterwards. Raises `WriteConflict`
    after ``attempts`` lost races.
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
    """The object API over HTTP, one connection for each call."""

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
        """Build from `PlatformSettings`."""
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
            raise PlatformError(f"{kind}/{name}: a value holds at most a megabyte")
        path = f"/objects/{kind}/{_quote(name)}?expected={expected_revision}"
        return self._change("PUT", path, value)

    def delete(self, kind: str, name: str, *, expected_revision: int) -> int:
        """See `Platform.delete`."""
        path = f"/objects/{kind}/{_quote(name)}?expected={expected_revision}"
        return self._change("DELETE", path, b"")

    def watch(
        self, kinds: tuple[str, ...], *, after_revision: int, timeout_s: float
    ) -> Snapshot:
        """See `Platform.watch`."""
        query = f"kinds={','.join(kinds)}&after={after_revision}&timeout={timeout_s}"
        status, body = self._read(f"/watch?{query}", extra_timeout_s=timeout_s)
        if status == 410:
            raise WatchGap(f"the events after {after_revision} are gone")
        return _decode_snapshot(body)

    def list_instances(self, region: str) -> list[InstanceRecord]:
        """See `Platform.list_instances`."""
        _, body = self._read(f"/instances?region={_quote(region)}")
        try:
            return [InstanceRecord(**row) for row in body["instances"]]
        except (KeyError, TypeError) as error:
            raise PlatformUnavailable("unreadable instance list") from error

    def _read(self, path: str, *, extra_timeout_s: float = 0.0) -> tuple[int, Any]:
        try:
            status, body = self._call("GET", path, b"", extra_timeout_s)
        except WriteAmbiguous as error:
            raise PlatformUnavailable(str(error)) from error
        if status not in (200, 404, 410):
            raise PlatformUnavailable(f"GET {path}: status {status}")
        return status, body

    def _change(self, method: str, path: str, value: bytes) -> int:
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
        self._take_budget()
        connection = self._connection(extra_timeout_s)
        try:
            connection.connect()
        except OSError as error:
            raise PlatformUnavailable(f"cannot connect: {error}") from error
        try:
            connection.request(method, path, body=value or None)
            response = connection.getresponse()
            body = json.loads(response.read() or b"null")
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise WriteAmbiguous(f"{method} {path}: {error}") from error
        finally:
            connection.close()
        return response.status, body

    def _connection(self, extra_timeout_s: float) -> http.client.HTTPConnection:
        # A fresh connection each call: a kept one that died under a write would
        # make every restart of the platform an ambiguous answer.
        return http.client.HTTPConnection(
            self._host, self._port, timeout=self._timeout_s + extra_timeout_s
        )

    def _take_budget(self) -> None:
        with self._budget_lock:
            if not self._budget.try_take(self._budget.read_clock()):
                raise PlatformBudgetExceeded("this process's calls are used up")
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
        raise PlatformUnavailable("unreadable answer of the platform") from error


def _decode_snapshot(body: Any) -> Snapshot:
    try:
        rows = body["objects"]
        return Snapshot(int(body["revision"]), tuple(map(_decode_object, rows)))
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformUnavailable("unreadable answer of the platform") from error
