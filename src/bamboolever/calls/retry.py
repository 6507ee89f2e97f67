"""Decides whether a request may be sent once more after a failed attempt.

Load pattern: upstreams that crash, cut or lose answers under load. What has not
run is sent elsewhere while attempts and budget last; what may have run is sent
again only if it may repeat.
"""

from dataclasses import dataclass
from enum import Enum


class AttemptOutcome(Enum):
    """What is known of an attempt that did not end in the caller's answer."""

    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class RetryInput:
    """What the decision depends on."""

    outcome: AttemptOutcome
    is_retry_safe: bool
    attempts: int
    max_attempts: int
    remaining_s: float


# Less than this is too little for an upstream to begin.
MIN_REMAINING_S = 0.05


def find_retry_refusal(inputs: RetryInput) -> str | None:
    """Return why the request may not be sent again, or None if it may."""
    if inputs.outcome is not AttemptOutcome.NOT_RUN and not inputs.is_retry_safe:
        return "may-have-run"
    if inputs.attempts >= inputs.max_attempts:
        return "attempts-used"
    if inputs.remaining_s < MIN_REMAINING_S:
        return "no-time-left"
    return None
