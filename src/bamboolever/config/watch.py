"""Keeps a process up to date with one kind of the store's objects: list, then watch.

Takes the store's responses, and timeouts. Decides when to list again, when to watch
with a long poll, and when to probe a store that does not respond.

Load pattern: hundreds of processes that follow rare changes. The store holds each
watch call until something changes or the wait ends. A change therefore arrives at
once, and without changes a process sends one call for each wait.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from bamboolever._task import IoTask, Timer
from bamboolever.config.observer import KindObserver
from bamboolever.config.sharing import NoSharing, WatchResult, WatchSharing
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.exchange import ExchangeFailure
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
# Size of the parts in which changes are passed on. JSON of this size fits into one
# datagram when it is compressed.
MAX_PART_BYTES = 3000
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
RETRY_DELAY_GROWTH = 2.0


@dataclass(frozen=True)
class WatchTiming:
    """How a watch follows changes.

    ``wait_s`` is how long the store holds a watch call. With None, the watch only
    lists: at its start and on `KindWatch.refresh`.
    """

    wait_s: float | None


class KindWatch:
    """Lists and watches one kind of object and passes what it finds to an observer.

    After a response with changes, the next call is sent only ``batch_delay_s`` later,
    so that further changes arrive in one response. ``sharing`` decides whether this
    process calls the store or waits for what another process finds there.
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
        sharing: WatchSharing | None = None,
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
        self._sharing = sharing or NoSharing()
        self._is_stale_ok = False
        # How often the store was restored, as its responses say; None before the first.
        self._era: int | None = None
        # Whether the call in flight is made for others too.
        self._is_shared_call = False
        self._requested_revision = 0
        # Revision of the store at the last change that was watched, not listed.
        self.changed_revision = 0
        group.add(self)
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._probe_timeout_s = MIN_PROBE_TIMEOUT_S
        self._sent_at = 0.0
        self._waited_s = 0.0
        self._is_reachable = False
        self._is_stopped = False
        self._fetch: Fetch | None = None
        self._timer: Timer | None = None
        self._random = random.Random()

    @property
    def era(self) -> int:
        """How often the store was restored, as far as this watch knows."""
        return self._era or 0

    @property
    def revision(self) -> int | None:
        """Revision of the store up to which all objects were passed on."""
        return self._revision

    @property
    def is_reachable(self) -> bool:
        """Whether the store responded to the last call."""
        return self._is_reachable

    def start(self) -> None:
        """Send the first listing; call on the task's thread."""
        self._list("")

    @property
    def kind(self) -> str:
        """Kind of the objects."""
        return self._kind

    def stop(self) -> None:
        """Cancel the call in flight and send no more."""
        self._is_stopped = True
        if self._fetch is not None:
            self._fetch.cancel()
        if self._timer is not None:
            self._timer.cancel()

    def refresh(self, *, is_stale_ok: bool = False) -> None:
        """List again unless a call is in flight.

        With ``is_stale_ok`` the listing may be seconds old, which costs less.
        """
        if self._fetch is None and not self._is_stopped:
            self._revision = None
            self._is_stale_ok = is_stale_ok
            self._list("")

    def apply_shared(self, result: WatchResult) -> None:
        """Take over what another process's watch found.

        Calls the store if changes between are missing here.
        """
        if self._is_stopped or self._revision is None or self._era is None:
            return
        if result.era != self._era:
            if result.era > self._era:
                self._group.on_restored(result.era)
            return
        if result.is_after_outage:
            self._observer.on_reachability_changed(False, "a peer lost the store")
            self._observer.on_reachability_changed(True, "a peer reached the store")
        if result.revision > self._revision and not self._apply_changes(result):
            self._catch_up()
            return
        if result.revision == self._revision and result.as_of is not None:
            self._observer.on_confirmed(result.as_of)

    def _apply_changes(self, result: WatchResult) -> bool:
        assert self._revision is not None
        if result.changes is None or result.from_revision > self._revision:
            return False
        documents: tuple[StoredDocument, ...] = ()
        if result.changes:
            try:
                documents = store.decode_changes(result.changes).documents
            except AdapterError as error:
                logger.warning("store update ignored", extra={"reason": str(error)})
                return False
        self._revision = result.revision
        if documents:
            self.changed_revision = result.revision
            self._observer.on_changes(documents)
        return True

    def catch_up_to(self, era: int, revision: int) -> None:
        """Call the store if another process knows of a change that is unknown here.

        The update that told of it was lost.
        """
        if era != self._era or self._revision is None:
            return
        if revision > self._revision:
            self._catch_up()

    def _catch_up(self) -> None:
        now = self._task.now()
        if self._fetch is not None or self._revision is None:
            return
        if now - self._sent_at < MIN_RETRY_DELAY_S:
            return
        self._is_shared_call = False
        self._send_watch(self._revision, 0.0, LIST_TIMEOUT_S)

    def follow_era(self, era: int) -> None:
        """List again if the store was restored since the last response."""
        if self._era is None or era <= self._era or self._is_stopped:
            return
        logger.warning("store restored", extra={"kind": self._kind, "era": era})
        self._era = era
        self._revision = None
        self.changed_revision = 0
        if self._fetch is not None:
            self._fetch.cancel()
            self._fetch = None
        self._observer.on_store_restored()
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
        if self._is_stopped or self._fetch is not None:
            return
        wait_s = self._timing.wait_s
        if self._revision is None:
            self._list("")
            return
        if wait_s is None:
            return
        if not self._is_reachable:
            self._is_shared_call = True
            self._probe(self._revision)
            return
        delay_s = self._sharing.call_delay_s(self._task.now())
        if delay_s > 0:
            self._call_later(delay_s)
            return
        self._is_shared_call = True
        self._send_watch(self._revision, wait_s, wait_s + RESPONSE_MARGIN_S)

    def _call_later(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._task.call_later(delay_s, self._send_next)

    def _send_watch(self, revision: int, wait_s: float, timeout_s: float) -> None:
        self._requested_revision = revision
        self._waited_s = wait_s
        request = store.watch_request(self._kind, revision=revision, wait_s=wait_s)
        self._send(request, timeout_s, self._on_changes)

    def _probe(self, revision: int) -> None:
        # A call that waits at the store gets its response late, so the store would
        # count as unreachable for longer.
        timeout_s = self._probe_timeout_s
        self._probe_timeout_s = min(
            MAX_PROBE_TIMEOUT_S, timeout_s * PROBE_TIMEOUT_GROWTH
        )
        self._send_watch(revision, 0.0, timeout_s)

    def _list(self, after: str) -> None:
        if not after:
            self._listed = []
        request = store.list_request(
            self._kind, after=after, is_stale_ok=self._is_stale_ok
        )
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
            if not self._check_era(result):
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

    def _check_era(self, response: Response) -> bool:
        era = store.response_era(response.head) or 0
        if self._era is None:
            self._era = era
        if era == self._era:
            return True
        if era < self._era:
            # The response was made before the store was restored.
            logger.info("older store response ignored", extra={"kind": self._kind})
            self._call_later(MIN_RETRY_DELAY_S)
            return False
        self._group.on_restored(era)
        return False

    def _on_listing(self, response: Response) -> None:
        if not response.head.is_success:
            self._on_unreachable(f"status {response.head.status}")
            return
        listing = store.decode_listing(response.body)
        self._listed += listing.documents
        if listing.has_more and listing.documents:
            self._list(listing.documents[-1].name)
            return
        if self.changed_revision:
            # A later listing may hold changes that others missed too.
            self.changed_revision = listing.revision
        self._revision = listing.revision
        self._is_stale_ok = False
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
        is_after_outage = self._on_reachable()
        if changes.documents:
            self.changed_revision = changes.revision
            self._observer.on_changes(changes.documents)
        as_of = self._as_of(response, changes)
        self._observer.on_confirmed(as_of)
        if self._is_shared_call:
            self._publish(response.body, changes, as_of, is_after_outage)
        if changes.documents and self._batch_delay_s:
            self._call_later(self._batch_delay_s)
            return
        self._send_next()

    def _publish(
        self,
        body: bytes,
        changes: StoreListing,
        as_of: float,
        is_after_outage: bool,
    ) -> None:
        parts: list[tuple[int, bytes | None]] = [(changes.revision, b"")]
        if changes.documents:
            parts = [*store.split_changes(body, MAX_PART_BYTES)]
        from_revision = self._requested_revision
        for revision, part in parts or [(changes.revision, None)]:
            self._sharing.publish(
                WatchResult(
                    self._kind,
                    self._era or 0,
                    from_revision,
                    revision,
                    part,
                    as_of if revision == changes.revision else None,
                    is_after_outage,
                )
            )
            from_revision = revision

    def _as_of(self, response: Response, changes: StoreListing) -> float:
        wait_s = self._waited_s
        waited_s = self._task.now() - response.sent_at
        # A response with changes, or before the end of the wait, may have been made at
        # any time after the request was sent, so the time of the request counts.
        if changes.documents or waited_s < wait_s:
            return response.sent_at
        # A response without changes was made at the end of the wait.
        return response.sent_at + wait_s

    def _on_reachable(self) -> bool:
        """Record a response; return whether the store was unreachable before."""
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._probe_timeout_s = MIN_PROBE_TIMEOUT_S
        was_unreachable = not self._is_reachable
        if was_unreachable:
            self._is_reachable = True
            self._observer.on_reachability_changed(True, "answered")
        self._group.on_response()
        return was_unreachable

    def _on_unreachable(self, reason: str) -> None:
        if self._is_reachable:
            self._is_reachable = False
            self._observer.on_reachability_changed(False, reason)
        delay_s = self._retry_delay_s * self._random.uniform(0.5, 1.0)
        self._retry_delay_s = min(
            MAX_RETRY_DELAY_S, self._retry_delay_s * RETRY_DELAY_GROWTH
        )
        self._call_later(delay_s)
