"""Shares what the watches of the store return among the entries of a cell.

Takes the results of this entry's watches, the updates of its peers and when its loads
were sent. Decides whether this entry calls the store, and how old a confirmation is
that a peer passes on.

Load pattern: many entries that follow the same configuration, list and versions. One
entry of the cell, chosen by hash, watches the store. If its confirmations stop, the
next in rank calls the store after a delay that grows with the rank. If it says that it
has lost the store, the next calls at once, as only one way may be cut. A change that no
datagram holds is had from the entry that told of it, not from the store: a large
configuration crosses the link to the store once for a cell.

A revoked key must stop working in time even where a datagram was delayed or this
process was suspended. An update therefore names the last load of this entry that its
sender had received, and for how long it has had it. The age of a confirmation counts
from when that load was sent, on this entry's own clock.
"""

import math
from collections import OrderedDict
from collections.abc import Callable
from typing import final

from bamboolever._subset import rank_members
from bamboolever.config.kindstate import Snapshot
from bamboolever.config.sharing import WatchResult, WatchSharing
from bamboolever.config.watch import KindWatch
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.daemons.snapshots import fetch_snapshot
from bamboolever.fleet.messages import EntryLoad, Message, StoreUpdate
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool

# Shares of the time in which a changed configuration must be in force: how long a watch
# waits at the store, after which silence another entry takes over, and what each rank
# adds to it, so that not all do at once. A rollout counts from the last response before
# it, so a longer wait ends the older version sooner than its time.
WATCH_WAIT_SHARE = 0.2
SILENCE_SHARE = 0.7
TAKE_OVER_SHARE = 0.06
MAX_TAKE_OVER_STEPS = 3
MAX_REMEMBERED_LOADS = 128
# How often the peers are told that a large response of the store is arriving, and for
# which share of that time each rank puts its own call off for it. Calls of all at once
# would take the link from the response that is arriving.
PROGRESS_INTERVAL_S = 0.4
MAX_PROGRESS_SHARE = 1.0
# Entries that have lost the store until it counts as away. Until then, the next one in
# rank calls it at once.
MIN_LOST_WATCHERS = 3


