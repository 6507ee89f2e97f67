"""Decides whether requests with a given part of a prompt may reach upstreams.

Takes the shared parts of a request, the crashes of upstreams that were about to answer
requests with them, the answers to such requests, and the trials of other entries.

Load pattern: requests that have one part of their prompts in common and nothing else,
from any caller and at any entry. Each crashes the upstream that begins to answer it.
Sound requests share its other parts, and upstreams end for other reasons too. So a part
is not blocked for being present at crashes:

- An answer to a request with the part voids its crashes by requests sent before.
- Of the parts of one crash, one that was answered before is not charged if another
  explains the crash: that other has repeated crashes and was never answered. Of parts
  that are alike in this, a blocked one explains the crashes of those that are not.
- A part that is charged with `CRASHES_TO_SUSPECT` crashes is suspected. Requests with
  it go out one at a time in the whole fleet, each as a trial without a retry, so that
  it crashes one upstream at most, and the first that is answered clears the part.
- After `TRIALS_TO_BLOCK` trials that crashed their upstreams it is blocked: each
  further request would crash another one. As an outage may have ended those upstreams,
  a last trial is left. It goes to a request on which the part alone is suspected, if it
  was always tried together with others, or is spent after `LAST_TRIAL_DELAY_S`.
"""

import hashlib
import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, final

from bamboolever.calls.poison import Crash, CrashTracker

if TYPE_CHECKING:
    from bamboolever.calls.dispatcher import RejectReason

CRASHES_TO_SUSPECT = 2
TRIALS_TO_BLOCK = 2
MAX_TRIALS = 3
# Stands for the end of an outage that may have ended the upstreams of the trials.
LAST_TRIAL_DELAY_S = 30.0
# An upstream crashes as it begins to answer. One that has sent this many events of a
# stream has not been crashed by its request.
WELL_BEGUN_EVENTS = 4
# A trial whose connection broke is pending for this long, until it is known whether its
# upstream has ended. Agents notice that within a quarter of a second.
EVIDENCE_TIMEOUT_S = 1.0
# Another entry's trial counts for this long; it is announced twice a second.
PEER_TRIAL_TIMEOUT_S = 1.2
# Retry-After of a request that waits for another's trial, which takes about as long.
SUSPECTED_PART_RETRY_S = 1.0
_DIGEST_BYTES = 8


def part_digest(model: str | None, part_id: str) -> int:
    """Return a 64-bit digest of a part of a prompt for a model."""
    text = f"{model or ''}\0{part_id}".encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES, person=b"prompt-part")
    return int.from_bytes(digest.digest(), "big", signed=True)


class PartState(Enum):
    """What follows from the crashes that a part is charged with."""

    CLEAR = "clear"
    SUSPECTED = "suspected"
    BLOCKED = "blocked"


class PartVerdict(Enum):
    """Whether a request may be sent.

    TRIAL: as the only one in the fleet with a suspected part. WAIT: not before a trial
    has ended. BLOCKED: not at all.
    """

    FREE = "free"
    TRIAL = "trial"
    WAIT = "wait"
    BLOCKED = "blocked"


@dataclass(frozen=True)
class PartDecision:
    """A verdict, and the parts of the request that are suspected or blocked."""

    verdict: PartVerdict
    parts: tuple[int, ...] = ()

    @property
    def reject_reason(self) -> "RejectReason | None":
        """Why the request is rejected; None if it may be sent."""
        # Agents track parts, but neither queue nor reject requests: not loading the
        # dispatcher saves each of them 0.3 MB.
        from bamboolever.calls.dispatcher import RejectReason  # noqa: PLC0415

        if self.verdict is PartVerdict.WAIT:
            return RejectReason.SUSPECTED_PART
        if self.verdict is PartVerdict.BLOCKED:
            return RejectReason.BLOCKED_PART
        return None


@dataclass(frozen=True)
class PromptParts:
    """The shared parts of a request's prompt, and those that it is a trial of.

    ``digests`` are the `part_digest` of each of ``ids``.
    """

    ids: tuple[str, ...] = ()
    digests: tuple[int, ...] = ()
    tried: tuple[int, ...] = ()

    @classmethod
    def from_ids(cls, model: str | None, ids: tuple[str, ...]) -> "PromptParts":
        """Return the parts with these ids of a prompt for a model."""
        return cls(ids, tuple(part_digest(model, part_id) for part_id in ids))


FREE = PartDecision(PartVerdict.FREE)


