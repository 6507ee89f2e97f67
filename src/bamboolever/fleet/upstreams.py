"""The upstreams that may be sent requests, from the store's list.

Load pattern: an outage of the store. Entries may lapse while it is away and are
written anew within seconds of its return, so a disappearance that is seen right
after an outage takes effect only when it lasts.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from bamboolever.fleet.records import UpstreamRecord

REMOVAL_DELAY_S = 2.2


@dataclass
class _Entry:
    record: UpstreamRecord
    gone_at: float | None = None


class UpstreamList:
    """Upstreams by id; times are seconds of the caller's clock."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._outage_ended_at: float | None = None
        self._is_reached = True
        self._is_known = False

    @property
    def is_known(self) -> bool:
        """Whether the list was read at least once."""
        return self._is_known

    def records(self, now: float) -> list[UpstreamRecord]:
        """Return the upstreams that are believed to exist."""
        self._expire(now)
        return [entry.record for entry in self._entries.values()]

    def get(self, instance_id: str, now: float) -> UpstreamRecord | None:
        """Return one upstream, or None."""
        self._expire(now)
        entry = self._entries.get(instance_id)
        return entry.record if entry is not None else None

    def set_store_reachable(self, is_reached: bool, now: float) -> None:
        """Note that the store was lost or regained."""
        if is_reached and not self._is_reached:
            self._outage_ended_at = now
        self._is_reached = is_reached

    def apply_listing(self, records: Iterable[UpstreamRecord], now: float) -> None:
        """Take over a whole list."""
        self._is_known = True
        listed = {record.instance_id: record for record in records}
        for record in listed.values():
            self.put(record)
        for instance_id in list(self._entries):
            if instance_id not in listed:
                self.remove(instance_id, now)

    def put(self, record: UpstreamRecord) -> None:
        """Add or replace one upstream."""
        self._entries[record.instance_id] = _Entry(record)

    def remove(self, instance_id: str, now: float) -> None:
        """Note that an upstream is no longer listed."""
        entry = self._entries.get(instance_id)
        if entry is None:
            return
        if not self._is_after_outage(now) or entry.record.is_draining:
            del self._entries[instance_id]
            return
        if entry.gone_at is None:
            entry.gone_at = now

    def _is_after_outage(self, now: float) -> bool:
        if not self._is_reached:
            return True
        ended_at = self._outage_ended_at
        return ended_at is not None and now - ended_at < REMOVAL_DELAY_S

    def _expire(self, now: float) -> None:
        if self._is_after_outage(now):
            return
        lapsed = [
            instance_id
            for instance_id, entry in self._entries.items()
            if entry.gone_at is not None
        ]
        for instance_id in lapsed:
            del self._entries[instance_id]
