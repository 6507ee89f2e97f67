"""An in-memory stand-in for the platform's object store."""

import copy
import json
from dataclasses import dataclass
from enum import Enum
from typing import Any, final
from urllib.parse import parse_qs, unquote, urlsplit

from bamboolever._task import IoTask
from bamboolever.net.addresses import Address
from bamboolever.net.handlers import HttpLimits, RequestHandler
from bamboolever.net.messages import Header, Request
from bamboolever.net.server import HttpServer
from bamboolever.net.serverconnection import ServerConnection
from bamboolever.platform.names import OBJECTS_PATH, STORE_ERA

_JSON = (b"Content-Type", b"application/json")
PAGE_SIZE = 500


class StoreFault(Enum):
    """How the store treats every request.

    NONE: it serves it. BUSY: it responds with a 503. SILENT: it does not respond.
    CLOSES: it closes the connection.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    CLOSES = "closes"


@dataclass(frozen=True)
class RawValue:
    """A value that responses hold as this text, which may be any bytes."""

    text: bytes


@dataclass
class _Change:
    revision: int
    kind: str
    name: str
    value: Any
    is_deleted: bool


@dataclass
class _Watch:
    connection: ServerConnection
    kind: str
    revision: int
    is_open: bool = True


@final
class StandInStore(RequestHandler):
    """Serves lists and watches over HTTP; tests write objects by method calls.

    `put`, `delete` and `compact_history` may be called from any thread. ``fault``
    makes requests fail; ``request_count`` counts all requests.
    Listings of ``silent_kinds`` get no response, nor do watches of ``lost_kinds``: what
    ends them is lost, though the store goes on. ``lost_count`` counts these.
    """

    def __init__(self, address: Address):
        self.task = IoTask("stand-in store")
        self._server = HttpServer(
            self.task, address, self, HttpLimits(), max_connections=256
        )
        self.address = self._server.address
        self._objects: dict[str, dict[str, tuple[int, Any]]] = {}
        self._changes: list[_Change] = []
        self._history_start = 0
        self._revision = 1
        self._watches: list[_Watch] = []
        self.fault = StoreFault.NONE
        self.silent_kinds: frozenset[str] = frozenset()
        self.lost_kinds: frozenset[str] = frozenset()
        self.lost_count = 0
        self.request_count = 0
        self._era = 0
        self._copy: tuple[int, dict[str, dict[str, tuple[int, Any]]]] = (1, {})

    def start(self) -> None:
        """Start serving on the store's own thread."""
        self._server.start()
        self.task.start()

    def stop(self) -> None:
        """Close every connection and stop the thread."""
        self.task.send(self._server.close)
        self.task.stop()

    def put(self, kind: str, name: str, value: Any) -> None:
        """Write one object and notify the watches of its kind."""
        self.task.send(lambda: self._write(kind, name, value, is_deleted=False))

    def delete(self, kind: str, name: str) -> None:
        """Delete one object and notify the watches of its kind."""
        self.task.send(lambda: self._write(kind, name, None, is_deleted=True))

    def save_copy(self) -> None:
        """Keep a copy of all objects for `restore_copy`."""
        self.task.send(self._save_copy)

    def restore_copy(self) -> None:
        """Come back from the copy: later changes are lost and revisions go back."""
        self.task.send(self._restore_copy)

    def compact_history(self) -> None:
        """Drop all changes so far; watches from older revisions get a 410."""
        self.task.send(self._compact_history)

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Respond to a list request or start a watch."""
        self.request_count += 1
        if self.fault is StoreFault.SILENT:
            return
        if self.fault is StoreFault.CLOSES:
            connection.abort()
            return
        if self.fault is StoreFault.BUSY:
            connection.respond(503, self._headers())
            return
        parts = urlsplit(request.target.decode("latin-1"))
        kind = unquote(parts.path.removeprefix(OBJECTS_PATH))
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if "watch" in query:
            wait_s = float(query.get("waitMs", "0")) / 1000
            self._start_watch(connection, kind, int(query["watch"]), wait_s)
            return
        if kind in self.silent_kinds:
            return
        self._respond_with_list(connection, kind, query.get("after", ""))

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Mark the caller's watch as closed."""
        for watch in self._watches:
            if watch.connection is connection:
                watch.is_open = False

    def on_rejected(self, status: int, reason: str) -> None:
        """Ignore rejected requests."""

    def _write(self, kind: str, name: str, value: Any, *, is_deleted: bool) -> None:
        self._revision += 1
        objects = self._objects.setdefault(kind, {})
        if is_deleted:
            _, value = objects.pop(name, (0, None))
        else:
            objects[name] = (self._revision, value)
        change = _Change(self._revision, kind, name, value, is_deleted)
        self._changes.append(change)
        for watch in list(self._watches):
            self._notify_watch(watch)

    def _save_copy(self) -> None:
        self._copy = (self._revision, copy.deepcopy(self._objects))

    def _restore_copy(self) -> None:
        self._revision, self._objects = copy.deepcopy(self._copy)
        self._changes = [
            change for change in self._changes if change.revision <= self._revision
        ]
        self._era += 1
        for watch in list(self._watches):
            self._close_watch(watch, 503, b"")

    def _headers(self) -> list[Header]:
        return [_JSON, (STORE_ERA, str(self._era).encode())]

    def _compact_history(self) -> None:
        self._history_start = self._revision
        self._changes.clear()
        for watch in list(self._watches):
            self._close_watch(watch, 410, b"")

    def _respond_with_list(
        self, connection: ServerConnection, kind: str, after: str
    ) -> None:
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        items = [_encode_object(name, *objects[name]) for name in names[:PAGE_SIZE]]
        content = {
            "items": items,
            "hasMore": len(names) > PAGE_SIZE,
            "at": self._revision,
        }
        connection.respond(200, self._headers(), _encode_json(content))

    def _start_watch(
        self, connection: ServerConnection, kind: str, revision: int, wait_s: float
    ) -> None:
        watch = _Watch(connection, kind, revision)
        if revision < self._history_start or revision > self._revision:
            self._close_watch(watch, 410, b"")
            return
        self._watches.append(watch)
        self._notify_watch(watch)
        if watch.is_open:
            self.task.call_later(wait_s, lambda: self._expire_watch(watch))

    def _notify_watch(self, watch: _Watch) -> None:
        events = [
            {
                "object": _encode_object(change.name, change.revision, change.value),
                "deleted": change.is_deleted,
            }
            for change in self._changes
            if change.kind == watch.kind and change.revision > watch.revision
        ]
        if events and watch.is_open:
            self._close_watch(watch, 200, self._encode_changes(events))

    def _expire_watch(self, watch: _Watch) -> None:
        if watch.is_open:
            self._close_watch(watch, 200, self._encode_changes([]))

    def _encode_changes(self, events: list[dict[str, Any]]) -> bytes:
        return _encode_json({"events": events, "at": self._revision})

    def _close_watch(self, watch: _Watch, status: int, body: bytes) -> None:
        watch.is_open = False
        if watch in self._watches:
            self._watches.remove(watch)
        if watch.kind in self.lost_kinds:
            self.lost_count += 1
            return
        if self.fault is StoreFault.NONE:
            watch.connection.respond(status, self._headers(), body)


def _encode_object(name: str, revision: int, value: Any) -> dict[str, Any]:
    return {
        "metadata": {"name": name, "revision": revision},
        "specification": value,
        "status": None,
    }


def _encode_json(content: Any) -> bytes:
    raw_texts: dict[bytes, bytes] = {}

    def name_raw(value: RawValue) -> str:
        name = f"raw value {len(raw_texts)}"
        raw_texts[b'"%s"' % name.encode()] = value.text
        return name

    body = json.dumps(content, default=name_raw).encode()
    for name, text in raw_texts.items():
        body = body.replace(name, text)
    return body
