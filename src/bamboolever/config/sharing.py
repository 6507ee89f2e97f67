"""What one process's watch of the store found, for other processes to use.

Load pattern: many processes that follow the same rare changes at a store that charges
for each call. One of a few processes watches; the others take over what it finds, and
call the store only when it falls silent.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import pairwise
from typing import final

from bamboolever.config.kindstate import Snapshot
from bamboolever.net.addresses import Address
from bamboolever.platform import store

# Size of the parts in which changes are passed on. JSON of this size fits into one
# datagram when it is compressed.
MAX_PART_BYTES = 3000


@dataclass(frozen=True)
class WatchResult:
    """The changes of one kind of object between two revisions of the store.

    ``changes`` is the body of the store's response, empty without changes; None means
    that it could not be passed on. ``as_of`` is when the objects at ``revision`` were
    the newest, in seconds of the receiving process's clock; None if that is unknown.
    ``source`` is the process that found it, if another one did.
    """

    kind: str
    era: int
    from_revision: int
    revision: int
    changes: bytes | None
    as_of: float | None
    source: Address | None = None


def split_result(result: WatchResult) -> Iterator[WatchResult]:
    """Split a result with changes into parts that fit into a datagram, oldest first.

    Only the last part is a confirmation. Yields one result without the changes if a
    single change is too large, or if the revisions do not show which part is missing
    when one is lost.
    """
    if not result.changes:
        yield result
        return
    parts = store.split_changes(result.changes, MAX_PART_BYTES)
    if not _rises(result.from_revision, [revision for revision, _ in parts]):
        yield replace(result, changes=None)
        return
    from_revision = result.from_revision
    for revision, changes in parts:
        yield replace(
            result,
            from_revision=from_revision,
            revision=revision,
            changes=changes,
            as_of=result.as_of if revision == result.revision else None,
        )
        from_revision = revision


def _rises(start: int, revisions: list[int]) -> bool:
    return bool(revisions) and all(
        earlier < later for earlier, later in pairwise([start, *revisions])
    )


class WatchSharing(ABC):
    """Decides whether a process calls the store itself, and passes on what it finds."""

    @abstractmethod
    def call_delay_s(self, now: float) -> float:
        """Return after how many seconds to call the store, if nothing is heard.

        0 means that this process watches for itself and for others.
        """

    @abstractmethod
    def publish(self, result: WatchResult) -> None:
        """Pass on what a call of this process returned."""

    def ask_peer(
        self,
        source: Address,
        kind: str,
        era: int,
        revision: int,
        on_snapshot: Callable[[Snapshot | None], None],
    ) -> bool:
        """Ask another process for all objects of a kind; return whether it is asked.

        ``era`` and ``revision`` are what is known here. ``on_snapshot`` is called
        later, with None if the process does not respond.
        """
        return False


@final
class NoSharing(WatchSharing):
    """Each process calls the store for itself."""

    def call_delay_s(self, now: float) -> float:
        """Return 0: call at once."""
        return 0.0

    def publish(self, result: WatchResult) -> None:
        """Do nothing, as nobody listens."""
