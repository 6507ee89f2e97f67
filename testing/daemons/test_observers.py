"""What follows from the store's objects, with a manual clock and without sockets."""

import logging

from manualtask import ManualPool, ManualTask

from bamboolever.config.watch import KindWatch, WatchTiming
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.daemons.observers import (
    RevisionObserver,
    UpstreamObserver,
    VersionObserver,
)
from bamboolever.fleet.upstreams import UpstreamList
from bamboolever.fleet.versions import VersionRollouts
from bamboolever.net.addresses import Address
from bamboolever.platform.store import StoredDocument

WAIT_S = 20.0


def _event(version, revision):
    return {
        "object": {
            "metadata": {"name": "m", "revision": revision},
            "specification": {"model": "m", "version": version},
        }
    }


def _upstream(state):
    document = {
        "service": "plain",
        "address": "127.0.0.9:9",
        "zone": "zone-a",
        "slots": 4,
        "state": state,
    }
    return StoredDocument("upstream", document)


def test_version_named_during_a_suspension_expires_the_older_one_in_time():
    """Guards against an entry that stands still while a version is named."""
    task, versions = ManualTask(), VersionRollouts(8.0)
    pool = ManualPool(task)
    observer = RevisionObserver(
        VersionObserver(
            lambda named, revision: versions.add(
                named.model, named.version, revision=revision
            )
        ),
        lambda as_of: versions.confirm(watch.era, watch.revision, as_of),
    )
    watch = KindWatch(
        task,
        pool,
        lambda: Address("127.0.0.1", 7000),
        "versions",
        observer,
        WatchTiming(WAIT_S),
        group=WatchGroup(),
    )
    watch.start()
    pool.respond(-1, items=[])
    # The version is named at any time from here on; the response is read after 6 s.
    asked_at = task.now()
    task.advance(6.0)
    pool.respond(-1, at=2, events=[_event(2, 2)])
    assert versions.newest("m") == 2
    assert versions.min_version("m", asked_at + 8.0) == 2


def test_malformed_object_is_logged_once_until_it_changes(caplog):
    observer = UpstreamObserver(UpstreamList(), lambda: 0.0, lambda: None)

    def count_lines():
        lines = [each for each in caplog.records if each.message == "upstream ignored"]
        caplog.clear()
        return len(lines)

    malformed = (StoredDocument("malformed", {"slots": "many"}),)
    observer.on_listing(malformed)
    assert count_lines() == 1
    observer.on_changes(malformed)
    observer.on_listing(malformed)
    assert count_lines() == 0
    observer.on_changes((StoredDocument("malformed", {}),))
    assert count_lines() == 1
    observer.on_listing(())
    observer.on_listing(malformed)
    assert count_lines() == 1


def test_draining_upstream_is_logged_once(caplog):
    caplog.set_level(logging.INFO)
    observer = UpstreamObserver(UpstreamList(), lambda: 0.0, lambda: None)

    def count_lines():
        lines = [each for each in caplog.records if each.message == "upstream drains"]
        caplog.clear()
        return len(lines)

    observer.on_listing((_upstream("ready"),))
    assert count_lines() == 0
    observer.on_changes((_upstream("draining"),))
    assert count_lines() == 1
    observer.on_changes((_upstream("draining"),))
    observer.on_listing((_upstream("draining"),))
    assert count_lines() == 0
