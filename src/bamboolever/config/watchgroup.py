"""What the watches of one process tell each other about the store."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from bamboolever.config.missedchanges import SeenChanges
from bamboolever.net.responsetimes import ResponseTimes
from bamboolever.platform.store import StoredDocument

if TYPE_CHECKING:
    from bamboolever.config.watch import KindWatch


class WatchGroup:
    """The watches of one process.

    Load pattern: a store that responds again after an outage. It never responds to
    calls sent during the outage, nor, perhaps, to those that it held when the outage
    began. A response to one watch therefore makes the others send further calls beside
    theirs at once: those whose calls are overdue, and after an outage all.

    ``response_times`` are those of the store, as all watches of the process see them,
    and ``seen_changes`` are the changes of all kinds.
    """

    def __init__(self) -> None:
        self.response_times = ResponseTimes()
        self.seen_changes = SeenChanges()
        self._watches: list[KindWatch] = []

    def add(self, watch: "KindWatch") -> None:
        """Add a watch to the group."""
        self._watches.append(watch)

    def on_restored(self, era: int) -> None:
        """Tell all watches the era of a store that was restored from a copy."""
        self.seen_changes.clear()
        for watch in self._watches:
            watch.follow_era(era)

    def on_response(self, answered: "KindWatch", *, is_after_outage: bool) -> None:
        """Retry the calls that may have been lost; called after each valid response.

        ``is_after_outage`` is set if the store was unreachable for ``answered`` before.
        """
        for watch in self._watches:
            if watch is not answered:
                watch.retry_if_hung(is_after_outage=is_after_outage)

    def on_revision(
        self,
        answered: "KindWatch",
        revision: int,
        documents: Iterable[StoredDocument],
    ) -> None:
        """Tell the other watches which revision a response named, and its objects."""
        self.seen_changes.add(documents)
        for watch in self._watches:
            if watch is not answered:
                watch.expect_changes_until(revision)
