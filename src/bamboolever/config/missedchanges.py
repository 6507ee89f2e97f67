"""Notices that the store's response to a waiting call was lost.

Takes the revisions of the store that responses to all watches of a process name, and
the changes that they hold. Decides when a watch has to ask for changes that a call in
flight should have brought.

Load pattern: a store that loses single responses, and connections that go silent one by
one. A call that waits for rare changes looks the same whether there are none or its
response was lost, for as long as the store may hold it. The store has one revision for
all kinds of objects: once it is past the changes that were seen, a further call that
does not wait is sent. Without changes that costs nothing.
"""

from collections.abc import Callable, Iterable
from typing import final

from bamboolever._task import IoTask, Timer
from bamboolever.config.storecalls import StoreCalls
from bamboolever.platform.store import StoredDocument

# Revisions that are kept. A change is compared soon after it was seen.
MAX_REVISIONS = 256


@final
class SeenChanges:
    """The revisions of the changes that one process has seen, of all kinds."""

    def __init__(self) -> None:
        # A dict keeps the order.
        self._revisions: dict[int, None] = {}

    def add(self, documents: Iterable[StoredDocument]) -> None:
        """Record changed objects.

        Deletions are left out: they may state the revision of an earlier change.
        """
        for document in documents:
            if document.revision is None or document.value is None:
                continue
            self._revisions[document.revision] = None
            if len(self._revisions) > MAX_REVISIONS:
                del self._revisions[next(iter(self._revisions))]

    def are_all(self, after: int, until: int) -> bool:
        """Return whether all changes after one revision until another were seen.

        Each change has a revision of its own, so that they are if they are as many.
        """
        if until <= after:
            return True
        seen = sum(after < revision <= until for revision in self._revisions)
        return until - after <= seen

    def clear(self) -> None:
        """Forget all changes, as the revisions of a restored store begin anew."""
        self._revisions.clear()


@final
class MissedChangeCheck:
    """Lets one watch probe for what its calls in flight should have brought.

    ``known_revision`` returns the revision up to which the watch knows its objects, or
    None while it lists them. ``probe`` sends a call for the changes since, without a
    wait.
    """

    def __init__(
        self,
        task: IoTask,
        calls: StoreCalls,
        seen: SeenChanges,
        known_revision: Callable[[], int | None],
        probe: Callable[[], None],
    ):
        self._task = task
        self._calls = calls
        self._seen = seen
        self._known_revision = known_revision
        self._probe = probe
        self._expected_revision = 0
        self._timer: Timer | None = None

    def expect(self, revision: int) -> None:
        """Record that the store has reached a revision."""
        self._expected_revision = max(self._expected_revision, revision)
        if self._timer is None and self._may_miss_changes():
            self._check_later()

    def cancel(self) -> None:
        """Expect nothing any more."""
        self._expected_revision = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _may_miss_changes(self) -> bool:
        known = self._known_revision()
        if known is None or not self._calls.is_any:
            return False
        return not self._seen.are_all(known, self._expected_revision)

    def _check_later(self) -> None:
        # The response may be on its way beside the one that named the revision.
        self._timer = self._task.call_later(self._calls.hung_s, self._check)

    def _check(self) -> None:
        self._timer = None
        if not self._may_miss_changes():
            return
        if self._calls.are_silent:
            self._probe()
        # The response to the probe may be lost, too.
        self._check_later()
