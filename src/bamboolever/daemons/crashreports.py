"""Shares crashes, ends of upstreams and completions among entries.

Takes what this entry sees of its calls and upstreams, and the reports of other entries.
Decides which reports to send. `CrashTracker` decides which requests are blocked, and
`PartTracker` which parts of prompts.

Load pattern: a request, or a part of prompts, that crashes upstreams comes to any
entry. A datagram may be lost, an entry may be cut off or start later. What is blocked,
or would be after one more crash, is therefore reported again and again; a report costs
what it names and changes nothing when it is repeated. Agents keep the reports too, and
tell them to an entry that starts.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Any, final

from bamboolever._telemetry import Telemetry
from bamboolever.calls.parts import FREE, PartDecision, PartState, PromptParts
from bamboolever.daemons.partlog import PartLog
from bamboolever.fleet.crashfacts import CrashFacts
from bamboolever.fleet.messages import CrashReport

logger = logging.getLogger(__name__)


@final
class CrashReports:
    """An entry's crash facts and the reports to and from the others.

    ``now`` returns seconds of the entry's clock. ``send`` sends a report to all known
    entries, and to the agents that keep it; ``send_again`` repeats one. Both are the
    same unless that is given.
    """

    def __init__(
        self,
        now: Callable[[], float],
        telemetry: Telemetry,
        send: Callable[[CrashReport], None],
        send_again: Callable[[CrashReport], None] | None = None,
    ):
        self._now = now
        self._telemetry = telemetry
        self._send = send
        self._send_again = send_again or send
        self._facts = CrashFacts()
        self.tracker = self._facts.requests
        self.parts = self._facts.parts
        self.part_log = PartLog(telemetry, self.parts)

    # Ends of upstreams and responses.

    def on_broken_response(
        self,
        upstream: int,
        digest: int,
        sent_at: float,
        prompt: PromptParts = PromptParts(),
    ) -> None:
        """Record that an upstream broke off its response to a request.

        ``sent_at`` is when the request was sent to it, in seconds of the entry's clock.
        ``prompt`` has the parts that may have caused it.
        """
        self._telemetry.count("crash.suspected")
        now = self._now()
        crashed = self.tracker.on_broken_response(upstream, digest, sent_at, now)
        self.part_log.learn_parts(prompt)
        self.parts.on_trial_broken(prompt.tried, now)
        crashed_parts: list[int] = []
        for part in prompt.digests:
            tried_parts = len(prompt.tried) if part in prompt.tried else 0
            crashed_parts += self.parts.facts.on_broken_response(
                upstream, part, sent_at, now, tried_parts=tried_parts
            )
        self._report(upstream, crashed, crashed_parts, "known-end")

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
        now = self._now()
        crashed = self.tracker.on_upstream_ended(upstream, now)
        crashed_parts = self.parts.facts.on_upstream_ended(upstream, now)
        self._report(upstream, crashed, crashed_parts, evidence)

    def on_upstream_left(self, upstream: int) -> None:
        """Clear the suspects of an upstream that has ended as it had announced."""
        self.tracker.on_upstream_left(upstream)
        self.parts.facts.on_upstream_left(upstream)

    def on_response(self, upstream: int, sent_at: float) -> None:
        """Record that an upstream has responded to a request sent at ``sent_at``."""
        self.tracker.on_response(upstream, sent_at)
        self.parts.facts.on_response(upstream, sent_at)

    def on_completed(
        self,
        digest: int,
        upstream: int,
        sent_at: float,
        prompt: PromptParts = PromptParts(),
    ) -> None:
        """Record that an upstream completed a request that was sent at ``sent_at``."""
        self.on_response(upstream, sent_at)
        if self.tracker.add_completion(digest, self._now()):
            self._send(CrashReport(completed_ages_s={digest: 0.0}))
        self.clear_parts(prompt.digests)

    def clear_parts(self, parts: Iterable[int]) -> None:
        """Void the crashes by these parts until now, and tell the other entries.

        Call when an upstream has answered a request with them, or at least well begun
        to, or when an operator decides so.
        """
        now = self._now()
        cleared = [part for part in parts if self.parts.facts.add_completion(part, now)]
        if not cleared:
            return
        self._send(CrashReport(part_completed_ages_s=dict.fromkeys(cleared, 0.0)))
        self.part_log.note(cleared, now)

    # Parts of prompts.

    def decide(self, prompt: PromptParts) -> PartDecision:
        """Return whether a request with these parts may be sent now."""
        decision = self.parts.decide(prompt.digests, self._now())
        if decision != FREE:
            self.part_log.learn_parts(prompt)
        return decision

    def charged_parts(self) -> list[dict[str, Any]]:
        """Return the parts that are suspected or blocked, for a JSON document."""
        return self.part_log.render(self._now())

    def clear_by_name(self, name: str) -> bool:
        """Clear a part by its id or digest; return whether it was not clear."""
        digest = self.part_log.find_digest(name)
        if digest is None:
            return False
        logger.info("part cleared by hand", extra={"part": name})
        self.clear_parts([digest])
        return True

    def begin_trial(self, prompt: PromptParts) -> None:
        """Announce that a request is sent as a trial of parts of its prompt."""
        if not prompt.tried:
            return
        self.parts.begin_trial(prompt.tried)
        self._send(CrashReport(trials=prompt.tried))

    def end_trial(self, prompt: PromptParts) -> None:
        """Record that a request has its final outcome."""
        ended = self.parts.end_trial(prompt.tried)
        if any(self.parts.state(part) is not PartState.CLEAR for part in ended):
            self._send(CrashReport(ended_trials=ended))

    # Reports.

    def repeat(self) -> None:
        """Report what is blocked or nearly so; call periodically."""
        now = self._now()
        trials = self.parts.own_trials(now)
        if trials:
            self._send(CrashReport(trials=trials))
        for report in self._facts.known(now):
            self._send_again(report)

    def apply(self, report: CrashReport) -> None:
        """Merge the report of another process.

        Completions that its sender has missed are reported in return.
        """
        now = self._now()
        requests = self._facts.merge_requests(report, now)
        parts = self._facts.merge_parts(report, now)
        changed = {crash.digest for crash in parts.new_crashes}
        changed.update(report.part_completed_ages_s)
        self.part_log.note(sorted(changed), now)
        for upstream in report.ended:
            self.on_upstream_ended(upstream, "peer")
        if requests.missed_ages_s or parts.missed_ages_s:
            self._send(
                CrashReport(
                    completed_ages_s=requests.missed_ages_s,
                    part_completed_ages_s=parts.missed_ages_s,
                )
            )

    def _report(
        self, upstream: int, digests: list[int], parts: list[int], evidence: str
    ) -> None:
        if not digests and not parts:
            return
        for part in parts:
            for crash in self.parts.facts.crashes_by(part):
                if crash.upstream == upstream:
                    self.parts.on_crash(crash)
        self.part_log.note(parts, self._now())
        self._telemetry.count("crash.counted", len(digests), evidence=evidence)
        logger.info(
            "upstream crashed",
            extra={
                "key": upstream,
                "suspects": len(digests),
                "parts": len(parts),
                "evidence": evidence,
            },
        )
        for report in self._facts.make_reports(digests, parts, self._now()):
            self._send(report)
