"""Decides which configuration documents are in force in this process.

The feed takes snapshots and changes from the platform or from another process. They
may arrive late, twice and out of order. It decides for each object in them:

- It replaces the object held here only when its revision is higher, so that no
  document reverts.
- A document that fails its checks is refused; the last good one stays in force.
- A deletion is kept as a tombstone, so that an older copy of the document cannot
  bring it back.

The revision that the feed has reached never decreases. Nothing here does I/O or reads
a clock.
"""

from dataclasses import dataclass
from typing import final

from bamboolever._documents import (
    DOCUMENT_TYPES,
    Document,
    DocumentError,
    DocumentKey,
    decode_document,
)
from bamboolever._platform import StoredObject


@dataclass(frozen=True)
class RefusedDocument:
    """A document that failed its checks, its revision and the first errors."""

    key: DocumentKey
    revision: int
    problem: str


@final
class ConfigurationFeed:
    """Holds the objects received so far and the documents in force.

    Methods return the keys of the objects that changed, so that the caller can
    apply just these.

    >>> feed = ConfigurationFeed()
    >>> feed.apply_snapshot(7, [])
    []
    >>> feed.revision
    7
    """

    def __init__(self) -> None:
        self._stored: dict[DocumentKey, StoredObject] = {}
        self._documents: dict[DocumentKey, Document] = {}
        self._refused: dict[DocumentKey, RefusedDocument] = {}
        self._revision = 0
        # Revision of the last snapshot. An object that is not known here did not exist
        # then, so an older change to it is obsolete.
        self._snapshot_revision = 0

    @property
    def revision(self) -> int:
        """Revision up to which every change is known."""
        return self._revision

    @property
    def refused(self) -> list[RefusedDocument]:
        """Documents whose newest revision failed its checks."""
        return list(self._refused.values())

    @property
    def stored(self) -> list[StoredObject]:
        """Every known object, including tombstones, to send to other processes."""
        return list(self._stored.values())

    def get(self, kind: str, name: str) -> Document | None:
        """Return the document in force, or None."""
        return self._documents.get(DocumentKey(kind, name))

    def is_present(self, kind: str, name: str) -> bool:
        """Return whether the object exists at the revision known here.

        Also for objects that are not documents, such as drains, and for documents
        that were refused.
        """
        stored = self._stored.get(DocumentKey(kind, name))
        return stored is not None and not stored.is_deleted

    def get_revision(self, kind: str, name: str) -> int:
        """Return the highest revision seen of an object, 0 when it is unknown.

        Refused documents and tombstones count too.
        """
        stored = self._stored.get(DocumentKey(kind, name))
        return stored.revision if stored else 0

    def list_documents(self, kind: str) -> list[tuple[str, Document]]:
        """Return the names and documents of a kind in force, sorted by name."""
        return sorted(
            (key.name, document)
            for key, document in self._documents.items()
            if key.kind == kind
        )

    def apply_snapshot(
        self, revision: int, objects: list[StoredObject]
    ) -> list[DocumentKey]:
        """Apply every object that the platform holds at ``revision``.

        Known objects that are not among ``objects`` are deleted. A snapshot older
        than `revision` is ignored. Returns the changed keys.
        """
        if revision < self._revision:
            return []
        snapshot_keys = {DocumentKey(o.kind, o.name) for o in objects}
        missing = [
            StoredObject(key.kind, key.name, revision, b"", is_deleted=True)
            for key, known in self._stored.items()
            if key not in snapshot_keys
            and not known.is_deleted
            and known.revision <= revision
        ]
        self._revision = revision
        # An object in the snapshot exists, however old its revision is.
        self._snapshot_revision = 0
        changed = self._apply_objects([*objects, *missing])
        self._snapshot_revision = revision
        return changed

    def apply_changes(
        self, from_revision: int, revision: int, objects: list[StoredObject]
    ) -> list[DocumentKey] | None:
        """Apply the changes after ``from_revision`` up to ``revision``.

        Returns the changed keys, or None when changes before ``from_revision`` are
        missing here. The caller must then get a snapshot.
        """
        if from_revision > self._revision:
            return None
        if from_revision == 0 and revision >= self._revision:
            # All changes ever made name every object that exists. A process that
            # started from a snapshot has no tombstones of the objects deleted before.
            return self.apply_snapshot(revision, objects)
        changed = self._apply_objects(objects)
        self._revision = max(self._revision, revision)
        return changed

    def _apply_objects(self, objects: list[StoredObject]) -> list[DocumentKey]:
        changed = []
        for stored in sorted(objects, key=lambda o: o.revision):
            key = DocumentKey(stored.kind, stored.name)
            known = self._stored.get(key)
            known_revision = known.revision if known else self._snapshot_revision
            if stored.revision <= known_revision:
                continue
            self._stored[key] = stored
            if self._update_document(key, stored):
                changed.append(key)
        return changed

    def _update_document(self, key: DocumentKey, stored: StoredObject) -> bool:
        """Put a document in force or remove it; return whether anything changed."""
        self._refused.pop(key, None)
        if key.kind not in DOCUMENT_TYPES:
            # Of an object of another kind, such as a drain, only its existence matters.
            return True
        if stored.is_deleted:
            return self._documents.pop(key, None) is not None
        try:
            self._documents[key] = decode_document(key.kind, stored.value)
        except DocumentError as error:
            problem = str(error)[:500]
            self._refused[key] = RefusedDocument(key, stored.revision, problem)
            return False
        return True
