"""Gets changes that another process knows of and this one lacks.

Takes the revisions that peers name, and who named them. Decides whether the change may
be on its way, and whether the peer or the store is asked for it.

Load pattern: updates between peers that are lost, and changes that no datagram holds.
The peer that told of a change is asked first: a large one would cross the link to the
store once for each process otherwise.
"""

from collections.abc import Callable
from typing import final

from bamboolever._task import IoTask
from bamboolever.config.kindstate import Snapshot
from bamboolever.config.storecalls import HUNG_CALL_S, StoreCalls
from bamboolever.net.addresses import Address


@final
class CatchUp:
    """Lets one watch get what it lacks, one question at a time.

    ``known_revision`` returns the revision up to which the watch knows its objects,
    None before its first listing; ``is_reachable`` whether the store responds to it.
    ``ask_peer`` asks a process for all objects and returns whether it is asked, and
    ``call_store`` asks the store. ``on_snapshot`` receives what a peer sent.
    """

    def __init__(
        self,
        task: IoTask,
        calls: StoreCalls,
        *,
        known_revision: Callable[[], int | None],
        is_reachable: Callable[[], bool],
        ask_peer: Callable[[Address, Callable[[Snapshot | None], None]], bool],
        call_store: Callable[[], None],
        on_snapshot: Callable[[Snapshot], None],
    ):
        self._task = task
        self._calls = calls
        self._known_revision = known_revision
        self._is_reachable = is_reachable
        self._ask_peer = ask_peer
        self._call_store = call_store
        self._on_snapshot = on_snapshot
        self._is_asking = False
        self._is_cancelled = False
        # The revision at which a peer was first known to be ahead, and since when.
        self._behind_at: int | None = None
        self._behind_since = 0.0

    def request(self, revision: int, source: Address | None) -> None:
        """Get the changes up to ``revision`` from ``source``, or from the store."""
        if self._is_asking or self._awaits_own_call():
            return

        def on_answer(snapshot: Snapshot | None) -> None:
            self._is_asking = False
            if self._is_cancelled:
                return
            if snapshot is not None:
                self._on_snapshot(snapshot)
            known = self._known_revision()
            if known is not None and known < revision:
                self._call_store()

        if source is None:
            self._call_store()
            return
        self._is_asking = True
        if not self._ask_peer(source, on_answer):
            self._is_asking = False
            self._call_store()

    def cancel(self) -> None:
        """Ignore the answer that is due."""
        self._is_cancelled = True

    def _awaits_own_call(self) -> bool:
        """Return whether a call in flight may soon bring a change that a peer has."""
        if not self._calls.is_any or not self._is_reachable():
            return False
        now = self._task.now()
        known = self._known_revision()
        if self._behind_at != known:
            self._behind_at, self._behind_since = known, now
        is_recent = now - self._behind_since < HUNG_CALL_S
        return is_recent or self._calls.is_arriving
