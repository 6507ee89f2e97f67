"""Tests that the watcher reads snapshots in time and after a gap in the watch.

A watch may lose events without an error. Such a change is found only by the next
snapshot.
"""

from builders import FakePlatform

from bamboolever import _configwatch
from bamboolever._configwatch import ConfigurationWatcher
from bamboolever._platform import Snapshot, WatchGap
from bamboolever._telemetry import Telemetry


class ScriptedPlatform(FakePlatform):
    """Counts the watcher's calls and stops it after ``max_watches`` watches.

    The first ``gap_count`` watches fail with a gap.
    """

    def __init__(self, max_watches):
        super().__init__()
        self.max_watches = max_watches
        self.timeouts = []
        self.list_count = 0
        self.gap_count = 0
        self.watcher = None

    def list_objects(self, kinds):
        self.list_count += 1
        return Snapshot(7, ())

    def watch(self, kinds, *, after_revision, timeout_s):
        self.timeouts.append(timeout_s)
        if len(self.timeouts) >= self.max_watches:
            self.watcher.stop()
        if self.gap_count:
            self.gap_count -= 1
            raise WatchGap("gone")
        return Snapshot(after_revision, ())


def run_watcher(platform):
    """Run the watcher on this thread until it stops; return its snapshots."""
    snapshots = []
    platform.watcher = ConfigurationWatcher(
        platform,
        ("contracts",),
        Telemetry("test"),
        on_snapshot=snapshots.append,
        on_changes=lambda revision, snapshot: None,
    )
    platform.watcher._run()
    return snapshots


def test_a_watch_ends_when_the_next_snapshot_is_due(monkeypatch):
    platform = ScriptedPlatform(max_watches=4)
    # Each reading of the clock advances it by a second.
    ticks = iter(range(1000))
    monkeypatch.setattr(_configwatch.time, "monotonic", lambda: float(next(ticks)))
    run_watcher(platform)
    monkeypatch.undo()
    period_s = _configwatch.SNAPSHOT_PERIOD_S
    assert max(platform.timeouts) < period_s
    assert min(platform.timeouts) < _configwatch.WATCH_TIMEOUT_S
    assert platform.list_count >= 2


def test_a_gap_leads_to_a_snapshot(monkeypatch):
    platform = ScriptedPlatform(max_watches=2)
    platform.gap_count = 1
    monkeypatch.setattr(_configwatch, "FIRST_BACKOFF_S", 0.0)
    snapshots = run_watcher(platform)
    assert platform.list_count == 2
    assert len(snapshots) == 2
