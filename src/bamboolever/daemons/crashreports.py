"""Shares crashes, ends of upstreams and completions among entries.

Takes what this entry sees of its calls and upstreams, and the reports of other entries.
Decides which reports to send. `CrashTracker` decides which requests are blocked.

Load pattern: a request that crashes upstreams comes to any entry. A datagram may be
lost, an entry may be cut off or start later. A request that is blocked, or would be
after one more crash, is therefore reported again and again; a report costs what it
names and changes nothing when it is repeated.
"""

import logging
from collections.abc import Callable
from typing import final

from bamboolever._telemetry import Telemetry
from bamboolever.calls.poison import Crash, CrashTracker
from bamboolever.fleet.messages import CrashReport, ReportedCrash

logger = logging.getLogger(__name__)

# A crash takes at most 25 bytes, so this many fit into a datagram that no link
# fragments.
MAX_CRASHES_PER_DATAGRAM = 50


@final
class CrashReports:
    """An entry's `CrashTracker` and the reports to and from the other entries.

    ``now`` returns seconds of the entry's clock; ``send`` sends a report to all known
    entries.
    """

    def __init__(
        self,
        now: Callable[[], float],
        telemetry: Telemetry,
        send: Callable[[CrashReport], None],
    ):
        self._now = now
        self._telemetry = telemetry
        self._send = send
        self.tracker = CrashTracker()

    def on_broken_response(self, upstream: int, digest: int, sent_at: float) -> None:
        """Record that an upstream broke off its response to a request.

        ``sent_at`` is when the request was sent to it, in seconds of the entry's clock.
        """
        self._telemetry.count("crash.suspected")
        now = self._now()
        crashed = self.tracker.on_broken_response(upstream, digest, sent_at, now)
        self._report(upstream, crashed, "known-end")

    def on_connection_refused(self, upstream: int) -> None:
        """Count the crashes of an upstream that does not listen any more.

        The other entries are told, as they may not connect to it.
        """
        if not self.tracker.has_ended(upstream):
            self._send(CrashReport(ended=(upstream,)))
        self.on_upstream_ended(upstream, "refused")

    def on_upstream_ended(self, upstream: int, evidence: str) -> None:
        """Count the crashes of an upstream that has ended, and report them.

        ``evidence`` is a label for the log and the metrics.
        """
        crashed = self.tracker.on_upstream_ended(upstream, self._now())
        self._report(upstream, crashed, evidence)

    def on_completed(self, digest: int, upstream: int, sent_at: float) -> None:
        """Record that an upstream completed a request that was sent at ``sent_at``."""
        self.tracker.on_response(upstream, sent_at)
        if self.tracker.add_completion(digest, self._now()):
            self._send(CrashReport(completed_ages_s={digest: 0.0}))

    def repeat(self) -> None:
        """Report the requests that are blocked or nearly so; call periodically."""
        self._send_crashes(self.tracker.near_block(self._now()))

    def apply(self, report: CrashReport) -> None:
        """Merge the report of another entry.

        Completions that its sender has missed are reported in return.
        """
        now = self._now()
        for digest, age_s in report.completed_ages_s.items():
            self.tracker.add_completion(digest, now - age_s)
        missed: dict[int, float] = {}
        for each in report.crashes:
            crash = Crash(each.digest, each.upstream, now - each.age_s)
            completed_at = self.tracker.completed_at(each.digest)
            if completed_at is not None and crash.sent_at <= completed_at:
                missed[each.digest] = now - completed_at
            self.tracker.add_crash(crash, now)
        for upstream in report.ended:
            self.on_upstream_ended(upstream, "peer")
        if missed:
            self._send(CrashReport(completed_ages_s=missed))

    def _report(self, upstream: int, digests: list[int], evidence: str) -> None:
        if not digests:
            return
        self._telemetry.count("crash.counted", len(digests), evidence=evidence)
        logger.info(
            "upstream crashed",
            extra={"key": upstream, "suspects": len(digests), "evidence": evidence},
        )
        self._send_crashes(digests)

    def _send_crashes(self, digests: list[int]) -> None:
        now = self._now()
        crashes = [
            ReportedCrash(crash.digest, crash.upstream, max(0.0, now - crash.sent_at))
            for digest in digests
            for crash in self.tracker.crashes_by(digest)
        ]
        for start in range(0, len(crashes), MAX_CRASHES_PER_DATAGRAM):
            batch = crashes[start : start + MAX_CRASHES_PER_DATAGRAM]
            self._send(CrashReport(tuple(batch)))
