"""Tells when the store may have been away, as one process can know it.

Takes when the store answered any process, and when this process or a peer had lost it.
Decides whether there was an outage in which records of upstreams may have expired.

Load pattern: a store that is away for a moment, and single processes whose own way to
it is cut or flaps. Both look the same to the process that loses the store. But while
the store answers others, it is not away, whatever one of them sees.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from bamboolever.net.addresses import Address

MAX_PEERS = 64


@dataclass(frozen=True)
class Gap:
    """A time in which the store answered nobody; seconds of the process's clock."""

    started_at: float
    ended_at: float

    @property
    def duration_s(self) -> float:
        """Length of the gap in seconds."""
        return self.ended_at - self.started_at


@final
class StoreOutages:
    """Outages of the store; times are seconds of the process's clock.

    ``min_outage_s`` is the shortest outage in which the record of an upstream that runs
    can expire. An outage counts if the store answered nobody for so long, and two
    processes lost it then, or one while ``has_peers`` returns False. Silence alone may
    be that of the process that watches, a single loss that of its own way.
    """

    def __init__(
        self,
        min_outage_s: float,
        has_peers: Callable[[float], bool] = lambda now: False,
    ):
        self._min_outage_s = min_outage_s
        self._has_peers = has_peers
        self._answered_at: float | None = None
        self._last_gap: Gap | None = None
        self._is_lost = False
        # Until when this process had lost the store, and each peer.
        self._lost_until: float | None = None
        self._peers_lost_until: OrderedDict[Address, float] = OrderedDict()

    def on_answered(self, at: float) -> Gap | None:
        """Record that the store answered a process at this time.

        Returns the outage that this ends; None if there was none.
        """
        started_at = self._answered_at
        if started_at is not None and at <= started_at:
            return None
        self._answered_at = at
        if started_at is None or at - started_at < self._min_outage_s:
            return None
        self._last_gap = Gap(started_at, at)
        return self.last_outage(at)

    def on_lost(self, now: float) -> None:
        """Record that this process lost the store."""
        self._is_lost = True
        if self._answered_at is None:
            self._answered_at = now

    def on_reached(self, now: float) -> Gap | None:
        """Record that this process reached the store; return the outage that ends."""
        if self._is_lost:
            self._lost_until = now
        ended = self.on_answered(now)
        self._is_lost = False
        return ended

    def on_peer_lost(self, peer: Address, until: float) -> None:
        """Record that a peer had lost the store until then."""
        self._peers_lost_until[peer] = until
        self._peers_lost_until.move_to_end(peer)
        if len(self._peers_lost_until) > MAX_PEERS:
            self._peers_lost_until.popitem(last=False)

    def is_away(self, now: float) -> bool:
        """Return whether the store may be away now."""
        started_at = self._answered_at
        if started_at is None or now - started_at < self._min_outage_s:
            return False
        return self._was_lost_since(started_at, now)

    def last_outage(self, now: float) -> Gap | None:
        """Return the last outage that has ended, or None."""
        gap = self._last_gap
        if gap is None or not self._was_lost_since(gap.started_at, now):
            return None
        return gap

    def _was_lost_since(self, time: float, now: float) -> bool:
        is_lost_here = self._is_lost or (
            self._lost_until is not None and self._lost_until > time
        )
        lost = is_lost_here + sum(
            until > time for until in self._peers_lost_until.values()
        )
        return lost >= (2 if self._has_peers(now) else 1)
