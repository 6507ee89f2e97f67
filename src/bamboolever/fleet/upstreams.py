"""Tracks which upstreams exist, from the store's list of them.

Takes listings, changes of the list, and whether the store is reachable. Returns the
records of the upstreams that may receive requests.

Load pattern: an outage of the store. Records in the list may expire during the outage
and are written again within seconds after it. A removal that is seen during an outage
or right after it is therefore deferred, and cancelled if the upstream is listed again.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from bamboolever.fleet.records import UpstreamRecord

# Removals are deferred until this long after an outage of the store.
REMOVAL_DELAY_S = 2.2
MAX_REMOVED = 1000


@dataclass
class _ListedUpstream:
    record: UpstreamRecord
    removed_at: float | None = None


class UpstreamList:
    """Listed upstreams by instance id. Times are seconds of the caller's clock."""

    def __init__(self) -> None:
        self._upstreams: dict[str, _ListedUpstream] = {}
        # Last records of removed upstreams, oldest first.
        self._removed: OrderedDict[str, UpstreamRecord] = OrderedDict()
        self._outage_ended_at: float | None = None
        self._is_store_reachable = True
        self._is_known = False

    @property
    def is_known(self) -> bool:
        """Whether a listing was applied at least once."""
        return self._is_known

    def records(self, now: float) -> list[UpstreamRecord]:
        """Return the listed upstreams and those whose removal is deferred."""
        self._remove_due(now)
        return [upstream.record for upstream in self._upstreams.values()]

    def get(self, instance_id: str, now: float) -> UpstreamRecord | None:
        """Return the upstream with this id, or None."""
        self._remove_due(now)
        upstream = self._upstreams.get(instance_id)
        return upstream.record if upstream is not None else None

    def on_store_restored(self, now: float) -> None:
        """Defer removals: the store came back from a copy some seconds old.

        Upstreams that the copy lacks are written again soon.
        """
        self._outage_ended_at = now

    def set_store_reachable(self, is_reachable: bool, now: float) -> None:
        """Record whether the store is reachable.

        Removals are deferred while it is not, and for `REMOVAL_DELAY_S` after that.
        """
        if is_reachable and not self._is_store_reachable:
            self._outage_ended_at = now
        self._is_store_reachable = is_reachable

    def apply_listing(self, records: Iterable[UpstreamRecord], now: float) -> None:
        """Replace the list; upstreams that are not in ``records`` are removed."""
        self._is_known = True
        listed = {record.instance_id: record for record in records}
        for record in listed.values():
            self.put(record)
        for instance_id in list(self._upstreams):
            if instance_id not in listed:
                self.remove(instance_id, now)

    def put(self, record: UpstreamRecord) -> None:
        """Add or replace one upstream; cancels a deferred removal.

        Records of one process that are older than what is known are ignored: a store
        that came back from a copy lists them again. One that drains stays draining.
        """
        name = record.instance_id
        listed = self._upstreams.get(name)
        known = listed.record if listed is not None else self._removed.get(name)
        if known is not None and _is_outdated(record, known, listed is None):
            return
        if listed is not None and _is_same_process(record, listed.record):
            is_draining = record.is_draining or listed.record.is_draining
            record = replace(record, is_draining=is_draining)
        self._removed.pop(name, None)
        self._upstreams[name] = _ListedUpstream(record)

    def remove(self, instance_id: str, now: float) -> None:
        """Remove an upstream, or defer its removal after an outage of the store.

        The removal of a draining upstream is never deferred.
        """
        upstream = self._upstreams.get(instance_id)
        if upstream is None:
            return
        if not self._is_removal_deferred(now) or upstream.record.is_draining:
            self._forget(instance_id)
            return
        if upstream.removed_at is None:
            upstream.removed_at = now

    def deferred_removal_at(self) -> float | None:
        """Return when deferred removals are due; None if there are none.

        Also None during an outage, whose end is unknown.
        """
        ended_at = self._outage_ended_at
        if ended_at is None or not self._is_store_reachable:
            return None
        if all(each.removed_at is None for each in self._upstreams.values()):
            return None
        return ended_at + REMOVAL_DELAY_S

    def _is_removal_deferred(self, now: float) -> bool:
        if not self._is_store_reachable:
            return True
        ended_at = self._outage_ended_at
        return ended_at is not None and now - ended_at < REMOVAL_DELAY_S

    def _remove_due(self, now: float) -> None:
        if self._is_removal_deferred(now):
            return
        due = [
            instance_id
            for instance_id, upstream in self._upstreams.items()
            if upstream.removed_at is not None
        ]
        for instance_id in due:
            self._forget(instance_id)

    def _forget(self, instance_id: str) -> None:
        self._removed[instance_id] = self._upstreams.pop(instance_id).record
        while len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)


def _is_same_process(first: UpstreamRecord, second: UpstreamRecord) -> bool:
    return first.started_ms is not None and first.started_ms == second.started_ms


def _is_outdated(
    record: UpstreamRecord, known: UpstreamRecord, is_known_removed: bool
) -> bool:
    if not _is_same_process(record, known):
        return False
    if record.heartbeat is None or known.heartbeat is None:
        return False
    if is_known_removed:
        return record.heartbeat <= known.heartbeat
    return record.heartbeat < known.heartbeat
