"""Since when an object of the store can exist, from the responses to all watches.

Takes the store's revision in each response and a time at which it was current. The
store has one revision for all kinds of objects, so each response says of every object
with a higher revision that it was written later. Returns the latest time at which an
object was certainly not written yet.

Load pattern: a change is written while this process is suspended or cut off from the
store, and read late. Time limits that count from the change must not count from then.
"""

import math
from typing import final

# Revisions that are kept. A change is read long before so many others follow it.
MAX_REVISIONS = 256
# After the store came back from a copy, changes that the copy lacks are written again
# within this time.
REWRITE_DELAY_S = 2.2


@final
class StoreTimes:
    """Times at which the store had no higher revision; seconds of one clock.

    Revisions of different eras do not compare; an era begins when the store is restored
    from a copy.
    """

    def __init__(self) -> None:
        self._era = 0
        self._as_of: dict[int, float] = {}
        self._ignored_before = -math.inf

    @property
    def era(self) -> int:
        """The newest era that is known."""
        return self._era

    def confirm(self, era: int, revision: int, as_of: float) -> bool:
        """Record that the store had no higher revision at ``as_of``.

        Returns whether it was recorded. A response of an older era was not, nor a time
        at which a restored store may have lacked changes.
        """
        if era > self._era:
            self.on_restored(era, as_of)
        if era < self._era or as_of < self._ignored_before:
            return False
        self._as_of[revision] = max(as_of, self._as_of.get(revision, -math.inf))
        if len(self._as_of) > MAX_REVISIONS:
            del self._as_of[min(self._as_of)]
        return True

    def on_restored(self, era: int, now: float) -> None:
        """Forget the times of older eras."""
        if era <= self._era:
            return
        if self._era > 0 or self._as_of:
            self._ignored_before = now + REWRITE_DELAY_S
        self._era = era
        self._as_of.clear()

    def latest_before(self, revision: int) -> float | None:
        """Return the latest time without ``revision``; None if none is known."""
        times = (as_of for known, as_of in self._as_of.items() if known < revision)
        return max(times, default=None)