@final
class StoreRelay(WatchSharing):
    """Passes results of the store between the watches of this entry and its peers.

    ``now`` returns seconds of the entry's clock; ``send`` sends one message. The kind
    ``confirmed_kind`` is confirmed most often: its silence shows that a peer no longer
    reaches the store. A change must be in force within ``configuration_timeout_s``.
    Peers are asked for snapshots over ``pool``; with None, they are not asked.
    """

    def __init__(
        self,
        now: Callable[[], float],
        own_address: Address,
        fleet: EntryFleet,
        confirmed_kind: str,
        send: Callable[[Message, Address], None],
        configuration_timeout_s: float,
        pool: ConnectionPool | None = None,
    ):
        self._now = now
        self._own_address = own_address
        self._fleet = fleet
        self._confirmed_kind = confirmed_kind
        self._send = send
        self._pool = pool
        self._configuration_timeout_s = configuration_timeout_s
        self._watches: dict[str, KindWatch] = {}
        self._heard_at = now()
        self._progress_at = self._heard_at
        self._progress_reported_at = -math.inf
        self._load_sent_at: OrderedDict[int, float] = OrderedDict()
        self._lost_watchers: frozenset[Address] = frozenset()

    def add_watch(self, watch: KindWatch) -> None:
        """Add a watch that takes over what peers find."""
        self._watches[watch.kind] = watch

    @property
    def era(self) -> int:
        """How often the store was restored, as far as this entry knows."""
        return max((watch.era for watch in self._watches.values()), default=0)

    @property
    def has_lost_store(self) -> bool:
        """Whether the store does not respond to a watch of this entry."""
        return any(not watch.is_reachable for watch in self._watches.values())

    def changed_revisions(self) -> tuple[int, ...]:
        """Return the store's revision at the last known change of each kind.

        That of its listing counts, too. Peers that hear from an entry don't call the
        store, and nobody else tells them what had changed before it started.
        """
        return tuple(watch.changed_revision for watch in self._watches.values())

    def snapshot_of(self, kind: str) -> tuple[Snapshot, int] | None:
        """Return all objects of a kind, and a number that changes with them."""
        watch = self._watches.get(kind)
        snapshot = watch.snapshot() if watch is not None else None
        if watch is None or snapshot is None:
            return None
        return snapshot, watch.change_count

    def on_peer_load(self, sender: Address, load: EntryLoad) -> None:
        """Ask a peer for changes that this entry missed, or the store in its place."""
        revisions = load.store_revisions
        for watch, revision in zip(self._watches.values(), revisions, strict=False):
            watch.catch_up_to(load.store_era, revision, sender)
        if not load.has_lost_store:
            self._lost_watchers -= {sender}
            return
        is_new = sender not in self._lost_watchers
        self._lost_watchers = self._fleet.peers.lost_watchers(self._now())
        if is_new and not self.has_lost_store:
            self._call_in_place_of_peers()

    def _call_in_place_of_peers(self) -> None:
        if len(self._lost_watchers) >= MIN_LOST_WATCHERS:
            return
        for watch in self._watches.values():
            watch.call_if_due()

    def on_load_sent(self, sequence: int, now: float) -> None:
        """Record when a load was sent to the peers."""
        self._load_sent_at[sequence] = now
        while len(self._load_sent_at) > MAX_REMEMBERED_LOADS:
            self._load_sent_at.popitem(last=False)
        self._report_progress(now)

    def _report_progress(self, now: float) -> None:
        """Tell the peers that a response is arriving, so that none takes over."""
        watch = self._watches.get(self._confirmed_kind)
        if watch is None or not watch.is_receiving:
            return
        snapshot = watch.snapshot()
        if snapshot is None or now - self._progress_reported_at < PROGRESS_INTERVAL_S:
            return
        self._progress_reported_at = now
        revision = snapshot.revision
        self.publish(
            WatchResult(watch.kind, snapshot.era, revision, revision, b"", None)
        )

    def call_delay_s(self, now: float) -> float:
        """Return after how many seconds to call the store, if nothing is heard."""
        peers = self._fleet.peers.store_watchers(now)
        own = str(self._own_address)
        members = [own, *map(str, peers)]
        rank = rank_members(f"store\0{self._fleet.own_cell}", members).index(own)
        if rank == 0:
            return 0.0
        steps = min(rank, MAX_TAKE_OVER_STEPS)
        share = SILENCE_SHARE + steps * TAKE_OVER_SHARE
        heard_at = self._last_heard_at(steps)
        return max(0.0, heard_at + share * self._configuration_timeout_s - now)

    def _last_heard_at(self, steps: int) -> float:
        """Return when a peer heard from the store last.

        A response that is still arriving counts for a while only, longer with each
        rank, since the link of the entry that receives it may be too slow for it.
        """
        limit_s = steps * MAX_PROGRESS_SHARE * self._configuration_timeout_s
        return max(self._heard_at, min(self._progress_at, self._heard_at + limit_s))

    def ask_peer(
        self,
        source: Address,
        kind: str,
        era: int,
        revision: int,
        on_snapshot: Callable[[Snapshot | None], None],
    ) -> bool:
        """Ask a peer for all objects of a kind; return whether it is asked."""
        if self._pool is None:
            return False
        fetch_snapshot(
            self._pool, source, kind, on_snapshot, era=era, revision=revision
        )
        return True

    def publish(self, result: WatchResult) -> None:
        """Send the peers what a call of this entry returned."""
        now = self._now()
        age_s = now - result.as_of if result.as_of is not None else None
        for address in self._fleet.peers.live_addresses(now):
            receipt = self._fleet.peers.receipt(address)
            if receipt is None:
                continue
            update = StoreUpdate(
                result.kind,
                result.era,
                result.from_revision,
                result.revision,
                result.changes,
                age_s,
                receipt.started_ms,
                receipt.sequence,
                now - receipt.received_at,
            )
            self._send(update, address)

    def on_update(self, update: StoreUpdate, sender: Address, now: float) -> None:
        """Pass a peer's update on to the watch of its kind."""
        watch = self._watches.get(update.kind)
        if watch is None:
            return
        sent_at = self._sent_at(update)
        as_of = None
        if sent_at is not None:
            if update.kind == self._confirmed_kind:
                self._on_heard(update, min(now, sent_at))
            if update.confirmed_age_s is not None:
                as_of = sent_at - update.confirmed_age_s
        watch.apply_shared(
            WatchResult(
                update.kind,
                update.era,
                update.from_revision,
                update.revision,
                update.changes,
                as_of,
                sender,
            )
        )

    def _on_heard(self, update: StoreUpdate, sent_at: float) -> None:
        """Record that a peer has just heard from the store.

        How old what it heard is does not matter.
        """
        if update.confirmed_age_s is not None:
            self._heard_at = max(self._heard_at, sent_at)
        else:
            self._progress_at = max(self._progress_at, sent_at)

    def _sent_at(self, update: StoreUpdate) -> float | None:
        """Return the earliest time at which an update was sent, on this clock."""
        if update.echo_started_ms != self._fleet.started_ms:
            return None
        load_sent_at = self._load_sent_at.get(update.echo_sequence)
        return None if load_sent_at is None else load_sent_at + update.echo_age_s
