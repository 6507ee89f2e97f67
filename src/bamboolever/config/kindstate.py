"""The objects of one kind as one process knows them.

Takes listings, changes and snapshots, in any order, late or repeated. Decides by era
and revision what is new in them.

Load pattern: several calls to the store in flight, and peers that pass on what they
found: whatever arrives first is used, and what is older changes nothing.
"""

import math
from dataclasses import dataclass

from bamboolever.platform.store import StoredDocument


@dataclass(frozen=True)
class Snapshot:
    """All objects of a kind at a revision of the store.

    ``documents`` is None if the asking process knows them already. At ``as_of`` they
    were the newest, in seconds of the clock of the process that has the snapshot; None
    if that is unknown. ``changed_revision`` is the store's at the last change, or that
    of the listing if none was watched since.
    """

    era: int
    revision: int
    changed_revision: int
    documents: tuple[StoredDocument, ...] | None
    as_of: float | None


class KindState:
    """Objects by name, and the era and revision of the store that they are from.

    ``era`` is how often the store was restored; None before the first response. With
    ``revision`` None, the objects of the era are not known.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.revision: int | None = None
        # The store's revision at the last change that was watched or may have been
        # listed: a process that knows less may lack a change.
        self.changed_revision = 0
        # Counts the changes of the objects.
        self.change_count = 0
        self._documents: dict[str, StoredDocument] = {}
        self._confirmed_at: float | None = None

    def take_listing(
        self, documents: tuple[StoredDocument, ...], revision: int
    ) -> bool:
        """Replace the objects; return whether the listing is no older than they are."""
        if self.revision is not None and revision < self.revision:
            return False
        self.revision = revision
        self.change_count += 1
        self._documents = {document.name: document for document in documents}
        return True

    def take_changes(
        self, documents: tuple[StoredDocument, ...], revision: int
    ) -> tuple[StoredDocument, ...]:
        """Apply changes up to ``revision``; return those that were not known.

        The changes must begin at or before the revision that is known.
        """
        known = self.revision
        if known is None or revision < known:
            return ()
        self.revision = revision
        new = tuple(each for each in documents if self._take(each, known))
        if new:
            self.changed_revision = revision
            self.change_count += 1
        return new

    def _take(self, document: StoredDocument, known: int) -> bool:
        name, changed = document.name, document.revision
        if document.value is not None:
            if changed is not None and changed <= known:
                return False
            self._documents[name] = document
            return True
        current = self._documents.get(name)
        if current is None:
            return False
        # A deletion may state the revision of the object's last change before it, so
        # that only a newer object shows that it was created again since.
        if current.revision is not None and current.revision > (changed or math.inf):
            return False
        del self._documents[name]
        return True

    def on_change_known(self, revision: int) -> None:
        """Record that the objects hold a change at ``revision`` of the store."""
        self.changed_revision = max(self.changed_revision, revision)

    def confirm(self, as_of: float) -> None:
        """Record that the objects were the newest at ``as_of``."""
        if self._confirmed_at is None or as_of > self._confirmed_at:
            self._confirmed_at = as_of

    def follow_era(self, era: int) -> None:
        """Forget the objects, as a restored store may have older ones."""
        self.era = era
        self.revision = None
        self.changed_revision = 0
        self.change_count += 1
        self._documents = {}
        self._confirmed_at = None

    def snapshot(self) -> Snapshot | None:
        """Return the objects; None while they are not known."""
        if self.era is None or self.revision is None:
            return None
        return Snapshot(
            self.era,
            self.revision,
            self.changed_revision,
            tuple(self._documents.values()),
            self._confirmed_at,
        )
