"""Tracks which upstreams exist, from the store's list of them.

Takes listings, changes of the list, and what is known of the store's outages. Returns
the records of the upstreams that may receive requests.

Load pattern: an outage of the store. Records in the list may expire during the outage
and are written again within seconds after it. A removal that is seen during an outage
or right after it is therefore deferred, and cancelled if the upstream is listed again.
An upstream that leaves while a single process has lost the store is removed at once.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from bamboolever.fleet.records import UpstreamRecord
from bamboolever.fleet.storeoutages import Gap, StoreOutages
from bamboolever.net.addresses import Address

# Removals are deferred until this long after an outage of the store.
REMOVAL_DELAY_S = 2.2
# How often upstreams write their records; these expire after three times as long.
# Between two writes of an upstream that runs, a shorter outage lets none expire.
HEARTBEAT_INTERVAL_S = 1.2
MAX_REMOVED = 1000


@dataclass
class _ListedUpstream:
    record: UpstreamRecord
    is_removed: bool = False
    # When a deferred removal is due; None while the store may be away.
    due_at: float | None = None


class UpstreamList:
    """Listed upstreams by instance id. Times are seconds of the caller's clock.

    ``outages`` are those of the store. By default no peers tell of them.
    """

    def __init__(self, outages: StoreOutages | None = None) -> None:
        self._upstreams: dict[str, _ListedUpstream] = {}
        # Last records of removed upstreams, oldest first.
        self._removed: OrderedDict[str, UpstreamRecord] = OrderedDict()
        self._outages = outages or StoreOutages(HEARTBEAT_INTERVAL_S)
        self._restored_at: float | None = None
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
        self._restored_at = now
        for upstream in self._deferred():
            upstream.due_at = now + REMOVAL_DELAY_S

    def set_store_reachable(self, is_reachable: bool, now: float) -> None:
        """Record whether this process reaches the store.

        Removals are deferred while it does not and no other one does, and for
        `REMOVAL_DELAY_S` after that.
        """
        if is_reachable:
            self._on_outage_ended(self._outages.on_reached(now))
        else:
            self._outages.on_lost(now)

    def on_store_answered(self, as_of: float) -> None:
        """Record that the store answered this process or a peer."""
        self._on_outage_ended(self._outages.on_answered(as_of))

    def on_peer_outage(self, peer: Address, until: float) -> None:
        """Record that a peer had lost the store until then."""
        self._outages.on_peer_lost(peer, until)

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
        if upstream is None or upstream.is_removed:
            return
        due_at = self._removal_due_at(now)
        is_away = self._outages.is_away(now)
        is_deferred = is_away or (due_at is not None and now < due_at)
        if not is_deferred or upstream.record.is_draining:
            self._forget(instance_id)
            return
        upstream.is_removed = True
        upstream.due_at = None if is_away else due_at

    def is_removal_deferred(self, instance_id: str) -> bool:
        """Return whether an upstream is listed only as its removal is deferred."""
        upstream = self._upstreams.get(instance_id)
        return upstream is not None and upstream.is_removed

    def deferred_removal_at(self, now: float) -> float | None:
        """Return when deferred removals may be due; None if there are none.

        While the store is away, that is when to ask again.
        """
        due = [
            now + REMOVAL_DELAY_S if upstream.due_at is None else upstream.due_at
            for upstream in self._deferred()
        ]
        return min(due, default=None)

    def _deferred(self) -> list[_ListedUpstream]:
        return [each for each in self._upstreams.values() if each.is_removed]

    def _removal_due_at(self, now: float) -> float | None:
        """Return until when removals are deferred after the last outage or restore."""
        outage = self._outages.last_outage(now)
        ends = (outage.ended_at if outage is not None else None, self._restored_at)
        known = [end for end in ends if end is not None]
        return max(known) + REMOVAL_DELAY_S if known else None

    def _on_outage_ended(self, outage: Gap | None) -> None:
        """Let upstreams whose removal is deferred come back as after any outage."""
        if outage is None:
            return
        for upstream in self._deferred():
            if upstream.due_at is None:
                upstream.due_at = outage.ended_at + REMOVAL_DELAY_S
            elif (
                outage.duration_s >= REMOVAL_DELAY_S
                and upstream.due_at > outage.started_at
            ):
                # It could not come back meanwhile. Short outages add nothing, or one
                # after the other would put the removal off for good.
                upstream.due_at += outage.duration_s

    def _remove_due(self, now: float) -> None:
        if self._outages.is_away(now):
            return
        due = [
            instance_id
            for instance_id, upstream in self._upstreams.items()
            if upstream.is_removed and upstream.due_at is not None
            if upstream.due_at <= now
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
