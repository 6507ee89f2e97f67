"""Which upstreams and entries an entry's limits concern."""

from abc import ABC, abstractmethod
from typing import final

from bamboolever._subset import rank_members
from bamboolever.calls.upstream import UpstreamView
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.net.addresses import Address

# An entry that knows no other cannot tell how many there are: it may be cut off from
# them and from the agents that name them. It uses this share of the permits.
LONE_SHARE = 0.2


class LimitScope(ABC):
    """The upstreams by key, and the entries that share their permits."""

    @property
    @abstractmethod
    def own_address(self) -> Address:
        """The address of this entry."""

    @abstractmethod
    def find_view(self, key: int) -> UpstreamView | None:
        """Return an upstream by its `upstream_key`, None if it is not known."""

    @abstractmethod
    def live_entries(self, now: float) -> list[Address]:
        """Return the other entries of the cell that were heard lately."""

    @abstractmethod
    def known_entries(self) -> list[Address]:
        """Return the other entries of the cell, also those that fell silent."""

    @abstractmethod
    def cell_share(self, view: UpstreamView) -> float:
        """Return the share of an upstream's permits that the own cell may use."""

    def keeper_of(self, key: int, now: float) -> Address:
        """Return the entry that hands out an upstream's permits in the own cell."""
        entries = [self.own_address, *self.live_entries(now)]
        by_name = {str(address): address for address in entries}
        return by_name[rank_members(f"permits\0{key}", by_name)[0]]

    def reachable_share(self, view: UpstreamView, now: float) -> float:
        """Return the share of an upstream's permits that this entry may hand out.

        Entries that fell silent may hand out theirs: they may be cut off from this one.
        """
        live = 1 + len(self.live_entries(now))
        known = 1 + len(self.known_entries())
        if known == 1:
            return self.cell_share(view) * LONE_SHARE
        return self.cell_share(view) * min(1.0, live / known)


@final
class FleetLimitScope(LimitScope):
    """The upstreams and entries that an `EntryFleet` knows."""

    def __init__(self, fleet: EntryFleet):
        self._fleet = fleet

    @property
    def own_address(self) -> Address:
        """The address of this entry."""
        return self._fleet.own_address

    def find_view(self, key: int) -> UpstreamView | None:
        """Return an upstream by its `upstream_key`, None if it is not known."""
        return self._fleet.view_by_key(key)

    def live_entries(self, now: float) -> list[Address]:
        """Return the other entries of the cell that were heard lately."""
        return self._fleet.peers.live_addresses(now)

    def known_entries(self) -> list[Address]:
        """Return the other entries of the cell, also those that fell silent."""
        return self._fleet.peers.recipients()

    def cell_share(self, view: UpstreamView) -> float:
        """Return the share of an upstream's permits that the own cell may use.

        An engine is used by its cell alone while it is limited, other upstreams by all
        cells.
        """
        if self._fleet.is_in_cell(view):
            return 1.0
        return 1.0 / self._fleet.cell_count
