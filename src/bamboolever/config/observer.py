"""Interface of what follows one kind of the store's objects."""

from abc import ABC, abstractmethod

from bamboolever.platform.store import StoredDocument


class KindObserver(ABC):
    """Receives the objects of one kind; all callbacks run on the watch's task."""

    @abstractmethod
    def on_listing(self, documents: tuple[StoredDocument, ...]) -> None:
        """Called with all objects after a listing; no others exist any more."""

    @abstractmethod
    def on_changes(self, documents: tuple[StoredDocument, ...]) -> None:
        """Called with changed objects, oldest first; a value of None is a deletion."""

    @abstractmethod
    def on_confirmed(self, as_of: float) -> None:
        """Called when all objects passed on so far were current at ``as_of``.

        ``as_of`` is in seconds of the task's clock.
        """

    @abstractmethod
    def on_store_restored(self) -> None:
        """Called when the store came back from a copy that may lack recent changes.

        Also called at the first response of a store that was restored before, since it
        may have come back just now. A listing follows. Objects that the copy lacks may
        be written again soon.
        """

    @abstractmethod
    def on_reachability_changed(self, is_reachable: bool, reason: str) -> None:
        """Called when the store becomes reachable or unreachable for this watch.

        ``reason`` is a text for the log.
        """
