"""Ages and counts as the datagrams carry them: in the range of a 32-bit integer.

Load pattern: a process that runs for months. An age in milliseconds exceeds the range
after 24 days. It is then sent as that, since a message that can't be encoded would keep
everything else that it says from the others.
"""

import math

MAX_INT32 = 2**31 - 1
# An age that the sender doesn't know.
UNKNOWN_AGE_MS = -1


def count_to_wire(count: int) -> int:
    """Return a count, or the highest that a datagram carries."""
    return min(MAX_INT32, count)


def age_to_wire(age_s: float) -> int:
    """Return an age in milliseconds, rounded down."""
    return count_to_wire(int(age_s * 1000))


def oldest_age_to_wire(age_s: float | None) -> int:
    """Return an age in milliseconds, rounded up; -1 if it is unknown."""
    if age_s is None:
        return UNKNOWN_AGE_MS
    return count_to_wire(math.ceil(age_s * 1000))


def count_from_wire(count: int) -> int:
    """Return a count of a datagram, at least 0."""
    return max(0, count)


def age_from_wire(age_ms: int) -> float:
    """Return an age in seconds, at least 0."""
    return max(0, age_ms) / 1000


def slowdown_from_wire(slowdown: float) -> float:
    """Return by which factor an engine is slower; `ValueError` if that is no factor."""
    if not 0 <= slowdown < math.inf:
        raise ValueError(f"not a slowdown: {slowdown}")
    return slowdown


def oldest_age_from_wire(age_ms: int) -> float | None:
    """Return an age in seconds, or None if the sender doesn't know it."""
    return None if age_ms < 0 else age_ms / 1000
