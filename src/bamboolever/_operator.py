"""The operations behind the commands apply, diff, status, rollout and drain.

Documents are written on the condition that they still have the revision that was
read before. If two operators change the same document, the first write succeeds and
the second operator gets a `ChangeConflict` with the differences.
"""

import json
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pydantic import BaseModel
from returns.result import Failure, Result, Success

from bamboolever._agent import MANIFEST_KIND
from bamboolever._documents import (
    CONFIGURATION_KINDS,
    ROLLOUT_KIND,
    Document,
    DocumentError,
    DocumentFile,
    DocumentKey,
    Fault,
    Rollout,
    decode_document,
    encode_document,
    index_documents,
    load_toml,
)
from bamboolever._entry import DRAIN_KIND, STATUS_KIND
from bamboolever._manifest import Manifest
from bamboolever._origin import Origin
from bamboolever._platform import (
    Platform,
    StoredObject,
    WriteConflict,
    write_resolved,
)

STALE_AFTER_S = 15.0


class ChangeConflict(Exception):
    """Another operator changed a document after it was read, so it is not written.

    The message names the operator and how the stored document differs from this one.
    """

    def __init__(self, key: DocumentKey, differences: list[str], changed_by: str):
        super().__init__(
            f"{key.kind}/{key.name} was changed by {changed_by} at the same time: "
            f"{'; '.join(differences) or 'same content'}; review it and apply again"
        )
        self.key = key


@dataclass(frozen=True)
class Change:
    """How a document differs from the stored one with the same key.

    ``read_revision`` is the revision of the stored document when it was read, or 0 if
    there was none. ``differences`` are for display, such as ``queue: 20 -> 10``.
    """

    key: DocumentKey
    document: Document
    read_revision: int
    differences: tuple[str, ...]

    @property
    def is_needed(self) -> bool:
        """Whether the document has to be written."""
        return bool(self.differences)


@dataclass
class FleetStatus:
    """The status objects of the entries, merged.

    ``agents`` has the latest report on each agent. ``services`` has, by service with
    a rollout, its target version and the states and transferred bytes of its agents.
    """

    entries: list[dict[str, Any]] = field(default_factory=list)
    agents: list[dict[str, Any]] = field(default_factory=list)
    services: dict[str, dict[str, Any]] = field(default_factory=dict)


def load_document_files(
    paths: list[Path],
) -> Result[dict[DocumentKey, Document], list[Fault]]:
    """Return the documents of TOML files by key, or the faults of all files.

    A document that two files define is a fault.
    """
    documents: dict[DocumentKey, Document] = {}
    faults: list[Fault] = []
    for path in paths:
        loaded = load_toml(path, DocumentFile)
        if isinstance(loaded, Failure):
            faults += loaded.failure()
            continue
        for key, document in index_documents(loaded.unwrap()).items():
            if key in documents:
                problem = "is defined in an earlier file too; keep one"
                faults.append(Fault(str(path), f"{key.kind}/{key.name}", problem))
            documents[key] = document
    return Failure(faults) if faults else Success(documents)


def plan_changes(
    platform: Platform, documents: dict[DocumentKey, Document]
) -> list[Change]:
    """Return the change for each document, compared with the stored one.

    Documents without differences are included. Nothing is written. Raises
    `PlatformError`.
    """
    snapshot = platform.list_objects(CONFIGURATION_KINDS)
    stored_by_key = {DocumentKey(o.kind, o.name): o for o in snapshot.objects}
    return [
        _compare(key, document, stored_by_key.get(key))
        for key, document in sorted(documents.items(), key=lambda row: str(row[0]))
    ]


def apply_changes(platform: Platform, changes: list[Change], operator: str) -> int:
    """Write the documents that differ and return how many were written.

    ``operator`` is stored as ``changed_by``. Raises `ChangeConflict` when another
    operator changed a document since `plan_changes`, and `PlatformError`. Documents
    written before the error stay written.
    """
    written = 0
    for change in changes:
        if not change.is_needed:
            continue
        document = change.document.model_copy(update={"changed_by": operator})
        _write_document(platform, change.key, document, change.read_revision)
        written += 1
    return written


def start_rollout(
    platform: Platform,
    origin: Origin,
    *,
    service: str,
    model: str,
    version: str,
    operator: str,
) -> int:
    """Make ``version`` the target of a service; return the rollout's revision.

    Reads the manifest from the origin and stores it before the rollout that refers
    to it. Raises `OriginError`, `ManifestError`, `PlatformError`, or
    `ChangeConflict` when another rollout of the service started meanwhile.
    """
    current = platform.get(ROLLOUT_KIND, service)
    data = origin.read_manifest(model, version)
    manifest = Manifest.decode(data)
    stored = manifest.encode()
    try:
        write_resolved(
            platform, MANIFEST_KIND, manifest.digest, stored, expected_revision=0
        )
    except WriteConflict:
        # Stored under its digest, so the existing object is the same manifest.
        pass
    rollout = Rollout(
        service=service,
        model=model,
        version=version,
        manifest_digest=manifest.digest,
        changed_by=operator,
    )
    key = DocumentKey(ROLLOUT_KIND, service)
    return _write_document(platform, key, rollout, current.revision if current else 0)


