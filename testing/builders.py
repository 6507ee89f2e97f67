"""Builders of test data, and a fake of the platform's object API."""

import hashlib
import itertools
import json

from bamboolever._calls import CallRequest
from bamboolever._claims import ClaimOperation, ClaimRecord
from bamboolever._documents import Contract, Rollout, ServiceDocument
from bamboolever._manifest import Manifest
from bamboolever._planner import PeerLocation, TransferView
from bamboolever._platform import (
    InstanceRecord,
    Platform,
    PlatformUnavailable,
    Snapshot,
    StoredObject,
    WriteAmbiguous,
    WriteConflict,
)
from bamboolever._routing import UpstreamView

_serial = itertools.count(1)


def make_contract(**changes):
    content = {
        "workspace": "studio-a",
        "api_key_sha256": [hashlib.sha256(b"key-a").hexdigest()],
        "services": ["engraver", "orders"],
        "requests_per_second": 1000,
        "burst": 1000,
        "concurrency": 1000,
        "queue": 1000,
        "deadline": "30 s",
        **changes,
    }
    return Contract.model_validate(content)


def make_service(name="engraver", **changes):
    content = {
        "name": name,
        "kind": "model",
        "routing": "least-outstanding",
        "routes": [
            {"method": "POST", "path": "/v1/completions", "idempotent": True},
            {"method": "POST", "path": "/jobs", "idempotent": False},
        ],
        **changes,
    }
    return ServiceDocument.model_validate(content)


def make_request(call_id=None, **changes):
    call_id = call_id or next(_serial)
    content = {
        "call_id": call_id,
        "trace_id": f"trace-{call_id}",
        "workspace": "studio-a",
        "service": "engraver",
        "method": "POST",
        "path": "/v1/completions",
        "content_type": "application/json",
        "body": b"{}",
        "is_stream": False,
        "is_idempotent": True,
        "idempotency_key": "",
        "priority": 5,
        "arrived_at": 0.0,
        "deadline_at": 30.0,
        "body_digest": f"digest-{call_id}",
        **changes,
    }
    return CallRequest(**content)


def make_upstream(upstream_id="u1", **changes):
    content = {
        "service": "engraver",
        "region": "cape",
        "availability_zone": "cape-1",
        "capacity": 8,
        "version": "v1",
        "is_accepting": True,
        **changes,
    }
    return UpstreamView(upstream_id, **content)


def make_manifest(version="v1", chunk_count=12, chunk_bytes=64):
    weights = b"".join(
        hashlib.sha256(f"{version}/{i}".encode()).digest() * (chunk_bytes // 32)
        for i in range(chunk_count)
    )
    return Manifest.from_weights("engraver", version, weights, chunk_bytes)


def make_location(instance_id, region="cape"):
    return PeerLocation(instance_id, region, f"{region}-1")


def make_transfer_view(instance_id, locations, manifest, **changes):
    by_id = {location.instance_id: location for location in locations}
    view = TransferView(by_id[instance_id], manifest, **changes)
    view.set_fleet(by_id)
    return view


def make_record(instance_id, role="agent", **changes):
    content = {
        "service": "engraver",
        "region": "cape",
        "availability_zone": "cape-1",
        "host": "127.0.0.1",
        "port": 1,
        "is_leaving": False,
        **changes,
    }
    return InstanceRecord(instance_id, role, **content)


def make_claim(key="w/s/k", nonce="n1", body="digest", **changes):
    content = {"holder": "entry-1", "claimed_at": 0.0, **changes}
    return ClaimOperation(key, ClaimRecord(body, nonce=nonce, **content))


def make_rollout_object(version, revision, service="engraver"):
    rollout = Rollout(
        service=service,
        model="engraver",
        version=version,
        manifest_digest=hashlib.sha256(version.encode()).hexdigest(),
    )
    value = rollout.model_dump_json().encode()
    return StoredObject("rollouts", service, revision, value)


class FakePlatform(Platform):
    """An object API in memory with faults to inject.

    ``is_down`` fails every request. The next ``lose_answers`` writes are stored but
    raise `WriteAmbiguous`; the next ``lose_requests`` writes raise it and are not
    stored. ``before_write`` is called once, before the next write.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.is_down = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.read_count = 0
        self.before_write = None

    def get(self, kind, name):
        self._check()
        self.read_count += 1
        return self.objects.get((kind, name))

    def list_objects(self, kinds):
        self._check()
        found = [o for o in self.objects.values() if o.kind in kinds]
        return Snapshot(self.revision, tuple(found))

    def write(self, kind, name, value, *, expected_revision):
        self._check()
        if self.before_write is not None:
            hook, self.before_write = self.before_write, None
            hook()
        if self.lose_requests:
            self.lose_requests -= 1
            raise WriteAmbiguous("the request was lost")
        current = self.objects.get((kind, name))
        if (current.revision if current else 0) != expected_revision:
            raise WriteConflict(current)
        self.revision += 1
        self.objects[(kind, name)] = StoredObject(kind, name, self.revision, value)
        if self.lose_answers:
            self.lose_answers -= 1
            raise WriteAmbiguous("the response was lost")
        return self.revision

    def delete(self, kind, name, *, expected_revision):
        self._check()
        self.revision += 1
        del self.objects[(kind, name)]
        return self.revision

    def watch(self, kinds, *, after_revision, timeout_s):
        self._check()
        return Snapshot(self.revision, ())

    def list_instances(self, region):
        self._check()
        return []

    def put(self, kind, name, content):
        self.revision += 1
        value = json.dumps(content).encode()
        stored = StoredObject(kind, name, self.revision, value)
        self.objects[(kind, name)] = stored
        return stored

    def _check(self):
        if self.is_down:
            raise PlatformUnavailable("down")
