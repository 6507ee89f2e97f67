"""Follows the platform's configuration on a thread of its own.

A watch tells changes at once. A whole copy is read at the start, after a gap,
and now and then, since a watch may lose events without saying so.
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
FULL_READ_PERIOD_S = 4.0
MIN_WATCH_S = 0.05
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 3.0


@final
class ConfigurationWatcher:
    """Calls back with snapshots and changes; both run on its thread."""

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
        """Start to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop; the thread ends with its current call."""
        self._stopping.set()

    def _run(self) -> None:
        revision = 0
        read_at = float("-inf")
        failures = 0
        while not self._stopping.is_set():
            try:
                if time.monotonic() - read_at >= FULL_READ_PERIOD_S:
                    snapshot = self._platform.list_objects(self._kinds)
                    read_at = time.monotonic()
                    revision = max(revision, snapshot.revision)
                    self._on_snapshot(snapshot)
                # The wait ends when the next full read is due.
                left_s = read_at + FULL_READ_PERIOD_S - time.monotonic()
                timeout_s = min(WATCH_TIMEOUT_S, max(MIN_WATCH_S, left_s))
                revision = self._watch(revision, timeout_s)
                failures = 0
            except WatchGap:
                self._telemetry.count("platform_failures", reason="watch-gap")
                read_at = float("-inf")
                # A platform that was reset must not be asked in a tight loop.
                failures += 1
                self._wait(failures)
            except PlatformError:
                self._telemetry.count("platform_failures", reason="configuration")
                failures += 1
                self._wait(failures)

    def _watch(self, revision: int, timeout_s: float) -> int:
        changes = self._platform.watch(
            self._kinds, after_revision=revision, timeout_s=timeout_s
        )
        self._on_changes(revision, changes)
        return max(revision, changes.revision)

    def _wait(self, failures: int) -> None:
        ceiling_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** min(failures, 8))
        self._stopping.wait(ceiling_s * (0.5 + self._random.random() / 2))
