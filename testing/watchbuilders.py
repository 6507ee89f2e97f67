"""Builds watches of the store, what they hear of it, and recorders of that."""

import json

from bamboolever.config.kindstate import Snapshot
from bamboolever.config.observer import KindObserver
from bamboolever.config.sharing import WatchResult, WatchSharing
from bamboolever.config.storecalls import RESPONSE_MARGIN_S
from bamboolever.config.watch import KindWatch, WatchTiming
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.net.addresses import Address
from bamboolever.platform.store import StoredDocument

WAIT_S = 2.0
PEER = Address("10.0.0.2", 7700)


class Recorder(KindObserver):
    def __init__(self):
        self.reachability = []
        self.restores = 0
        self.listings = 0
        self.listed_names = []
        self.changed_names = []
        self.confirmed_at = None

    def on_listing(self, documents):
        self.listings += 1
        self.listed_names = [document.name for document in documents]

    def on_changes(self, documents):
        self.changed_names += [document.name for document in documents]

    def on_confirmed(self, as_of):
        self.confirmed_at = as_of

    def on_store_restored(self):
        self.restores += 1

    def on_reachability_changed(self, is_reachable, reason):
        self.reachability.append(is_reachable)


class FollowingShare(WatchSharing):
    """Lets a watch follow others; ``delay_s`` is when it would call the store."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.published = []

    def call_delay_s(self, now):
        return self.delay_s

    def publish(self, result):
        self.published.append(result)


class AskingShare(FollowingShare):
    """Follows others, and asks the process that told of a change."""

    def __init__(self):
        super().__init__(delay_s=60.0)
        self.asked = []

    def ask_peer(self, source, kind, era, revision, on_snapshot):
        self.asked.append((source, kind, era, revision))
        self.answer = on_snapshot
        return True


def start_watch(pool, kind, wait_s, group, **options):
    """Start a watch whose first listing is empty; return its recorder."""
    recorder = start_watch_at(pool, kind, group, wait_s, **options)
    pool.respond(-1, items=[])
    return recorder


def start_watch_at(store, kind="a", group=None, wait_s=WAIT_S, **options):
    """Start a watch of a store that responds by itself; return its recorder."""
    recorder = Recorder()
    watch = KindWatch(
        store.task,
        store,
        lambda: Address("127.0.0.1", 7000),
        kind,
        recorder,
        WatchTiming(wait_s),
        group=group or WatchGroup(),
        **options,
    )
    recorder.watch = watch
    watch.start()
    return recorder


def advance_to_probe(task, pool):
    """Let a call of kind ``a`` go overdue until the store is probed beside it."""
    task.advance(WAIT_S + RESPONSE_MARGIN_S)
    while not pool.targets[-1].endswith("a?watch=1&waitMs=0"):
        task.advance(0.01)


def make_event(name, revision):
    metadata = {"name": name, "revision": revision}
    return {"object": {"metadata": metadata, "specification": {}}, "deleted": False}


def make_item(name, revision):
    return make_event(name, revision)["object"]


def make_result(**changes):
    body = json.dumps({"events": [make_event("x", 3)], "at": 3}).encode()
    content = {
        "kind": "a",
        "era": 0,
        "from_revision": 1,
        "revision": 3,
        "changes": body,
        "as_of": 99.0,
        **changes,
    }
    return WatchResult(**content)


def make_snapshot(*names, **changes):
    documents = tuple(StoredDocument(name, {}, 3) for name in names)
    return Snapshot(
        **{
            "era": 0,
            "revision": 3,
            "changed_revision": 3,
            "as_of": 99.0,
            "documents": documents,
            **changes,
        }
    )
