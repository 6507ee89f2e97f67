"""Limits how many free slots an entry claims before others report their load.

Takes the free slots that this entry sees, the number of entries that share the engine,
and this entry's last placements there. Decides whether one more request may be sent.

Load pattern: an engine begins to serve while every entry has requests waiting. All see
the same free slots at once, and the load reports of the others arrive only after the
next interval. Unlimited, the entries together send several times as many requests as
the engine has slots. Each therefore claims its share of the free slots within one
interval. If the entries outnumber the slots, some of them begin one interval later.
"""

import math
from collections import deque
from typing import final

# The load reports of other entries include requests that they placed longer ago than
# this: two report intervals and the network delay.
CLAIM_WINDOW_S = 0.1
# The load of other cells is known from summaries, which arrive less often.
NEIGHBOR_CLAIM_WINDOW_S = 0.3
# How long after an engine begins to serve the entries limit their claims. Its first
# requests begin and end together. Later requests arrive one at a time, and the reported
# loads are recent enough.
OPENING_S = 2.0


@final
class SlotClaims:
    """This entry's last placements at one engine; times are seconds of its clock.

    ``sharing`` is the number of entries that share the engine, and ``stagger``, from 0
    to 1, this entry's position among them. After ``window_s`` seconds the load reports
    include the requests of the other entries.
    """

    def __init__(self, stagger: float = 0.0):
        self.stagger = stagger
        self.sharing = 1
        self.window_s = CLAIM_WINDOW_S
        self._placed_at: deque[float] = deque()
        self._opened_at = -math.inf

    def on_opened(self, now: float) -> None:
        """Note that the engine began to serve, so that all of its slots may be free."""
        self._opened_at = now

    def on_placed(self, now: float) -> None:
        """Count a placement."""
        self._placed_at.append(now)

    def may_claim(self, free_slots: float, now: float) -> bool:
        """Return whether this entry may claim one more of ``free_slots`` now."""
        if self.sharing <= 1:
            return free_slots > 0
        if now - self._opened_at >= OPENING_S:
            return free_slots > 0
        recent = self._count_recent(now)
        if recent:
            return (recent + 1) * self.sharing <= free_slots
        rounds = int(self.stagger * self.sharing / max(1.0, free_slots))
        return now >= self._opened_at + rounds * self.window_s

    def _count_recent(self, now: float) -> int:
        while self._placed_at and now - self._placed_at[0] >= self.window_s:
            self._placed_at.popleft()
        return len(self._placed_at)
