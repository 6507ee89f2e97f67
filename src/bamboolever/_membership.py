"""Membership: the lagging instance list joined with what instances say.

Pure: callers pass the time in seconds. Instance ids are never reused, so a
restarted instance at an old address is another instance.
"""

from dataclasses import dataclass, replace
from typing import final

from bamboolever._platform import InstanceRecord

SHRINK_SHARE = 0.5
SHRINK_MIN_MEMBERS = 4
SHRINK_CONFIRM_S = 30.0
DEPARTED_MEMORY = 10_000


@dataclass(frozen=True)
class Member:
    """One instance as this process sees it."""

    record: InstanceRecord
    is_leaving: bool
    is_connected: bool


@final
class Membership:
    """Who is in the fleet, by the list and by direct word."""

    def __init__(self) -> None:
        self._records: dict[str, InstanceRecord] = {}
        self._connected: set[str] = set()
        # Insertion order, so that the oldest can be forgotten.
        self._left: dict[str, None] = {}
        self._shrunk_since: float | None = None

    def apply_list(self, records: list[InstanceRecord], now: float) -> bool:
        """Take a new instance list.

        Returns False when it is held back, because it lost so many members at
        once that the list itself is more likely to have failed.
        """
        listed = {record.instance_id: record for record in records}
        if self._is_suspicious(listed, now):
            # New rows of a doubtful list still help.
            self._records = {**self._records, **listed}
            return False
        kept = {
            instance_id: record
            for instance_id, record in self._records.items()
            if instance_id in self._connected
        }
        self._records = {**kept, **listed}
        return True

    def on_connected(self, instance_id: str) -> None:
        """Note that this process holds an open connection to the instance."""
        self._connected.add(instance_id)

    def on_disconnected(self, instance_id: str) -> None:
        """Note that the connection ended."""
        self._connected.discard(instance_id)

    def on_leaving(self, instance_id: str) -> None:
        """Note the instance's own word that it leaves; it is final."""
        self._left[instance_id] = None
        if len(self._left) > DEPARTED_MEMORY:
            del self._left[next(iter(self._left))]

    def members(self, *, role: str, service: str = "") -> list[Member]:
        """Return the members with this role (and service), by id."""
        return [
            self._view(record)
            for _, record in sorted(self._records.items())
            if record.role == role and (not service or record.service == service)
        ]

    def get(self, instance_id: str) -> Member | None:
        """Return one member, or None."""
        record = self._records.get(instance_id)
        return self._view(record) if record else None

    def _view(self, record: InstanceRecord) -> Member:
        is_leaving = record.is_leaving or record.instance_id in self._left
        return Member(
            replace(record, is_leaving=is_leaving),
            is_leaving,
            record.instance_id in self._connected,
        )

    def _is_suspicious(self, listed: dict[str, InstanceRecord], now: float) -> bool:
        known = len(self._records)
        lost = sum(1 for instance_id in self._records if instance_id not in listed)
        if known < SHRINK_MIN_MEMBERS or lost <= known * SHRINK_SHARE:
            self._shrunk_since = None
            return False
        if self._shrunk_since is None:
            self._shrunk_since = now
        return now - self._shrunk_since < SHRINK_CONFIRM_S
