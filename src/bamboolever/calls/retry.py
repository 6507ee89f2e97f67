"""Decides whether a request is sent again after a failed attempt.

Takes the outcome of the attempt, the number of attempts, the remaining time and
whether the request is safe to retry. Decides to retry, or returns the reason not to.

Load pattern: upstreams that crash, break connections or lose responses under load. A
request that has not run is sent to another upstream while attempts and the retry
budget last. A request that may have run is sent again only if it is safe to retry.
The calling code checks the retry budget.
"""

from dataclasses import dataclass
from enum import Enum


class AttemptOutcome(Enum):
    """What is known of an attempt whose response does not go to the caller.

    NOT_RUN: the upstream did not begin it. FAILED: the upstream responded with an
    error. UNKNOWN: it may or may not have run.
    """

    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class RetryInput:
    """A failed attempt of a request and the limits of its route.

    ``attempts`` counts the attempts so far. ``remaining_s`` is the time until the
    request's timeout. ``is_retry_safe`` is True if it may run more than once.
    ``is_position_known`` is False if the last event that the caller has of a stream
    carried no id, so that nothing says where another attempt must go on.
    """

    outcome: AttemptOutcome
    is_retry_safe: bool
    attempts: int
    max_attempts: int
    remaining_s: float
    is_position_known: bool = True


# With less time than this, an upstream cannot begin the request.
MIN_REMAINING_S = 0.05


def find_retry_refusal(inputs: RetryInput) -> str | None:
    """Return the reason against another attempt, or None if it is allowed.

    The reason is a label of metrics.
    """
    if inputs.outcome is not AttemptOutcome.NOT_RUN and not inputs.is_retry_safe:
        return "may-have-run"
    if not inputs.is_position_known:
        return "no-event-id"
    if inputs.attempts >= inputs.max_attempts:
        return "attempts-used"
    if inputs.remaining_s < MIN_REMAINING_S:
        return "no-time-left"
    return None