def set_drain(platform: Platform, instance_id: str, operator: str) -> int:
    """Make the entries send no new calls to an instance; return the revision.

    Idempotent: a drain that exists is left as it is. Raises `PlatformError`.
    """
    value = json.dumps({"changed_by": operator}).encode()
    current = platform.get(DRAIN_KIND, instance_id)
    if current is not None:
        return current.revision
    return write_resolved(platform, DRAIN_KIND, instance_id, value, expected_revision=0)


def read_status(platform: Platform, now: float | None = None) -> FleetStatus:
    """Merge the status objects that the entries write to the platform.

    ``now`` is in seconds since the Unix epoch. The objects of entries that no longer
    run are included; after `STALE_AFTER_S` they are marked as stale. Of several
    reports on an agent, the one written last is kept. Raises `PlatformError`.
    """
    now = time.time() if now is None else now
    snapshot = platform.list_objects((STATUS_KIND, ROLLOUT_KIND))
    status = FleetStatus()
    agents: dict[str, dict[str, Any]] = {}
    for stored in snapshot.objects:
        if stored.kind != STATUS_KIND:
            continue
        content = json.loads(stored.value)
        age_s = max(0.0, now - float(content["written_at"]))
        content["age_s"] = round(age_s, 1)
        content["is_stale"] = age_s > STALE_AFTER_S
        for report in content.pop("agents"):
            report = {**report, "reported_at": content["written_at"]}
            report["is_stale"] = content["is_stale"]
            latest = agents.get(report["instance_id"])
            if latest is None or latest["reported_at"] < report["reported_at"]:
                agents[report["instance_id"]] = report
        status.entries.append(content)
    status.agents = [agents[name] for name in sorted(agents)]
    status.services = _summarize(status.agents, snapshot.objects)
    return status


def _summarize(
    agents: list[dict[str, Any]], objects: tuple[StoredObject, ...]
) -> dict[str, dict[str, Any]]:
    services: dict[str, dict[str, Any]] = {}
    for stored in objects:
        if stored.kind != ROLLOUT_KIND:
            continue
        rollout = json.loads(stored.value)
        service_agents = [a for a in agents if a["service_name"] == stored.name]
        serving = [
            a
            for a in service_agents
            if a["version"] == rollout["version"] and a["state"] == "serving"
        ]
        states: dict[str, int] = {}
        for agent in service_agents:
            states[agent["state"]] = states.get(agent["state"], 0) + 1
        services[stored.name] = {
            "target": rollout["version"],
            "changed_by": rollout["changed_by"],
            "revision": stored.revision,
            "instances": len(service_agents),
            "serving_target": len(serving),
            "states": states,
            "origin_bytes": sum(a["origin_bytes"] for a in service_agents),
            "import_bytes": sum(a["import_bytes"] for a in service_agents),
        }
    return services


def _compare(
    key: DocumentKey, document: Document, stored: StoredObject | None
) -> Change:
    revision = stored.revision if stored else 0
    if stored is None:
        return Change(key, document, revision, ("new",))
    try:
        current: BaseModel | None = decode_document(key.kind, stored.value)
    except DocumentError:
        current = None
    return Change(key, document, revision, tuple(_list_differences(current, document)))


def _list_differences(old: BaseModel | None, new: BaseModel) -> list[str]:
    if old is None:
        return ["the stored document was unreadable"]
    before = old.model_dump(mode="json")
    after = new.model_dump(mode="json")
    return [
        f"{name}: {before.get(name)!r} -> {value!r}"
        for name, value in after.items()
        if name != "changed_by" and before.get(name) != value
    ]


def _write_document(
    platform: Platform, key: DocumentKey, document: Document, read_revision: int
) -> int:
    value = encode_document(document)
    try:
        return write_resolved(
            platform, key.kind, key.name, value, expected_revision=read_revision
        )
    except WriteConflict as conflict:
        raise _make_conflict(key, document, conflict) from conflict


def _make_conflict(
    key: DocumentKey, document: Document, conflict: WriteConflict
) -> ChangeConflict:
    if conflict.current is None:
        return ChangeConflict(key, ["it was deleted"], "another operator")
    try:
        other = decode_document(key.kind, conflict.current.value)
    except DocumentError:
        return ChangeConflict(key, ["it is invalid now"], "another operator")
    changed_by = getattr(other, "changed_by", "another operator")
    return ChangeConflict(key, _list_differences(document, other), changed_by)
