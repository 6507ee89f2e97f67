"""Builds cells of entries that follow one store over a narrow link."""

from types import SimpleNamespace

from manualtask import ManualTask, SlowStore, StoreCall
from storeway import StoreWay

from bamboolever.config.observer import KindObserver
from bamboolever.config.watch import KindWatch, WatchTiming
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.daemons.observers import RevisionObserver, UpstreamObserver
from bamboolever.daemons.snapshots import SnapshotHandler
from bamboolever.daemons.storerelay import WATCH_WAIT_SHARE, StoreRelay
from bamboolever.fleet.messages import EntryLoad, StoreUpdate
from bamboolever.fleet.peers import PeerLoads
from bamboolever.fleet.storeoutages import StoreOutages
from bamboolever.fleet.upstreams import HEARTBEAT_INTERVAL_S, UpstreamList
from bamboolever.net.addresses import Address
from bamboolever.net.buffers import BufferBudget
from bamboolever.net.messages import ResponseHead

CONFIGURATION_TIMEOUT_S = 3.0
# How long the store holds the calls of the list, and how long a watch waits for further
# changes after some have come.
LIST_WAIT_S = 20.0
BATCH_DELAYS_S = {"config": 0.0, "servers": 0.6}
LARGE_BYTES = 310_000
# A quarter of what five entries would need to read each version by themselves.
LINK_BYTES_PER_S = 300_000
CHANGE_INTERVAL_S = 1.3
HEARTBEAT_S = 0.5
DELAY_S = 0.001


class Recorder(KindObserver):
    def __init__(self):
        self.revision = 0
        self.confirmed_at = 0.0

    def on_listing(self, documents):
        self.on_changes(documents)

    def on_changes(self, documents):
        self.revision = max([self.revision, *(each.revision for each in documents)])

    def on_confirmed(self, as_of):
        self.confirmed_at = max(self.confirmed_at, as_of)

    def on_store_restored(self):
        pass

    def on_reachability_changed(self, is_reachable, reason):
        pass


class Entry:
    """One entry of the cell; ``store`` is how it reaches the store.

    ``started_ms`` tells it from the process that had its address before.
    """

    def __init__(self, cell, address, store, started_ms=7):
        self.cell = cell
        self.address = address
        self.store = store
        self.is_alive = True
        self.fleet = SimpleNamespace(
            peers=PeerLoads(address), own_cell="zone/0", started_ms=started_ms
        )
        task = cell.task
        self.relay = StoreRelay(
            task.now,
            address,
            self.fleet,
            "config",
            self._send,
            cell.configuration_timeout_s,
            cell,
        )
        self.upstreams = UpstreamList(
            StoreOutages(
                HEARTBEAT_INTERVAL_S,
                lambda now: bool(self.fleet.peers.live_addresses(now)),
            )
        )
        group = WatchGroup()
        self.watches = {}
        self.recorders = {}
        for kind in cell.kinds:
            self.recorders[kind] = cell.make_observer(self, kind)
            self.watches[kind] = KindWatch(
                task,
                store,
                lambda: Address("10.0.0.9", 80),
                kind,
                self.recorders[kind],
                WatchTiming(cell.wait_s(kind)),
                group=group,
                batch_delay_s=BATCH_DELAYS_S[kind] if cell.has_lists else 0.0,
                sharing=self.relay,
            )
            self.relay.add_watch(self.watches[kind])
        self.handler = SnapshotHandler(task.now, self.relay.snapshot_of)
        self.sequence = 0

    @property
    def recorder(self):
        return self.recorders["config"]

    def start(self):
        self.send_load_periodically()
        for watch in self.watches.values():
            watch.start()

    def kill(self):
        """End at once: nothing is sent or received any more."""
        self.is_alive = False
        for watch in self.watches.values():
            watch.stop()

    def send_load_periodically(self):
        self.send_load()
        self.cell.task.call_later(HEARTBEAT_S, self.send_load_periodically)

    def send_load(self):
        if not self.is_alive:
            return
        self.sequence += 1
        load = EntryLoad(
            str(self.address),
            self.fleet.started_ms,
            self.sequence,
            {},
            cell="zone/0",
            store_era=self.relay.era,
            store_revisions=self.relay.changed_revisions(),
            has_lost_store=self.relay.has_lost_store,
        )
        self.relay.on_load_sent(self.sequence, self.cell.task.now())
        for other in self.cell.entries:
            if other is not self:
                self._send(load, other.address)

    def _send(self, message, address):
        if self.is_alive:
            receiver = self.cell.entry_at(address)
            self.cell.task.call_later(
                DELAY_S, lambda: receiver.take(self.address, message)
            )

    def take(self, sender, message):
        if not self.is_alive:
            return
        now = self.cell.task.now()
        if isinstance(message, StoreUpdate):
            self.relay.on_update(message, sender, now)
            return
        self.fleet.peers.apply(sender, message, now)
        if message.has_lost_store:
            self.upstreams.on_peer_outage(sender, now)
        self.relay.on_peer_load(sender, message)


