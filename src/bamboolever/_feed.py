"""Configuration feed: documents in force, by one revision that never falls.

Pure. Documents come from the platform or from another process; a document is
taken only when its revision is above the one held, and only when it passes its
checks. Deletions are kept as tombstones, so that an older copy of the document
cannot bring it back.
"""

from dataclasses import dataclass
from typing import final

from bamboolever._documents import (
    MODELS,
    Document,
    DocumentError,
    DocumentKey,
    decode_document,
)
from bamboolever._platform import StoredObject


@dataclass(frozen=True)
class RefusedDocument:
    """A document that failed its checks and did not come into force."""

    key: DocumentKey
    revision: int
    problem: str


@final
class ConfigurationFeed:
    """The documents in force in this process.

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
        # Up to here a whole copy was seen: what it lacked does not exist.
        self._copied_revision = 0

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
        """Every known object, tombstones included, to hand to other processes."""
        return list(self._stored.values())

    def get(self, kind: str, name: str) -> Document | None:
        """Return the document in force."""
        return self._documents.get(DocumentKey(kind, name))

    def is_present(self, kind: str, name: str) -> bool:
        """Whether the object exists, as far as is known here."""
        stored = self._stored.get(DocumentKey(kind, name))
        return stored is not None and not stored.is_deleted

    def get_revision(self, kind: str, name: str) -> int:
        """Return the stored revision of a document, 0 when unknown."""
        stored = self._stored.get(DocumentKey(kind, name))
        return stored.revision if stored else 0

    def list_documents(self, kind: str) -> list[tuple[str, Document]]:
        """Return the documents of a kind in force, by name."""
        return sorted(
            (key.name, document)
            for key, document in self._documents.items()
            if key.kind == kind
        )

    def apply_snapshot(
        self, revision: int, objects: list[StoredObject]
    ) -> list[DocumentKey]:
        """Take a whole copy; objects that it lacks are deleted.

        A copy that is older than what is known is ignored. Returns the changed
        keys.
        """
        if revision < self._revision:
            return []
        named = {DocumentKey(o.kind, o.name) for o in objects}
        missing = [
            StoredObject(key.kind, key.name, revision, b"", is_deleted=True)
            for key, known in self._stored.items()
            if key not in named and not known.is_deleted and known.revision <= revision
        ]
        self._revision = revision
        self._copied_revision = 0
        changed = self._take([*objects, *missing])
        self._copied_revision = revision
        return changed

    def apply_changes(
        self, from_revision: int, revision: int, objects: list[StoredObject]
    ) -> list[DocumentKey] | None:
        """Take the changes between two revisions.

        Returns None when changes before ``from_revision`` are not known here:
        the caller must ask for a whole copy. Returns the changed keys otherwise.
        """
        if from_revision > self._revision:
            return None
        changed = self._take(objects)
        self._revision = max(self._revision, revision)
        return changed

    def _take(self, objects: list[StoredObject]) -> list[DocumentKey]:
        changed = []
        for stored in sorted(objects, key=lambda o: o.revision):
            key = DocumentKey(stored.kind, stored.name)
            known = self._stored.get(key)
            known_revision = known.revision if known else self._copied_revision
            if stored.revision <= known_revision:
                continue
            self._stored[key] = stored
            if self._put_in_force(key, stored):
                changed.append(key)
        return changed

    def _put_in_force(self, key: DocumentKey, stored: StoredObject) -> bool:
        self._refused.pop(key, None)
        if key.kind not in MODELS:
            # A mark, such as a drain: that it exists is all it says.
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
