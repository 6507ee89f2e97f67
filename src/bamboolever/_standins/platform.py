"""Stand-in for the platform: the object API, the instance list, and faults in them."""

import base64
import json
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, final

from bamboolever._webserver import WebRequest, WebResponse, WebServer

MAX_KEPT_EVENTS = 2000
SERVER_THREADS = 48


@dataclass
class _StoredObject:
    kind: str
    name: str
    revision: int
    value: bytes
    is_deleted: bool = False

    def encode(self) -> dict[str, Any]:
        return {
            "kind": self.kind,
            "name": self.name,
            "revision": self.revision,
            "value": base64.b64encode(self.value).decode(),
            "deleted": self.is_deleted,
        }


@dataclass
class PlatformFaults:
    """Faults to inject.

    ``is_down`` fails requests with status 503 and ends pending watches; ``delay_s``
    delays requests. The next ``lose_answers`` writes are stored, but their response is
    an error. Watches leave out the next ``drop_events`` changes. POST /_faults sets the
    fields by name.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    drop_events: int = 0


@dataclass
class _InstanceRow:
    record: dict[str, Any]
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)


@final
class StandInPlatform:
    """Keeps objects and the instance list in memory and serves them over HTTP.

    It keeps the last `MAX_KEPT_EVENTS` changes for watches; a watch from an earlier
    revision gets status 410. ``request_counts`` counts the requests by method and first
    part of the path.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0):
        self._condition = threading.Condition()
        self._objects: dict[tuple[str, str], _StoredObject] = {}
        self._events: list[_StoredObject] = []
        self._last_dropped_revision = 0
        self._revision = 0
        self._instances: dict[str, _InstanceRow] = {}
        self.faults = PlatformFaults()
        self.request_counts: Counter[str] = Counter()
        self._server = WebServer(
            host, port, self._handle_request, threads=SERVER_THREADS
        )
        self.port = self._server.port
        self.url = f"http://{host}:{self.port}"

    def start(self) -> None:
        """Serve requests until `stop` is called."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving and close every connection."""
        self._server.stop()

    def put_instance(
        self, record: dict[str, Any], addresses: dict[str, tuple[str, int]]
    ) -> None:
        """Add or replace an instance in the instance list.

        ``addresses`` is the address to return to callers in each region; other regions
        get the host and the port in ``record``.
        """
        with self._condition:
            self._instances[record["instance_id"]] = _InstanceRow(record, addresses)

    def remove_instance(self, instance_id: str) -> None:
        """Remove an instance from the instance list, if it is there."""
        with self._condition:
            self._instances.pop(instance_id, None)

    def _handle_request(self, request: WebRequest) -> WebResponse:
        parts = request.path.strip("/").split("/")
        if parts[0] == "_faults":
            return self._set_faults(request)
        if parts[0] == "_calls":
            return WebResponse.from_json(dict(self.request_counts))
        self.request_counts[f"{request.method} {parts[0]}"] += 1
        if self.faults.is_down:
            return WebResponse.from_json({"error": "down"}, status=503)
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        if parts[0] == "objects" and len(parts) == 3:
            return self._handle_object(request, parts[1], parts[2])
        if parts[0] == "objects":
            return self._list_objects(request)
        if parts[0] == "watch":
            return self._watch(request)
        if parts[0] == "instances":
            return self._handle_instances(request)
        return WebResponse.from_json({"error": "unknown path"}, status=404)

    def _set_faults(self, request: WebRequest) -> WebResponse:
        for name, value in json.loads(request.body or b"{}").items():
            if not hasattr(self.faults, name):
                return WebResponse.from_json({"error": name}, status=400)
            setattr(self.faults, name, value)
        return WebResponse.from_json(vars(self.faults))

    def _handle_object(self, request: WebRequest, kind: str, name: str) -> WebResponse:
        if request.method == "GET":
            with self._condition:
                found = self._objects.get((kind, name))
            if found is None:
                return WebResponse.from_json({"error": "not found"}, status=404)
            return WebResponse.from_json(found.encode())
        return self._write_object(request, kind, name)

    def _write_object(self, request: WebRequest, kind: str, name: str) -> WebResponse:
        expected = int(request.query.get("expected", "0"))
        with self._condition:
            current = self._objects.get((kind, name))
            if (current.revision if current else 0) != expected:
                encoded = current.encode() if current else None
                return WebResponse.from_json({"current": encoded}, status=409)
            self._revision += 1
            is_deleted = request.method == "DELETE"
            changed = _StoredObject(
                kind, name, self._revision, request.body, is_deleted
            )
            if is_deleted:
                self._objects.pop((kind, name), None)
            else:
                self._objects[(kind, name)] = changed
            self._append_event(changed)
            self._condition.notify_all()
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return WebResponse.from_json({"error": "answer lost"}, status=500)
        return WebResponse.from_json({"revision": changed.revision})

    def _append_event(self, changed: _StoredObject) -> None:
        if self.faults.drop_events > 0:
            self.faults.drop_events -= 1
            return
        self._events.append(changed)
        if len(self._events) > MAX_KEPT_EVENTS:
            dropped = self._events.pop(0)
            self._last_dropped_revision = dropped.revision

    def _list_objects(self, request: WebRequest) -> WebResponse:
        kinds = request.query.get("kinds", "").split(",")
        with self._condition:
            rows = [o.encode() for o in self._objects.values() if o.kind in kinds]
            revision = self._revision
        return WebResponse.from_json({"revision": revision, "objects": rows})

    def _watch(self, request: WebRequest) -> WebResponse:
        kinds = request.query.get("kinds", "").split(",")
        after = int(request.query.get("after", "0"))
        deadline = time.monotonic() + float(request.query.get("timeout", "1"))
        with self._condition:
            if after < self._last_dropped_revision or after > self._revision:
                return WebResponse.from_json({"error": "gone"}, status=410)
            while True:
                rows = [
                    o for o in self._events if o.revision > after and o.kind in kinds
                ]
                remaining_s = deadline - time.monotonic()
                if rows or remaining_s <= 0 or self.faults.is_down:
                    break
                self._condition.wait(min(remaining_s, 0.5))
            revision = self._revision
        encoded = [row.encode() for row in rows]
        return WebResponse.from_json({"revision": revision, "objects": encoded})

    def _handle_instances(self, request: WebRequest) -> WebResponse:
        if request.method == "PUT":
            row = json.loads(request.body)
            self.put_instance(row["record"], row.get("addresses", {}))
            return WebResponse.from_json({})
        region = request.query.get("region", "")
        with self._condition:
            rows = [
                _resolve_record(instance, region)
                for instance in self._instances.values()
            ]
        return WebResponse.from_json({"instances": rows})


def _resolve_record(instance: _InstanceRow, region: str) -> dict[str, Any]:
    address = instance.addresses.get(region)
    if address is None:
        return instance.record
    return {**instance.record, "host": address[0], "port": address[1]}
