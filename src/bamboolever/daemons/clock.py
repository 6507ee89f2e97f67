"""The clock of the daemons."""

import time


def suspended_clock() -> float:
    """Return seconds of a steady clock that counts suspension of the machine too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
