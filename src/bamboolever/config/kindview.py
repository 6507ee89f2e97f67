"""What one process knows of a kind, and its observer.

Takes what the store, peers and neighbors tell. Decides by era and revision whether it
is new and passes that on to the observer, whoever told it.

Load pattern: the same changes arrive from the store and from several peers, late or
repeated, and around a restore of the store also from before it.
"""

import logging
from typing import final

from bamboolever.config.kindstate import KindState, Snapshot
from bamboolever.config.observer import KindObserver
from bamboolever.config.sharing import WatchResult
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.platform import store
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.store import StoredDocument

logger = logging.getLogger(__name__)


@final
class KindView:
    """The objects of one kind, and who is told of their changes."""

    def __init__(self, kind: str, observer: KindObserver, group: WatchGroup):
        self._kind = kind
        self.observer = observer
        self._group = group
        self.state = KindState()

    def is_current_era(self, era: int) -> bool:
        """Return whether something of ``era`` belongs to the objects known here.

        The first era heard of is taken over. A later one is told to all watches.
        """
        if self.state.era is None:
            self._begin_era(era)
            return True
        if era > self.state.era:
            self._group.on_restored(era)
            return False
        return era == self.state.era

    def _begin_era(self, era: int) -> None:
        """Take over the first era; the store may have been restored just before."""
        self.state.era = era
        if era > 0:
            logger.info(
                "store restored before the start",
                extra={"kind": self._kind, "era": era},
            )
            self.observer.on_store_restored()

    def follow_era(self, era: int) -> bool:
        """Forget the objects if the store was restored; return whether it was."""
        if self.state.era is None or era <= self.state.era:
            return False
        logger.warning("store restored", extra={"kind": self._kind, "era": era})
        self.state.follow_era(era)
        self.observer.on_store_restored()
        return True

    def apply_listing(
        self,
        documents: tuple[StoredDocument, ...],
        revision: int,
        changed_revision: int,
    ) -> None:
        """Replace the objects unless they are newer than the listing."""
        if self.state.take_listing(documents, revision):
            self.state.on_change_known(changed_revision)
            self.observer.on_listing(documents)

    def apply_changes(
        self, documents: tuple[StoredDocument, ...], revision: int
    ) -> None:
        """Apply changes that begin at or before the revision that is known."""
        new = self.state.take_changes(documents, revision)
        if new:
            self.observer.on_changes(new)

    def confirm(self, as_of: float) -> None:
        """Record that the objects were the newest at ``as_of``."""
        self.state.confirm(as_of)
        self.observer.on_confirmed(as_of)

    def apply_result(self, result: WatchResult) -> bool:
        """Take over a peer's result; return whether no change before it is missing."""
        if self.state.revision is None or not self.is_current_era(result.era):
            return True
        if result.revision > self.state.revision:
            if result.changes is None or result.from_revision > self.state.revision:
                return False
            documents: tuple[StoredDocument, ...] = ()
            if result.changes:
                try:
                    documents = store.decode_changes(result.changes).documents
                except AdapterError as error:
                    logger.warning("store update ignored", extra={"reason": str(error)})
                    return False
            self.apply_changes(documents, result.revision)
        if result.as_of is not None:
            # What is known here is as new as the peer's, or newer.
            self.confirm(result.as_of)
        return True

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take over all objects as another process knows them, if they are newer."""
        if not self.is_current_era(snapshot.era):
            return
        known = self.state.revision
        is_newer = known is None or snapshot.revision > known
        if snapshot.documents is not None and is_newer:
            self.apply_listing(
                snapshot.documents, snapshot.revision, snapshot.changed_revision
            )
        known = self.state.revision
        if known is None or known < snapshot.revision:
            return
        if snapshot.as_of is not None:
            self.confirm(snapshot.as_of)
