"""Decides which instances belong to the fleet, as seen by this process.

`Membership` takes the platform's instance lists, which lag, and what this process
observes itself: opened and closed connections, and instances that announce their
departure. From these it decides the members.

- An instance with an open connection stays a member although the list lacks it.
- An announced departure is final, whatever the list contains.
- A list that lost many members at once is held back for a while, as the list itself is
  more likely to have failed than so many instances.

Callers pass the time in seconds. Instance ids are never reused, so a restarted instance
at an old address is another instance.
"""

from dataclasses import dataclass, replace
from typing import final

from bamboolever._platform import InstanceRecord

#: A list that lacks a greater share of the known members is held back.
MAX_LOST_SHARE = 0.5
#: With fewer known members, lists are never held back.
MIN_MEMBERS_TO_CHECK = 4
#: Time for which lists must lack these members before they are accepted.
SHRINK_CONFIRM_S = 30.0
MAX_DEPARTED_IDS = 10_000


@dataclass(frozen=True)
class Member:
    """An instance of the fleet.

    ``is_connected`` tells whether this process has an open connection to it.
    """

    record: InstanceRecord
    is_leaving: bool
    is_connected: bool


@final
class Membership:
    """The members of the fleet, from the instance list and from connections."""

    def __init__(self) -> None:
        self._records: dict[str, InstanceRecord] = {}
        self._connected: set[str] = set()
        # A dict keeps the insertion order, so that the oldest can be removed.
        self._departed: dict[str, None] = {}
        self._shrunk_since: float | None = None

    def apply_list(self, records: list[InstanceRecord], now: float) -> bool:
        """Apply an instance list that was read at ``now``.

        Returns False if it is held back because it lacks too many known members. Its
        new instances are then added, and no member is removed.
        """
        listed = {record.instance_id: record for record in records}
        if self._is_suspicious(listed, now):
            # Instances that a suspicious list adds are still valid.
            self._records = {**self._records, **listed}
            return False
        connected = {
            instance_id: record
            for instance_id, record in self._records.items()
            if instance_id in self._connected
        }
        self._records = {**connected, **listed}
        return True

    def on_connected(self, instance_id: str) -> None:
        """Called when this process opened a connection to the instance."""
        self._connected.add(instance_id)

    def on_disconnected(self, instance_id: str) -> None:
        """Called when the connection to the instance ended."""
        self._connected.discard(instance_id)

    def on_leaving(self, instance_id: str) -> None:
        """Called when the instance announced that it leaves the fleet."""
        self._departed[instance_id] = None
        if len(self._departed) > MAX_DEPARTED_IDS:
            del self._departed[next(iter(self._departed))]

    def members(self, *, role: str, service: str = "") -> list[Member]:
        """Return the members with this role, sorted by id.

        An empty ``service`` selects the instances of all services.
        """
        return [
            self._make_member(record)
            for _, record in sorted(self._records.items())
            if record.role == role and (not service or record.service == service)
        ]

    def get(self, instance_id: str) -> Member | None:
        """Return the member with this id, or None."""
        record = self._records.get(instance_id)
        return self._make_member(record) if record else None

    def _make_member(self, record: InstanceRecord) -> Member:
        is_leaving = record.is_leaving or record.instance_id in self._departed
        return Member(
            replace(record, is_leaving=is_leaving),
            is_leaving,
            record.instance_id in self._connected,
        )

    def _is_suspicious(self, listed: dict[str, InstanceRecord], now: float) -> bool:
        known = len(self._records)
        lost = sum(1 for instance_id in self._records if instance_id not in listed)
        if known < MIN_MEMBERS_TO_CHECK or lost <= known * MAX_LOST_SHARE:
            self._shrunk_since = None
            return False
        if self._shrunk_since is None:
            self._shrunk_since = now
        return now - self._shrunk_since < SHRINK_CONFIRM_S