class Cell:
    """Entries that share a link to the store; also the pool for their snapshots.

    With ``has_lists`` they keep lists of upstreams, and each has its own way to the
    store.
    """

    def __init__(
        self,
        size,
        refused=0,
        kinds=("config",),
        *,
        has_lists=False,
        configuration_timeout_s=CONFIGURATION_TIMEOUT_S,
    ):
        self.kinds = kinds
        self.has_lists = has_lists
        self.configuration_timeout_s = configuration_timeout_s
        self.task = ManualTask()
        self.buffers = BufferBudget()
        self.snapshot_count = 0
        self.store = SlowStore(self.task, response_s=0.02, bytes_per_s=LINK_BYTES_PER_S)
        self.nowhere = SlowStore(self.task, response_s=0.02)
        self.store.put("main", 1000)
        self.nowhere.put("main", 1000)
        self.entries = [
            Entry(
                self,
                Address(f"10.0.0.{number}", 7700),
                StoreWay(self.task, self.store) if has_lists else self.store,
            )
            for number in range(1, size - refused + 1)
        ]
        self.refused = [
            Entry(self, Address(f"10.0.1.{number}", 7700), self.nowhere)
            for number in range(1, refused + 1)
        ]
        self.entries += self.refused
        for entry in self.entries:
            entry.start()
        self.task.advance(3.0)
        self.nowhere.is_cut = True

    def wait_s(self, kind):
        if kind == "config":
            return WATCH_WAIT_SHARE * self.configuration_timeout_s
        return LIST_WAIT_S

    def make_observer(self, entry, kind):
        if not self.has_lists:
            return Recorder()
        observer = Recorder()
        if kind == "servers":
            observer = UpstreamObserver(entry.upstreams, self.task.now, lambda: None)

        def on_reachability(is_reachable):
            entry.upstreams.set_store_reachable(is_reachable, self.task.now())
            self.task.call_later(DELAY_S, entry.send_load)

        return RevisionObserver(
            observer,
            entry.upstreams.on_store_answered,
            on_reachability,
        )

    def watching_entry(self, kind):
        """Return the one entry that watches objects of a kind for all."""
        (watching,) = [each for each in self.entries if each.watches[kind].is_calling]
        return watching

    def restart(self, entry):
        """Start a new process in the place of one that was killed."""
        started_ms = entry.fleet.started_ms + 1
        again = Entry(self, entry.address, entry.store, started_ms)
        self.entries[self.entries.index(entry)] = again
        again.start()
        return again

    def entry_at(self, address):
        return next(each for each in self.entries if each.address == address)

    def send(self, address, request, handler):
        call = StoreCall(request.target.decode(), handler)
        self.snapshot_count += 1
        entry = self.entry_at(address)

        def respond(status, headers, body=b""):
            handler.on_head(ResponseHead(status, tuple(headers)))
            if body:
                handler.on_data(body)
            handler.on_end()

        if entry.is_alive:
            connection = SimpleNamespace(respond=respond)
            self.task.call_later(
                DELAY_S, lambda: entry.handler.on_request(connection, request)
            )
        return call

    def change(self, times):
        for _ in range(times):
            self.store.put("main", LARGE_BYTES)
            self.task.advance(CHANGE_INTERVAL_S)
