"""Follows the objects of one kind in the store: lists them, then watches.

Load pattern: hundreds of processes that follow rare changes. A watch waits at
the store, so that a change arrives at once and no change costs one call a wait.
"""

import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from bamboolever._task import IoTask, Timer
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool, ExchangeFailure
from bamboolever.net.fetch import Fetch, FetchResult, Response
from bamboolever.net.messages import Request
from bamboolever.platform import store
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.store import StoredDocument, StoreListing

logger = logging.getLogger(__name__)

LIST_TIMEOUT_S = 2.0
RESPONSE_MARGIN_S = 1.5
# A call that finds out whether the store is back; the limit grows, as the store
# may be slow rather than away.
MIN_PROBE_TIMEOUT_S = 1.0
MAX_PROBE_TIMEOUT_S = 2.0
PROBE_TIMEOUT_GROWTH = 1.5
# A call that has hung for this long is given up when the store answers another.
HANGING_S = 0.5
MIN_RETRY_S = 0.1
MAX_RETRY_S = 1.0
RETRY_GROWTH = 2.0


class KindObserver(ABC):
    """Is told of the objects of one kind, on the watch's task."""

    @abstractmethod
    def on_listing(self, documents: tuple[StoredDocument, ...]) -> None:
        """All objects as of now; those not among them no longer exist."""

    @abstractmethod
    def on_changes(self, documents: tuple[StoredDocument, ...]) -> None:
        """Changed objects, oldest first; a value of None is a deletion."""

    @abstractmethod
    def on_confirmed(self, as_of: float) -> None:
        """What was told so far was complete at this time of the task."""

    @abstractmethod
    def on_reachability_changed(self, is_reachable: bool, reason: str) -> None:
        """The store became reachable or unreachable for this watch."""


@dataclass(frozen=True)
class WatchTiming:
    """How long a watch waits at the store; None lists on request only."""

    wait_s: float | None


class WatchGroup:
    """The watches of one process: an answer to one tells the others.

    Load pattern: a store that comes back after a silence. Calls sent during the
    silence are never answered, so those that hang are sent again at once.
    """

    def __init__(self) -> None:
        self._watches: list[KindWatch] = []

    def add(self, watch: "KindWatch") -> None:
        """Make a watch known."""
        self._watches.append(watch)

    def on_response(self) -> None:
        """Make the watches that wait for a response send their call again."""
        for watch in self._watches:
            watch.retry_if_hung()


