"""Follows the platform's configuration on a thread of its own.

A watch returns changes as soon as they happen. A snapshot is read at the start,
after a gap in the watch, and every few seconds, since a watch may lose events
without an error. Failed calls are retried with exponential backoff and jitter.
"""

import logging
import random
import threading
import time
from collections.abc import Callable
from typing import final

from bamboolever._platform import Platform, PlatformError, Snapshot, WatchGap
from bamboolever._telemetry import Telemetry

logger = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 3.0
SNAPSHOT_PERIOD_S = 4.0
MIN_WATCH_TIMEOUT_S = 0.05
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 3.0


@final
class ConfigurationWatcher:
    """Reads snapshots and watches changes of the objects of some kinds.

    ``on_snapshot`` is called with each snapshot. ``on_changes`` is called after each
    watch with the revision from which it started and the changes that it returned,
    which may be none. Both run on the watcher's thread. ``seed`` seeds the jitter
    of the backoff.
    """

    def __init__(
        self,
        platform: Platform,
        kinds: tuple[str, ...],
        telemetry: Telemetry,
        *,
        on_snapshot: Callable[[Snapshot], None],
        on_changes: Callable[[int, Snapshot], None],
        seed: int = 0,
    ):
        self._platform = platform
        self._kinds = kinds
        self._telemetry = telemetry
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._random = random.Random(seed)
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="configuration-watch", daemon=True
        )

    def start(self) -> None:
        """Start the watcher's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end after its current call; does not wait for it."""
        self._stopping.set()

    def _run(self) -> None:
        revision = 0
        read_at = float("-inf")
        failures = 0
        while not self._stopping.is_set():
            try:
                if time.monotonic() - read_at >= SNAPSHOT_PERIOD_S:
                    snapshot = self._platform.list_objects(self._kinds)
                    read_at = time.monotonic()
                    revision = max(revision, snapshot.revision)
                    self._on_snapshot(snapshot)
                # The watch ends when the next snapshot is due.
                remaining_s = read_at + SNAPSHOT_PERIOD_S - time.monotonic()
                timeout_s = min(WATCH_TIMEOUT_S, max(MIN_WATCH_TIMEOUT_S, remaining_s))
                revision = self._watch(revision, timeout_s)
                failures = 0
            except WatchGap:
                self._telemetry.count("platform_failures", reason="watch-gap")
                read_at = float("-inf")
                # Without backoff, a platform that was reset is called in a tight loop.
                failures += 1
                self._back_off(failures)
            except PlatformError:
                self._telemetry.count("platform_failures", reason="configuration")
                failures += 1
                self._back_off(failures)

    def _watch(self, revision: int, timeout_s: float) -> int:
        changes = self._platform.watch(
            self._kinds, after_revision=revision, timeout_s=timeout_s
        )
        self._on_changes(revision, changes)
        return max(revision, changes.revision)

    def _back_off(self, failures: int) -> None:
        max_delay_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** min(failures, 8))
        self._stopping.wait(max_delay_s * (0.5 + self._random.random() / 2))