@final
class PartTracker:
    """The states and trials of parts; times are seconds of the entry's clock.

    ``facts`` holds the crashes and answers, by `part_digest`.
    """

    def __init__(self) -> None:
        self.facts = CrashTracker(max_age_s=math.inf)
        self._own_trials: dict[int, float] = {}
        self._peer_trials: dict[int, float] = {}

    def decide(self, parts: tuple[int, ...], now: float) -> PartDecision:
        """Return whether a request with these shared parts may be sent."""
        states = {part: self.state(part) for part in parts}
        charged = tuple(
            part for part, state in states.items() if state is not PartState.CLEAR
        )
        if not charged:
            return FREE
        is_alone = len(charged) == 1
        blocked = tuple(
            part
            for part in charged
            if states[part] is PartState.BLOCKED
            and not self._has_last_trial(part, now, is_alone=is_alone)
        )
        if blocked:
            return PartDecision(PartVerdict.BLOCKED, blocked)
        if any(self._is_on_trial(part, now) for part in charged):
            return PartDecision(PartVerdict.WAIT, charged)
        return PartDecision(PartVerdict.TRIAL, charged)

    def state(self, part: int) -> PartState:
        """Return the state of a part."""
        charged = self.charged(part)
        if len(charged) < CRASHES_TO_SUSPECT:
            return PartState.CLEAR
        return PartState.BLOCKED if _is_blocked(charged) else PartState.SUSPECTED

    def charged(self, part: int) -> list[Crash]:
        """Return the crashes that a part is charged with."""
        crashes = self.facts.crashes_by(part)
        if len(crashes) < CRASHES_TO_SUSPECT:
            return crashes
        explained = {
            crash.upstream
            for other in self.facts.repeated()
            if other != part and self._explains(other, part)
            for crash in self.facts.crashes_by(other)
        }
        return [crash for crash in crashes if crash.upstream not in explained]

    def _explains(self, other: int, part: int) -> bool:
        """Return whether ``other``, not ``part``, is charged with crashes of both."""
        was_answered = self._was_answered(part)
        if was_answered is not self._was_answered(other):
            return was_answered
        is_blocked = _is_blocked(self.facts.crashes_by(part))
        return not is_blocked and _is_blocked(self.facts.crashes_by(other))

    def _was_answered(self, part: int) -> bool:
        return self.facts.completed_at(part) is not None

    def _has_last_trial(self, part: int, now: float, *, is_alone: bool) -> bool:
        trials = _trials(self.charged(part))
        if len(trials) >= MAX_TRIALS:
            return False
        if is_alone and all(crash.tried_parts > 1 for crash in trials):
            return True
        last_at = max(crash.sent_at for crash in trials)
        return now - last_at >= LAST_TRIAL_DELAY_S

    # Trials.

    def begin_trial(self, parts: tuple[int, ...]) -> None:
        """Record that this entry sends a request as a trial of these parts."""
        for part in parts:
            self._own_trials[part] = math.inf

    def on_trial_broken(self, parts: tuple[int, ...], now: float) -> None:
        """Record that the trial's upstream broke off its response."""
        for part in parts:
            self._own_trials[part] = now + EVIDENCE_TIMEOUT_S

    def end_trial(self, parts: tuple[int, ...]) -> tuple[int, ...]:
        """Record that a trial has ended, unless it awaits evidence.

        Returns the parts that are on trial no more.
        """
        ended = tuple(part for part in parts if self._own_trials.get(part) == math.inf)
        for part in ended:
            del self._own_trials[part]
        return ended

    def on_crash(self, crash: Crash) -> None:
        """Record a new crash; if it is a trial's, the evidence of that is in."""
        if not crash.tried_parts:
            return
        if self._own_trials.get(crash.digest, math.inf) < math.inf:
            del self._own_trials[crash.digest]
        self._peer_trials.pop(crash.digest, None)

    def own_trials(self, now: float) -> tuple[int, ...]:
        """Return the parts that this entry has on trial."""
        for part, until in list(self._own_trials.items()):
            if until <= now:
                del self._own_trials[part]
        return tuple(self._own_trials)

    def on_peer_trials(self, parts: tuple[int, ...], now: float) -> None:
        """Record the parts that another entry has on trial."""
        for part, until in list(self._peer_trials.items()):
            if until <= now:
                del self._peer_trials[part]
        for part in parts:
            self._peer_trials[part] = now + PEER_TRIAL_TIMEOUT_S

    def on_peer_trials_ended(self, parts: tuple[int, ...]) -> None:
        """Record that another entry's trials have ended without evidence."""
        for part in parts:
            self._peer_trials.pop(part, None)

    def _is_on_trial(self, part: int, now: float) -> bool:
        until = max(self._own_trials.get(part, 0.0), self._peer_trials.get(part, 0.0))
        return now < until


def _is_blocked(crashes: list[Crash]) -> bool:
    return len(_trials(crashes)) >= TRIALS_TO_BLOCK


def _trials(crashes: list[Crash]) -> list[Crash]:
    return [crash for crash in crashes if crash.tried_parts]
