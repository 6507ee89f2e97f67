"""Which zones are evacuated, and whether their upstreams may still be used.

Takes the evacuations that the store lists, their revisions, and times at which the
store had no higher revision. Decides whether the upstreams of a zone are free to use, a
last resort, or closed.

Load pattern: a zone is evacuated while it carries traffic. A fixed time after the store
acknowledged the evacuation, no request from any entry may reach the zone, whichever way
each entry hears of it. The time therefore counts from when the evacuation was surely
not in the store. In the first half of it the zone's upstreams take what finds no room
elsewhere, so that the demand moves before they are lost.
"""

import math
from dataclasses import dataclass
from enum import Enum
from typing import final

from bamboolever.fleet.storetimes import REWRITE_DELAY_S, StoreTimes

# Share of the bound after which the upstreams of an evacuated zone take nothing. The
# rest is for requests that are on their way, and for entries that run late.
LAST_RESORT_SHARE = 0.5
MAX_EVENTS = 256


class ZoneUse(Enum):
    """Whether the upstreams of a zone may be used; the value is a label of logs."""

    FREE = "free"
    LAST_RESORT = "last-resort"
    CLOSED = "closed"


@dataclass(frozen=True)
class EvacuationEvent:
    """The start or the end of an evacuation, for the log.

    ``age_s`` is how many seconds ago it was certainly not in the store; None if that is
    unknown, so that it takes full effect at once.
    """

    zone: str
    is_begun: bool
    age_s: float | None


@dataclass
class _Evacuation:
    """``since`` is the latest time at which the store lacked it, None if unknown.

    ``revision`` is the first revision of the store that has it, None if unknown.
    ``is_removed`` is set while its removal is deferred.
    """

    since: float | None
    revision: int | None
    is_removed: bool = False


@final
class Evacuations:
    """The evacuated zones; times are seconds of the caller's clock.

    ``bound_s`` lasts from the store's acknowledgement until no request may reach an
    upstream of the zone. With None there are no evacuations.
    """

    def __init__(self, bound_s: float | None):
        self._last_resort_s = (bound_s or 0.0) * LAST_RESORT_SHARE
        self._zones: dict[str, _Evacuation] = {}
        self._times = StoreTimes()
        self._keeps_until = -math.inf
        self._events: list[EvacuationEvent] = []

    # Updates from the store.

    def put(self, zone: str, revision: int | None, now: float) -> None:
        """Record that the store has an evacuation of a zone, at a revision if known.

        One that is known keeps its time, as it may have been written again.
        """
        known = self._zones.get(zone)
        if known is not None:
            known.is_removed = False
            return
        since = None if revision is None else self._times.latest_before(revision)
        self._zones[zone] = _Evacuation(since, revision)
        age_s = None if since is None else now - since
        self._note(EvacuationEvent(zone, True, age_s))

    def remove(self, zone: str, now: float) -> None:
        """Record that the store has no evacuation of a zone any more.

        Deferred after the store was restored: the copy may lack a recent evacuation,
        which is then written again.
        """
        known = self._zones.get(zone)
        if known is None:
            return
        if now < self._keeps_until:
            known.is_removed = True
            return
        del self._zones[zone]
        self._note(EvacuationEvent(zone, False, None))

    def apply_listing(self, revisions: dict[str, int | None], now: float) -> None:
        """Replace the evacuations by those of a listing, with their revisions."""
        for zone, revision in revisions.items():
            self.put(zone, revision, now)
        for zone in [each for each in self._zones if each not in revisions]:
            self.remove(zone, now)

    def confirm(self, era: int, revision: int, as_of: float) -> None:
        """Record that the store had no higher revision at ``as_of``."""
        if era > self._times.era > 0:
            self._forget_revisions()
        if not self._times.confirm(era, revision, as_of):
            return
        for each in self._zones.values():
            if each.revision is not None and revision < each.revision:
                each.since = as_of if each.since is None else max(each.since, as_of)

    def on_store_restored(self, era: int, now: float) -> None:
        """Keep what is known for a while: the copy may lack it.

        Revisions of older eras are forgotten, the times stay.
        """
        self._times.on_restored(era, now)
        self._keeps_until = now + REWRITE_DELAY_S
        self._forget_revisions()

    def _forget_revisions(self) -> None:
        for each in self._zones.values():
            each.revision = None

    # Queries.

    @property
    def is_empty(self) -> bool:
        """Whether no zone is evacuated and no removal is deferred."""
        return not self._zones

    def use_of(self, zone: str, now: float) -> ZoneUse:
        """Return whether the upstreams of a zone may be used."""
        if not self._zones:
            return ZoneUse.FREE
        self._remove_due(now)
        known = self._zones.get(zone)
        if known is None:
            return ZoneUse.FREE
        if known.since is None or now >= known.since + self._last_resort_s:
            return ZoneUse.CLOSED
        return ZoneUse.LAST_RESORT

    def is_any(self, now: float) -> bool:
        """Return whether any zone is evacuated."""
        if not self._zones:
            return False
        self._remove_due(now)
        return bool(self._zones)

    def has_last_resort(self, now: float) -> bool:
        """Return whether any evacuated zone may still be used as a last resort."""
        return any(
            self.use_of(zone, now) is ZoneUse.LAST_RESORT for zone in list(self._zones)
        )

    def zones(self, now: float) -> list[str]:
        """Return the names of the evacuated zones."""
        self._remove_due(now)
        return sorted(self._zones)

    def take_events(self) -> list[EvacuationEvent]:
        """Return the evacuations that began or ended since the last call."""
        events, self._events = self._events, []
        return events

    def _remove_due(self, now: float) -> None:
        if now < self._keeps_until:
            return
        for zone in [name for name, each in self._zones.items() if each.is_removed]:
            self.remove(zone, now)

    def _note(self, event: EvacuationEvent) -> None:
        self._events = [*self._events[1 - MAX_EVENTS :], event]
