"""Chooses, for each neighbor cell, the entry that this entry asks for its summary.

Takes the entries that agents of the cell report, the requests for a summary and the
replies. Returns the entry to ask next.

Load pattern: entries of one cell that use free engines of another. Each asks one entry
there, chosen by hash, so that no entry of the cell has to tell all others. One that
does not reply is passed over for a while.
"""

from bamboolever._subset import rank_members
from bamboolever.net.addresses import Address

# An entry that an agent listed longer ago is not asked.
LISTED_MAX_AGE_S = 8.0
# An entry that does not reply for this long is not asked for `RETRY_DELAY_S`.
REPLY_TIMEOUT_S = 0.7
RETRY_DELAY_S = 3.0
# Without a summary for longer, the cell's load is unknown.
SUMMARY_MAX_AGE_S = 3.0


class NeighborCell:
    """The known entries of one other cell; times are seconds of the entry's clock."""

    def __init__(self, name: str, own_address: Address):
        self.name = name
        self._own_address = own_address
        self._listed_at: dict[Address, float] = {}
        self._passed_over_until: dict[Address, float] = {}
        self._asked: Address | None = None
        self._asked_at = 0.0
        self._summary_at: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether an entry of the cell is known."""
        return bool(self._listed_at)

    def add_entries(self, addresses: tuple[Address, ...], now: float) -> None:
        """Record the entries that an agent of the cell reports."""
        for address in addresses:
            if address != self._own_address:
                self._listed_at[address] = now

    def entries(self, now: float) -> list[Address]:
        """Return the entries of the cell that were listed recently."""
        for address, listed_at in list(self._listed_at.items()):
            if now - listed_at > LISTED_MAX_AGE_S:
                del self._listed_at[address]
                self._passed_over_until.pop(address, None)
        return list(self._listed_at)

    def choose_reporter(self, now: float) -> Address | None:
        """Return the entry to ask for a summary now, or None if none is known."""
        if self._asked is not None and now - self._asked_at > REPLY_TIMEOUT_S:
            self._passed_over_until[self._asked] = now + RETRY_DELAY_S
            self._asked = None
        usable = [
            address
            for address in self.entries(now)
            if now >= self._passed_over_until.get(address, 0.0)
        ]
        if not usable:
            return None
        by_name = {str(address): address for address in usable}
        return by_name[rank_members(f"{self._own_address}\0{self.name}", by_name)[0]]

    def on_asked(self, address: Address, now: float) -> None:
        """Record a request for a summary."""
        if self._asked is None:
            self._asked = address
            self._asked_at = now

    def on_summary(self, now: float) -> None:
        """Record a reply."""
        self._asked = None
        self._summary_at = now

    def has_summary(self, now: float) -> bool:
        """Return whether the load of the cell's engines is known."""
        at = self._summary_at
        return at is not None and now - at <= SUMMARY_MAX_AGE_S
