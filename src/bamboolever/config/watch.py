"""Keeps a process up to date with one kind of the store's objects: list, then watch.

Takes the store's responses, and timeouts. Decides when to list again, when to watch
with a long poll, and when to probe a store that does not respond.

Load pattern: hundreds of processes that follow rare changes. The store holds each
watch call until something changes or the wait ends. A change therefore arrives at
once, and without changes a process sends one call for each wait.
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
# The timeout of a watch call is its wait at the store plus this.
RESPONSE_MARGIN_S = 1.5
# Timeout of a call that probes whether the store is reachable again. It grows, as the
# store may be slow rather than unreachable.
MIN_PROBE_TIMEOUT_S = 1.0
MAX_PROBE_TIMEOUT_S = 2.0
PROBE_TIMEOUT_GROWTH = 1.5
# A call without a response for this long is cancelled and sent again when the store
# responds to another watch.
HUNG_CALL_S = 0.5
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
RETRY_DELAY_GROWTH = 2.0


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
    def on_reachability_changed(self, is_reachable: bool, reason: str) -> None:
        """Called when the store becomes reachable or unreachable for this watch.

        ``reason`` is a text for the log.
        """


@dataclass(frozen=True)
class WatchTiming:
    """How a watch follows changes.

    ``wait_s`` is how long the store holds a watch call. With None, the watch only
    lists: at its start and on `KindWatch.refresh`.
    """

    wait_s: float | None


class WatchGroup:
    """The watches of one process.

    Load pattern: a store that responds again after an outage. It never responds to
    calls sent during the outage, so a response to one watch makes the others send
    their hung calls again at once.
    """

    def __init__(self) -> None:
        self._watches: list[KindWatch] = []

    def add(self, watch: "KindWatch") -> None:
        """Add a watch to the group."""
        self._watches.append(watch)

    def on_response(self) -> None:
        """Retry the hung calls of all watches; called after each valid response."""
        for watch in self._watches:
            watch.retry_if_hung()


class KindWatch:
    """Lists and watches one kind of object and passes what it finds to an observer.

    After a response with changes, the next call is sent only ``batch_delay_s`` later,
    so that further changes arrive in one response.
    """

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
        self._listed: list[StoredDocument] = []
        self._group = group
        group.add(self)
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._probe_timeout_s = MIN_PROBE_TIMEOUT_S
        self._sent_at = 0.0
        self._is_reachable = False
        self._is_stopped = False
        self._fetch: Fetch | None = None
        self._timer: Timer | None = None
        self._random = random.Random()

    def start(self) -> None:
        """Send the first listing; call on the task's thread."""
        self._list("")

    def stop(self) -> None:
        """Cancel the call in flight and send no more."""
        self._is_stopped = True
        if self._fetch is not None:
            self._fetch.cancel()
        if self._timer is not None:
            self._timer.cancel()

    def refresh(self) -> None:
        """List again unless a call is in flight."""
        if self._fetch is None and not self._is_stopped:
            self._revision = None
            self._list("")

    def retry_if_hung(self) -> None:
        """Replace the call in flight if it is older than `HUNG_CALL_S`.

        Does nothing while the store is reachable for this watch.
        """
        if self._is_reachable or self._is_stopped or self._fetch is None:
            return
        if self._task.now() - self._sent_at < HUNG_CALL_S:
            return
        self._fetch.cancel()
        self._fetch = None
        self._send_next()

    def _send_next(self) -> None:
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
        # A call that waits at the store gets its response late, so the store would
        # count as unreachable for longer.
        request = store.watch_request(self._kind, revision=revision, wait_s=0.0)
        timeout_s = self._probe_timeout_s
        self._probe_timeout_s = min(
            MAX_PROBE_TIMEOUT_S, timeout_s * PROBE_TIMEOUT_GROWTH
        )
        self._send(request, timeout_s, self._on_changes)

    def _list(self, after: str) -> None:
        if not after:
            self._listed = []
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
        self._listed += listing.documents
        if listing.has_more and listing.documents:
            self._list(listing.documents[-1].name)
            return
        self._revision = listing.revision
        documents, self._listed = tuple(self._listed), []
        self._on_reachable()
        self._observer.on_listing(documents)
        self._observer.on_confirmed(response.sent_at)
        self._send_next()

    def _on_changes(self, response: Response) -> None:
        if response.head.status == store.HISTORY_GONE_STATUS:
            logger.info("store history gone", extra={"kind": self._kind})
            self._revision = None
            self._send_next()
            return
        if not response.head.is_success:
            self._on_unreachable(f"status {response.head.status}")
            return
        changes = store.decode_changes(response.body)
        self._revision = changes.revision
        self._on_reachable()
        if changes.documents:
            self._observer.on_changes(changes.documents)
        self._observer.on_confirmed(self._as_of(response, changes))
        if changes.documents and self._batch_delay_s:
            self._timer = self._task.call_later(self._batch_delay_s, self._send_next)
            return
        self._send_next()

    def _as_of(self, response: Response, changes: StoreListing) -> float:
        wait_s = self._timing.wait_s or 0.0
        waited_s = self._task.now() - response.sent_at
        # A response with changes, or before the end of the wait, may have been made at
        # any time after the request was sent, so the time of the request counts.
        if changes.documents or waited_s < wait_s:
            return response.sent_at
        # A response without changes was made at the end of the wait.
        return response.sent_at + wait_s

    def _on_reachable(self) -> None:
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._probe_timeout_s = MIN_PROBE_TIMEOUT_S
        if not self._is_reachable:
            self._is_reachable = True
            self._observer.on_reachability_changed(True, "answered")
        self._group.on_response()

    def _on_unreachable(self, reason: str) -> None:
        if self._is_reachable:
            self._is_reachable = False
            self._observer.on_reachability_changed(False, reason)
        delay_s = self._retry_delay_s * self._random.uniform(0.5, 1.0)
        self._retry_delay_s = min(
            MAX_RETRY_DELAY_S, self._retry_delay_s * RETRY_DELAY_GROWTH
        )
        self._timer = self._task.call_later(delay_s, self._send_next)
