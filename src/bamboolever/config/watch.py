"""Keeps a process up to date with one kind of the store's objects: list, then watch.

Takes the store's responses, and how long none arrives. Decides when to list again, when
to watch with a long poll, and when to send a further call beside one that is overdue.

Load pattern: hundreds of processes that follow rare changes. The store holds each
watch call until something changes or the wait ends. A change therefore arrives at
once, and without changes a process sends one call for each wait. Where objects are
large and the link to the store is narrow, a response takes seconds to arrive: it is not
given up while it does, and a process that missed many versions reads the newest only.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from bamboolever._task import IoTask, Timer
from bamboolever.config.catchup import CatchUp
from bamboolever.config.kindstate import Snapshot
from bamboolever.config.kindview import KindView
from bamboolever.config.missedchanges import MissedChangeCheck
from bamboolever.config.observer import KindObserver
from bamboolever.config.sharing import (
    NoSharing,
    WatchResult,
    WatchSharing,
    split_result,
)
from bamboolever.config.storecalls import ListingProgress, StoreCall, StoreCalls
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.exchange import ExchangeFailure, FailureKind
from bamboolever.net.fetch import FetchResult, Response
from bamboolever.platform import store
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.store import StoreListing

logger = logging.getLogger(__name__)

# A watch returns each version since the last that is known. If that is larger than the
# objects are by this factor, they are listed.
MAX_HISTORY_FACTOR = 2
MAX_LISTING_BYTES = 16 * 2**20
MIN_HISTORY_BYTES = 65536
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
        self._kind = kind
        self._view = KindView(kind, observer, group)
        self._timing = timing
        self._batch_delay_s = batch_delay_s
        self._listing: ListingProgress | None = None
        # Size of the objects when they were listed last.
        self._listed_bytes = 0
        self._group = group
        self._sharing = sharing or NoSharing()
        group.add(self)
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._is_reachable = False
        self._is_stopped = False
        self._calls = StoreCalls(
            task,
            pool,
            store_address,
            group.response_times,
            self._on_result,
            self._on_failure,
        )
        self._missed_changes = MissedChangeCheck(
            task,
            self._calls,
            group.seen_changes,
            lambda: self.revision if self._listing is None else None,
            self._probe,
        )
        self._catch_up = CatchUp(
            task,
            self._calls,
            known_revision=lambda: self.revision,
            is_reachable=lambda: self._is_reachable,
            ask_peer=self._ask_peer,
            call_store=self._call_for_changes,
            on_snapshot=self.apply_snapshot,
        )
        self._timer: Timer | None = None
        self._random = random.Random()

    @property
    def era(self) -> int:
        """How often the store was restored, as far as this watch knows."""
        return self._view.state.era or 0

    @property
    def changed_revision(self) -> int:
        """Revision of the store up to which changes may be known here only."""
        return self._view.state.changed_revision

    @property
    def change_count(self) -> int:
        """A number that changes with the objects."""
        return self._view.state.change_count

    def snapshot(self) -> Snapshot | None:
        """Return all objects as they are known; None while they are not."""
        return self._view.state.snapshot()

    @property
    def is_calling(self) -> bool:
        """Whether a call to the store is in flight."""
        return self._calls.is_any

    @property
    def revision(self) -> int | None:
        """Revision of the store up to which all objects were passed on."""
        return self._view.state.revision

    @property
    def is_receiving(self) -> bool:
        """Whether a response that is made for others too is arriving."""
        return self._calls.is_receiving

    @property
    def is_reachable(self) -> bool:
        """Whether the store responded to the last call and is not overdue now."""
        return self._is_reachable

    def start(self) -> None:
        """Send the first listing; call on the task's thread."""
        self._listing = ListingProgress()
        self._send_next()

    @property
    def kind(self) -> str:
        """Kind of the objects."""
        return self._kind

    def stop(self) -> None:
        """Cancel the calls in flight and send no more."""
        self._is_stopped = True
        self._catch_up.cancel()
        self._missed_changes.cancel()
        self._calls.cancel_all()
        if self._timer is not None:
            self._timer.cancel()

    def refresh(self, *, is_stale_ok: bool = False) -> None:
        """List again unless a call is in flight.

        With ``is_stale_ok`` the listing may be seconds old, which costs less.
        """
        if not self._calls.is_any and not self._is_stopped:
            self._listing = ListingProgress(is_stale_ok)
            self._send_next()

    def apply_shared(self, result: WatchResult) -> None:
        """Take over what another process's watch found.

        Asks that process or the store if changes between are missing here.
        """
        if not self._is_stopped and not self._view.apply_result(result):
            self._catch_up.request(result.revision, result.source)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take over all objects as another process knows them, if they are newer."""
        if not self._is_stopped:
            self._view.apply_snapshot(snapshot)

    def catch_up_to(
        self, era: int, revision: int, source: Address | None = None
    ) -> None:
        """Ask ``source`` or the store for a change that is unknown here.

        The update that told of it was lost.
        """
        known = self.revision
        if era == self._view.state.era and known is not None and revision > known:
            self._catch_up.request(revision, source)

    def call_if_due(self) -> None:
        """Call the store now if this process has become the one that watches it."""
        if self._is_stopped or self._calls.is_any or self.revision is None:
            return
        if self._sharing.call_delay_s(self._task.now()) <= 0:
            self._send_next()

    def _ask_peer(
        self, source: Address, on_snapshot: Callable[[Snapshot | None], None]
    ) -> bool:
        known = self.revision
        if known is None:
            return False
        return self._sharing.ask_peer(source, self._kind, self.era, known, on_snapshot)

    def _call_for_changes(self) -> None:
        """Ask the store for changes, unless a call was sent just now."""
        # While calls are in flight, the next one is sent when its time comes.
        if self._calls.is_any or self.revision is None:
            return
        if self._task.now() - self._calls.sent_at < MIN_RETRY_DELAY_S:
            return
        self._send_watch(self.revision, 0.0, is_shared=False)

    def follow_era(self, era: int) -> None:
        """List again if the store was restored since the last response."""
        if self._is_stopped or not self._view.follow_era(era):
            return
        self._listing = ListingProgress()
        self._missed_changes.cancel()
        self._calls.cancel_all()
        self._send_next()

    def expect_changes_until(self, revision: int) -> None:
        """Probe for changes up to ``revision`` if the calls in flight don't bring them.

        The store has reached that revision, as its response to another watch says.
        """
        if not self._is_stopped:
            self._missed_changes.expect(revision)

    def _probe(self) -> None:
        """Ask for changes without a wait, beside the calls in flight."""
        if self.revision is not None:
            self._send_watch(self.revision, 0.0, is_shared=True)

    def retry_if_hung(self, *, is_after_outage: bool = False) -> None:
        """Send a further call if those in flight may have been lost.

        While the store is reachable for this watch, only after an outage.
        """
        if self._is_stopped or not self._calls.is_any:
            return
        if self._is_reachable and not is_after_outage:
            return
        self._calls.doubt()
        self._send_next()

    def _send_next(self) -> None:
        if self._is_stopped or self._calls.has_current:
            return
        if self._listing is not None:
            self._send_page(self._listing)
            return
        wait_s = self._timing.wait_s
        if wait_s is None:
            return
        revision = self.revision
        if revision is None:
            return
        if not self._is_reachable:
            # A call that waits at the store gets its response late, so the store would
            # count as unreachable for longer.
            self._send_watch(revision, 0.0, is_shared=True)
            return
        delay_s = self._sharing.call_delay_s(self._task.now())
        if delay_s > 0:
            self._call_later(delay_s)
            return
        self._send_watch(revision, wait_s, is_shared=True)

    def _call_later(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._task.call_later(delay_s, self._send_next)

    def _send_watch(self, revision: int, wait_s: float, *, is_shared: bool) -> None:
        request = store.watch_request(self._kind, revision=revision, wait_s=wait_s)
        call = StoreCall(
            self._task.now(), revision=revision, wait_s=wait_s, is_shared=is_shared
        )
        max_bytes = max(MIN_HISTORY_BYTES, MAX_HISTORY_FACTOR * self._listed_bytes)
        self._calls.send(call, request, max_bytes)

    def _send_page(self, listing: ListingProgress) -> None:
        request = store.list_request(
            self._kind, after=listing.after, is_stale_ok=listing.is_stale_ok
        )
        call = StoreCall(self._task.now(), listing=listing, after=listing.after)
        self._calls.send(call, request, MAX_LISTING_BYTES)

    def _on_result(self, call: StoreCall, result: FetchResult) -> None:
        if isinstance(result, ExchangeFailure):
            if result.kind is FailureKind.TOO_LARGE and call.listing is None:
                self._list_instead(call)
                return
            if self._is_reachable and call.is_cut_off(result):
                self._on_cut_off()
                return
            self._on_failure(f"{result.kind.value}: {result.detail}")
            return
        if not self._check_era(result):
            return
        try:
            if call.listing is not None:
                self._on_page(call, call.listing, result)
            else:
                self._on_changes(call, result)
        except AdapterError as error:
            self._listing = ListingProgress()
            self._on_failure(str(error))
        except Exception:
            # A watch that ended here would leave the process with old objects for good.
            logger.exception("objects not applied", extra={"kind": self._kind})
            self._listing = ListingProgress()
            self._retry_later()

    def _on_cut_off(self) -> None:
        """Probe whether the store is there after it cut off a call that waits.

        It may do so at any time. Only if the probe fails, too, is it an outage, which
        would put off the removal of upstreams.
        """
        if not self._calls.has_current:
            self._probe()

    def _list_instead(self, call: StoreCall) -> None:
        logger.info(
            "listing in place of a long history",
            extra={"kind": self._kind, "revision": call.revision},
        )
        if self._listing is None:
            self._listing = ListingProgress()
        self._send_next()

    def _check_era(self, response: Response) -> bool:
        era = store.response_era(response.head) or 0
        if self._view.is_current_era(era):
            return True
        if era < self.era:
            # The response was made before the store was restored.
            logger.info("older store response ignored", extra={"kind": self._kind})
            self._call_later(MIN_RETRY_DELAY_S)
        return False

    def _on_page(
        self, call: StoreCall, listing: ListingProgress, response: Response
    ) -> None:
        if not response.head.is_success:
            self._on_failure(f"status {response.head.status}")
            return
        page = store.decode_listing(response.body)
        if listing is self._listing and call.after == listing.after:
            self._take_page(listing, page, response)
        self._on_reachable(call)
        self._send_next()

    def _take_page(
        self, listing: ListingProgress, page: StoreListing, response: Response
    ) -> None:
        if listing.revision is None:
            listing.revision = page.revision
            listing.sent_at = response.sent_at
        listing.documents += page.documents
        listing.size_bytes += len(response.body)
        if page.has_more and page.documents:
            listing.after = page.documents[-1].name
            return
        self._listing = None
        self._listed_bytes = listing.size_bytes
        self._set_reachable()
        # Peers may lack changes that a listing holds, so that it counts as a change.
        self._view.apply_listing(
            tuple(listing.documents), listing.revision, listing.revision
        )
        self._view.confirm(listing.sent_at)
        self._group.on_revision(self, listing.revision, listing.documents)

    def _on_changes(self, call: StoreCall, response: Response) -> None:
        if response.head.status == store.HISTORY_GONE_STATUS:
            logger.info("store history gone", extra={"kind": self._kind})
            if self._listing is None:
                self._listing = ListingProgress()
            self._send_next()
            return
        if not response.head.is_success:
            self._on_failure(f"status {response.head.status}")
            return
        changes = store.decode_changes(response.body)
        self._on_reachable(call)
        known = self.revision
        if known is None:
            self._send_next()
            return
        is_new = changes.revision >= known
        as_of = call.as_of(self._task.now(), has_changes=bool(changes.documents))
        if call.is_shared and is_new:
            result = WatchResult(
                self._kind,
                self.era,
                call.revision,
                changes.revision,
                response.body if changes.documents else b"",
                as_of,
            )
            # A change that is applied here may end the exchange with these peers.
            for part in split_result(result):
                self._sharing.publish(part)
        if is_new:
            self._view.apply_changes(changes.documents, changes.revision)
            self._drop_lost_calls(changes)
        self._view.confirm(as_of)
        self._group.on_revision(self, changes.revision, changes.documents)
        if changes.documents and self._batch_delay_s:
            self._call_later(self._batch_delay_s)
            return
        self._send_next()

    def _drop_lost_calls(self, changes: StoreListing) -> None:
        """Give up calls that should have brought these changes already."""
        if not changes.documents:
            return
        dropped = self._calls.drop_waiting_before(changes.revision)
        if dropped:
            logger.info(
                "store response lost",
                extra={
                    "kind": self._kind,
                    "revision": changes.revision,
                    "calls": dropped,
                },
            )

    def _on_reachable(self, call: StoreCall) -> None:
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._calls.on_answered(call)
        was_unreachable = not self._is_reachable
        self._set_reachable()
        self._group.on_response(self, is_after_outage=was_unreachable)

    def _set_reachable(self) -> None:
        if not self._is_reachable:
            self._is_reachable = True
            self._view.observer.on_reachability_changed(True, "answered")

    def _set_unreachable(self, reason: str) -> None:
        if self._is_reachable:
            self._is_reachable = False
            self._view.observer.on_reachability_changed(False, reason)

    def _on_failure(self, reason: str) -> None:
        if self._calls.has_current:
            return
        self._set_unreachable(reason)
        self._retry_later()

    def _retry_later(self) -> None:
        delay_s = self._retry_delay_s * self._random.uniform(0.5, 1.0)
        self._retry_delay_s = min(
            MAX_RETRY_DELAY_S, self._retry_delay_s * RETRY_DELAY_GROWTH
        )
        self._call_later(delay_s)
