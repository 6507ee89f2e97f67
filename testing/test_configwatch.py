"""The watcher: a lost event is made up for by a whole copy in time."""

from builders import FakePlatform

from bamboolever import _configwatch
from bamboolever._configwatch import ConfigurationWatcher
from bamboolever._platform import Snapshot, WatchGap
from bamboolever._telemetry import Telemetry


class ScriptedPlatform(FakePlatform):
    """Records what is asked and stops the watcher after some calls."""

    def __init__(self, limit):
        super().__init__()
        self.limit = limit
        self.timeouts = []
        self.lists = 0
        self.gaps = 0
        self.watcher = None

    def list_objects(self, kinds):
        self.lists += 1
        return Snapshot(7, ())

    def watch(self, kinds, *, after_revision, timeout_s):
        self.timeouts.append(timeout_s)
        if len(self.timeouts) >= self.limit:
            self.watcher.stop()
        if self.gaps:
            self.gaps -= 1
            raise WatchGap("gone")
        return Snapshot(after_revision, ())


def run_watcher(platform):
    seen = []
    platform.watcher = ConfigurationWatcher(
        platform,
        ("contracts",),
        Telemetry("test"),
        on_snapshot=seen.append,
        on_changes=lambda revision, snapshot: None,
    )
    platform.watcher._run()
    return seen


def test_a_wait_never_outlasts_the_next_whole_copy(monkeypatch):
    platform = ScriptedPlatform(limit=4)
    # Each look at the clock advances it by a second.
    ticks = iter(range(1000))
    monkeypatch.setattr(_configwatch.time, "monotonic", lambda: float(next(ticks)))
    run_watcher(platform)
    monkeypatch.undo()
    period_s = _configwatch.FULL_READ_PERIOD_S
    assert max(platform.timeouts) < period_s
    assert min(platform.timeouts) < _configwatch.WATCH_TIMEOUT_S
    assert platform.lists >= 2


def test_a_gap_leads_to_a_whole_copy(monkeypatch):
    platform = ScriptedPlatform(limit=2)
    platform.gaps = 1
    monkeypatch.setattr(_configwatch, "FIRST_BACKOFF_S", 0.0)
    seen = run_watcher(platform)
    assert platform.lists == 2
    assert len(seen) == 2
