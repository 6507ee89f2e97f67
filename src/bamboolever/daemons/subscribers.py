"""The entries that subscribe to an agent's state.

Load pattern: agents beside thousands of engines, each of which needs the newest version
of one model. The entries of its cell know it and say so in their hellos, so an agent
calls the store only while it hears from no entry.
"""

from dataclasses import dataclass
from typing import final

from bamboolever.config.sharing import WatchResult, WatchSharing
from bamboolever.net.addresses import Address

# An entry that sent no hello for longer is no subscriber any more.
SUBSCRIBER_TIMEOUT_S = 4.0
# Entries say hello once a second; without one for longer, the agent calls the store.
HELLO_TIMEOUT_S = 3.0
MAX_SUBSCRIBERS = 64


@dataclass
class _Subscriber:
    cell: str
    last_heard_at: float


@final
class Subscribers:
    """Entries by address; times are seconds of the agent's clock.

    ``started_at`` is when the agent started; no entry can have been heard before.
    """

    def __init__(self, started_at: float):
        self._subscribers: dict[Address, _Subscriber] = {}
        self.last_heard_at = started_at

    def add(self, address: Address, cell: str, now: float) -> None:
        """Record a hello of the entry at ``address`` and its cell.

        A new entry is ignored while there are `MAX_SUBSCRIBERS`.
        """
        self.last_heard_at = now
        is_new = address not in self._subscribers
        if is_new and len(self.known(now)) >= MAX_SUBSCRIBERS:
            return
        self._subscribers[address] = _Subscriber(cell, now)

    def known(self, now: float) -> list[tuple[Address, str]]:
        """Return the address and cell of each entry that said hello recently."""
        for address, subscriber in list(self._subscribers.items()):
            if now - subscriber.last_heard_at > SUBSCRIBER_TIMEOUT_S:
                del self._subscribers[address]
        return [
            (address, subscriber.cell)
            for address, subscriber in self._subscribers.items()
        ]


@final
class HelloSharing(WatchSharing):
    """Lets an agent's watch of versions wait while entries say hello."""

    def __init__(self, subscribers: Subscribers):
        self._subscribers = subscribers

    def call_delay_s(self, now: float) -> float:
        """Return the seconds until the entries count as silent."""
        return max(0.0, self._subscribers.last_heard_at + HELLO_TIMEOUT_S - now)

    def publish(self, result: WatchResult) -> None:
        """Do nothing: an agent tells nobody."""
