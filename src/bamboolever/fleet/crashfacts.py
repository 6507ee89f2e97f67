"""The crashes that a process knows of, and their reports to other processes.

Load pattern: reports that are lost, late, repeated or out of order. Facts are merged as
sets. A report names all crashes of what it reports, so one that arrives makes up for
those that were lost.
"""

from dataclasses import dataclass
from typing import final

from bamboolever.calls.parts import PartTracker
from bamboolever.calls.poison import Crash, CrashTracker
from bamboolever.fleet.messages import CrashReport, ReportedCrash

# A crash takes at most 27 bytes, so this many fit into a datagram that no link
# fragments.
MAX_CRASHES_PER_DATAGRAM = 50
# Requests and parts that are repeated at once, those with the most crashes first.
MAX_REPEATED = 100


@dataclass(frozen=True)
class MergedFacts:
    """The crashes of a report that were new, and the completions that it lacks."""

    new_crashes: list[Crash]
    missed_ages_s: dict[int, float]


@final
class CrashFacts:
    """Crashes by requests and by parts; times are seconds of the process's clock."""

    def __init__(self) -> None:
        self.requests = CrashTracker()
        self.parts = PartTracker()

    def merge_requests(self, report: CrashReport, now: float) -> MergedFacts:
        """Merge what a report says of requests."""
        return _merge(self.requests, report.crashes, report.completed_ages_s, now)

    def merge_parts(self, report: CrashReport, now: float) -> MergedFacts:
        """Merge what a report says of parts."""
        merged = _merge(
            self.parts.facts, report.part_crashes, report.part_completed_ages_s, now
        )
        for crash in merged.new_crashes:
            self.parts.on_crash(crash)
        self.parts.on_peer_trials(report.trials, now)
        self.parts.on_peer_trials_ended(report.ended_trials)
        return merged

    def known(self, now: float) -> list[CrashReport]:
        """Return reports of the requests and parts that are blocked or nearly so."""
        return self.make_reports(
            _most_crashes(self.requests, self.requests.near_block(now)),
            _most_crashes(self.parts.facts, self.parts.facts.repeated()),
            now,
        )

    def make_reports(
        self, requests: list[int], parts: list[int], now: float
    ) -> list[CrashReport]:
        """Return reports of the crashes by these requests and parts."""
        return [
            *map(CrashReport, _make_batches(self.requests, requests, now)),
            *(
                CrashReport(part_crashes=batch)
                for batch in _make_batches(self.parts.facts, parts, now)
            ),
        ]


def _merge(
    tracker: CrashTracker,
    crashes: tuple[ReportedCrash, ...],
    completed_ages_s: dict[int, float],
    now: float,
) -> MergedFacts:
    for digest, age_s in completed_ages_s.items():
        tracker.add_completion(digest, now - age_s)
    merged = MergedFacts([], {})
    for each in crashes:
        sent_at = now - each.age_s
        crash = Crash(each.digest, each.upstream, sent_at, each.tried_parts)
        completed_at = tracker.completed_at(each.digest)
        if completed_at is not None and crash.sent_at <= completed_at:
            merged.missed_ages_s[each.digest] = now - completed_at
        if tracker.add_crash(crash, now):
            merged.new_crashes.append(crash)
    return merged


def _most_crashes(tracker: CrashTracker, digests: list[int]) -> list[int]:
    by_crashes = sorted(digests, key=lambda each: -len(tracker.crashes_by(each)))
    return by_crashes[:MAX_REPEATED]


def _make_batches(
    tracker: CrashTracker, digests: list[int], now: float
) -> list[tuple[ReportedCrash, ...]]:
    crashes = tuple(
        ReportedCrash(
            digest, crash.upstream, max(0.0, now - crash.sent_at), crash.tried_parts
        )
        for digest in digests
        for crash in tracker.crashes_by(digest)
    )
    return [
        crashes[start : start + MAX_CRASHES_PER_DATAGRAM]
        for start in range(0, len(crashes), MAX_CRASHES_PER_DATAGRAM)
    ]
