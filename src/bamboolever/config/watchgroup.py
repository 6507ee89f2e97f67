"""What the watches of one process tell each other about the store."""

from typing import TYPE_CHECKING

from bamboolever.net.responsetimes import ResponseTimes

if TYPE_CHECKING:
    from bamboolever.config.watch import KindWatch


class WatchGroup:
    """The watches of one process.

    Load pattern: a store that responds again after an outage. It never responds to
    calls sent during the outage, so a response to one watch makes the others send
    further calls beside their hung ones at once.

    ``response_times`` are those of the store, as all watches of the process see them.
    """

    def __init__(self) -> None:
        self.response_times = ResponseTimes()
        self._watches: list[KindWatch] = []

    def add(self, watch: "KindWatch") -> None:
        """Add a watch to the group."""
        self._watches.append(watch)

    def on_restored(self, era: int) -> None:
        """Tell all watches the era of a store that was restored from a copy."""
        for watch in self._watches:
            watch.follow_era(era)

    def on_response(self) -> None:
        """Retry the hung calls of all watches; called after each valid response."""
        for watch in self._watches:
            watch.retry_if_hung()