class KindWatch:
    """Keeps an observer up to date with one kind of object."""

    def __init__(
        self,
        task: IoTask,
        pool: ConnectionPool,
        store_address: Callable[[], Address],
        kind: str,
        observer: KindObserver,
        timing: WatchTiming,
        *,
        group: WatchGroup,
        batch_delay_s: float = 0.0,
    ):
        self._task = task
        self._pool = pool
        self._store_address = store_address
        self._kind = kind
        self._observer = observer
        self._timing = timing
        self._batch_delay_s = batch_delay_s
        self._revision: int | None = None
        self._pages: list[StoredDocument] = []
        self._group = group
        group.add(self)
        self._retry_s = MIN_RETRY_S
        self._probe_timeout_s = MIN_PROBE_TIMEOUT_S
        self._sent_at = 0.0
        self._is_reachable = False
        self._is_stopped = False
        self._fetch: Fetch | None = None
        self._timer: Timer | None = None
        self._random = random.Random()

    def start(self) -> None:
        """Begin with a listing."""
        self._list("")

    def stop(self) -> None:
        """End the call under way."""
        self._is_stopped = True
        if self._fetch is not None:
            self._fetch.cancel()
        if self._timer is not None:
            self._timer.cancel()

    def refresh(self) -> None:
        """List now unless a call is under way."""
        if self._fetch is None and not self._is_stopped:
            self._revision = None
            self._list("")

    def retry_if_hung(self) -> None:
        """Give up a call that hangs while the store answers others."""
        if self._is_reachable or self._is_stopped or self._fetch is None:
            return
        if self._task.now() - self._sent_at < HANGING_S:
            return
        self._fetch.cancel()
        self._fetch = None
        self._continue()

    def _continue(self) -> None:
        if self._is_stopped:
            return
        wait_s = self._timing.wait_s
        if self._revision is None:
            self._list("")
            return
        if wait_s is None:
            return
        if not self._is_reachable:
            self._probe(self._revision)
            return
        request = store.watch_request(
            self._kind, revision=self._revision, wait_s=wait_s
        )
        self._send(request, wait_s + RESPONSE_MARGIN_S, self._on_changes)

    def _probe(self, revision: int) -> None:
        # A call that waits at the store would tell late that the store is back.
        request = store.watch_request(self._kind, revision=revision, wait_s=0.0)
        timeout_s = self._probe_timeout_s
        self._probe_timeout_s = min(
            MAX_PROBE_TIMEOUT_S, timeout_s * PROBE_TIMEOUT_GROWTH
        )
        self._send(request, timeout_s, self._on_changes)

    def _list(self, after: str) -> None:
        if not after:
            self._pages = []
        request = store.list_request(self._kind, after=after)
        self._send(request, LIST_TIMEOUT_S, self._on_listing)

    def _send(
        self,
        request: Request,
        timeout_s: float,
        on_success: Callable[[Response], None],
    ) -> None:
        def on_result(result: FetchResult) -> None:
            self._fetch = None
            if isinstance(result, ExchangeFailure):
                self._on_unreachable(f"{result.kind.value}: {result.detail}")
                return
            try:
                on_success(result)
            except AdapterError as error:
                self._revision = None
                self._on_unreachable(str(error))

        self._sent_at = self._task.now()
        self._fetch = Fetch.start(
            self._pool, self._store_address(), request, on_result, timeout_s=timeout_s
        )

    def _on_listing(self, response: Response) -> None:
        if not response.head.is_success:
            self._on_unreachable(f"status {response.head.status}")
            return
        listing = store.decode_listing(response.body)
        self._pages += listing.documents
        if listing.has_more and listing.documents:
            self._list(listing.documents[-1].name)
            return
        self._revision = listing.revision
        documents, self._pages = tuple(self._pages), []
        self._on_reached()
        self._observer.on_listing(documents)
        self._observer.on_confirmed(response.sent_at)
        self._continue()

    def _on_changes(self, response: Response) -> None:
        if response.head.status == store.HISTORY_GONE_STATUS:
            logger.info("store history gone", extra={"kind": self._kind})
            self._revision = None
            self._continue()
            return
        if not response.head.is_success:
            self._on_unreachable(f"status {response.head.status}")
            return
        changes = store.decode_changes(response.body)
        self._revision = changes.revision
        self._on_reached()
        if changes.documents:
            self._observer.on_changes(changes.documents)
        self._observer.on_confirmed(self._as_of(response, changes))
        if changes.documents and self._batch_delay_s:
            self._timer = self._task.call_later(self._batch_delay_s, self._continue)
            return
        self._continue()

    def _as_of(self, response: Response, changes: StoreListing) -> float:
        wait_s = self._timing.wait_s or 0.0
        waited_s = self._task.now() - response.sent_at
        # An answer that came sooner did not wait, or tells changes.
        if changes.documents or waited_s < wait_s:
            return response.sent_at
        # An answer without changes was given at the end of the wait.
        return response.sent_at + wait_s

    def _on_reached(self) -> None:
        self._retry_s = MIN_RETRY_S
        self._probe_timeout_s = MIN_PROBE_TIMEOUT_S
        if not self._is_reachable:
            self._is_reachable = True
            self._observer.on_reachability_changed(True, "answered")
        self._group.on_response()

    def _on_unreachable(self, reason: str) -> None:
        if self._is_reachable:
            self._is_reachable = False
            self._observer.on_reachability_changed(False, reason)
        delay_s = self._retry_s * self._random.uniform(0.5, 1.0)
        self._retry_s = min(MAX_RETRY_S, self._retry_s * RETRY_GROWTH)
        self._timer = self._task.call_later(delay_s, self._continue)
