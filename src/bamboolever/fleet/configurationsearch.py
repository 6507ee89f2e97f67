"""Decides from whom an agent gets the configuration: from an entry or from the store.

Takes the hellos of entries and the calls that failed. Decides which entry to ask, and
when to list the store instead.

Load pattern: all agents of a fleet start at once, and the configuration is large. The
store would send it to each of them over the links between regions, which carry all
other calls too. The entries need it anyway and send it to the agents of their cell. An
agent lists the store only while no entry says hello, at a time spread at random.
"""

import math
from typing import final

from bamboolever.net.addresses import Address

# Entries say hello once a second. Silence for longer means that none knows this agent.
HELLO_TIMEOUT_S = 3.0
# The agents' listings are spread over this time, as one takes a second of a link that
# all agents of a region share.
LISTING_SPREAD_S = 6.0
# Entries of other cells are asked only after this time: those of the agent's own cell
# start with it, and reach it over links that no other region uses.
OTHER_CELL_DELAY_S = 2.0
# Another entry is asked beside a call that is silent for this long.
NEXT_ENTRY_DELAY_S = 1.0
MAX_CALLS = 2
# Entries that say hello and send no configuration do not keep an agent from the store.
MAX_FAILED_CALLS = 6


@final
class ConfigurationSearch:
    """The calls for the configuration from the agent's start until it has one.

    ``spread``, from 0 to 1, sets this agent's place in `LISTING_SPREAD_S`. Times are
    seconds of one clock.
    """

    def __init__(self, started_at: float, spread: float):
        self._started_at = started_at
        self._delay_s = HELLO_TIMEOUT_S + spread * LISTING_SPREAD_S
        self._heard_at = started_at
        self._called_at = -math.inf
        self._in_flight: set[Address] = set()
        self._failed_calls = 0

    def on_hello(self, entry: Address, now: float, *, is_same_cell: bool) -> bool:
        """Record a hello and return whether to ask the entry now.

        ``is_same_cell`` means that the entry is of the agent's own cell.
        """
        if self._failed_calls < MAX_FAILED_CALLS:
            self._heard_at = now
        if not is_same_cell and now - self._started_at < OTHER_CELL_DELAY_S:
            return False
        if entry in self._in_flight or len(self._in_flight) >= MAX_CALLS:
            return False
        if self._in_flight and now - self._called_at < NEXT_ENTRY_DELAY_S:
            return False
        self._in_flight.add(entry)
        self._called_at = now
        return True

    def on_failed(self, entry: Address) -> None:
        """Record that an entry did not send the configuration."""
        self._in_flight.discard(entry)
        self._failed_calls += 1

    def may_list(self, now: float) -> bool:
        """Return whether to list the store, as no entry sends the configuration."""
        return now - self._heard_at >= self._delay_s
