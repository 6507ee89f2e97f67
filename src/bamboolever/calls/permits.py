"""Hands out permits to send requests to upstreams that have named a limit.

Takes the requests for permits of all entries of a cell, and the permits per second of
each upstream. Decides which entry gets how many, and when.

Load pattern: many entries share an upstream that takes few requests. One entry, the
keeper, decides for all, so that their sum keeps to the limit however many they are. It
hands out none until the permits of the keeper before it have expired.
"""

import math
from dataclasses import dataclass, field
from typing import final

from bamboolever.calls.limits import PERMIT_TTL_S, REQUEST_TTL_S
from bamboolever.fleet.messages import PermitGrant
from bamboolever.net.addresses import Address

# A keeper that did not see itself as one for longer begins anew.
MAX_GAP_S = 1.0
# Unused permits are saved for this long, but always one.
MAX_SAVED_S = 0.25
# An entry that has just started does not know the others yet.
LEARN_PEERS_S = 3.0
# Entries that asked within this time share the permits.
SHARING_S = 2.0


@dataclass(frozen=True)
class AddressedGrant:
    """The answer to an entry that asked for permits."""

    entry: Address
    grant: PermitGrant


@dataclass
class _Request:
    number: int
    wanted: int
    received_at: float


@dataclass
class _Account:
    """The permits of one upstream; ``saved`` are those not handed out yet.

    None accrue before ``opens_at``. ``requests`` are open, by entry.
    """

    opens_at: float
    per_s: float
    seen_at: float
    counted_at: float
    saved: float = 0.0
    requests: dict[Address, _Request] = field(default_factory=dict)
    asked_at: dict[Address, float] = field(default_factory=dict)
    granted_at: dict[Address, float] = field(default_factory=dict)


@final
class PermitKeeper:
    """The permits of all upstreams that this entry keeps, by `upstream_key`.

    The process started at ``started_at``. Times are seconds of the entry's clock.
    """

    def __init__(self, started_at: float):
        self._started_at = started_at
        self._accounts: dict[int, _Account] = {}

    @property
    def kept(self) -> list[int]:
        """The upstreams that this entry keeps."""
        return list(self._accounts)

    def keep(self, upstream: int, per_s: float, now: float) -> None:
        """Keep an upstream's permits; call often while this entry is its keeper."""
        account = self._accounts.get(upstream)
        if account is None or now - account.seen_at > MAX_GAP_S:
            opens_at = max(now + PERMIT_TTL_S, self._started_at + LEARN_PEERS_S)
            account = _Account(opens_at, per_s, now, opens_at)
            self._accounts[upstream] = account
        account.seen_at = now
        _count(account, now)
        account.per_s = per_s
        account.saved = min(account.saved, _most_saved(per_s))

    def drop(self, upstream: int) -> None:
        """Stop keeping an upstream's permits."""
        self._accounts.pop(upstream, None)

    def ask(
        self, upstream: int, entry: Address, number: int, wanted: int, now: float
    ) -> list[AddressedGrant]:
        """Add an entry's request for permits and return the answers that are due.

        One that gets none at once is told when to expect them.
        """
        account = self._accounts.get(upstream)
        if account is None:
            return []
        account.requests[entry] = _Request(number, wanted, now)
        account.asked_at[entry] = now
        answers = self._grant(upstream, account, now)
        if entry in account.requests:
            answers.append(_answer(upstream, account, entry, 0, now))
        return answers

    def grant_due(self, now: float) -> list[AddressedGrant]:
        """Hand out the permits that have accrued to the open requests."""
        answers: list[AddressedGrant] = []
        for upstream, account in self._accounts.items():
            answers += self._grant(upstream, account, now)
        return answers

    def next_due_at(self, now: float) -> float | None:
        """Return when a permit is due that an entry waits for, or None."""
        due = [
            now + _wait_s(account, 1, now)
            for account in self._accounts.values()
            if account.requests
        ]
        return min(due, default=None)

    def _grant(
        self, upstream: int, account: _Account, now: float
    ) -> list[AddressedGrant]:
        _count(account, now)
        _expire(account, now)
        answers: list[AddressedGrant] = []
        while account.saved >= 1 and account.requests:
            entry = min(account.requests, key=lambda each: _order(account, each))
            granted = min(account.requests[entry].wanted, math.floor(account.saved))
            account.saved -= granted
            account.granted_at[entry] = now
            answers.append(_answer(upstream, account, entry, granted, now))
            del account.requests[entry]
        return answers


def _order(account: _Account, entry: Address) -> tuple[float, float]:
    """Return the order of requests: whoever was granted permits last comes last."""
    granted_at = account.granted_at.get(entry, -math.inf)
    return (granted_at, account.requests[entry].received_at)


def _most_saved(per_s: float) -> float:
    return max(1.0, MAX_SAVED_S * per_s)


def _count(account: _Account, now: float) -> None:
    if now <= account.counted_at:
        return
    accrued = (now - account.counted_at) * account.per_s
    account.saved = min(_most_saved(account.per_s), account.saved + accrued)
    account.counted_at = now


def _expire(account: _Account, now: float) -> None:
    for entry, request in list(account.requests.items()):
        if now - request.received_at > REQUEST_TTL_S:
            del account.requests[entry]
    for entry, asked_at in list(account.asked_at.items()):
        if now - asked_at > SHARING_S:
            del account.asked_at[entry]
            account.granted_at.pop(entry, None)


def _wait_s(account: _Account, permits: int, now: float) -> float:
    """Return the seconds until so many permits have accrued."""
    start_s = max(0.0, account.opens_at - now)
    return start_s + max(0.0, (permits - account.saved) / account.per_s)


def _answer(
    upstream: int, account: _Account, entry: Address, granted: int, now: float
) -> AddressedGrant:
    sharing = max(1, len(account.asked_at))
    waiting = sorted(account.requests, key=lambda each: _order(account, each))
    position = waiting.index(entry) if entry in waiting else len(waiting)
    due_s = _wait_s(account, position + 1, now)
    step_s = sharing / account.per_s
    number = account.requests[entry].number
    return AddressedGrant(entry, PermitGrant(upstream, number, granted, due_s, step_s))
