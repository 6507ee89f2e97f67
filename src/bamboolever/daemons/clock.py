"""The clock that the daemons use for timers and timestamps."""

import time


def boottime_clock() -> float:
    """Return the seconds since boot, including time suspended (CLOCK_BOOTTIME).

    Ages of configuration and keys must keep growing while the machine sleeps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
