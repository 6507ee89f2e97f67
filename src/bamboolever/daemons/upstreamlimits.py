"""Keeps to the limits that upstreams name, over all entries.

Takes what responses say of a limit, and the messages of other entries. Tells the
others what this entry heard, asks the keepers for permits, and hands out those of the
upstreams that it keeps. `UpstreamLimit` decides whether a request may be sent,
`PermitKeeper` who gets permits.

Load pattern: a limit that only the entry hears of whose request was answered, while
all entries send. It is told to all at once. Then the keeper of the upstream repeats
it, as a datagram may be lost and an entry may start later.
"""

import itertools
import logging
from collections.abc import Callable, Iterable
from typing import final

from bamboolever._telemetry import Telemetry
from bamboolever.calls.limits import LimitStatement
from bamboolever.calls.permits import AddressedGrant, PermitKeeper
from bamboolever.calls.upstream import UpstreamView
from bamboolever.daemons.limitscope import LimitScope
from bamboolever.fleet.messages import (
    Message,
    NamedLimit,
    NamedLimits,
    PermitGrants,
    PermitRequest,
    PermitRequests,
)
from bamboolever.fleet.records import upstream_key
from bamboolever.net.addresses import Address

logger = logging.getLogger(__name__)

# A limit takes at most 30 bytes, so these fit into a datagram that no link fragments.
MAX_LIMITS_PER_DATAGRAM = 40
# Added to a permit's time, so that it has accrued when the timer fires.
TIMER_MARGIN_S = 0.001
# How the ids of statements and requests are put together: the process, then a count.
COUNT_BITS = 31


@final
class UpstreamLimits:
    """An entry's limits and permits, and its messages about them.

    ``now`` returns seconds of the entry's clock. ``send`` sends to one entry,
    ``send_to_all`` to all known ones. ``arm`` sets the one timer, which is to call its
    second argument after that many seconds. ``on_permits`` is called when requests may
    be sent that could not before. The process ``name`` started at ``started_ms``, in
    Unix milliseconds.
    """

    def __init__(
        self,
        now: Callable[[], float],
        telemetry: Telemetry,
        scope: LimitScope,
        send: Callable[[Message, Address], None],
        send_to_all: Callable[[Message], None],
        arm: Callable[[float, Callable[[], None]], None],
        on_permits: Callable[[], None],
        *,
        name: str,
        started_ms: int,
    ):
        self._now = now
        self._telemetry = telemetry
        self._scope = scope
        self._send = send
        self._send_to_all = send_to_all
        self._arm = arm
        self._on_permits = on_permits
        self._keeper = PermitKeeper(now())
        self._views: dict[int, UpstreamView] = {}
        self._malformed: set[int] = set()
        process = upstream_key(name, started_ms) % 2**COUNT_BITS
        self._ids = itertools.count(process << COUNT_BITS)

    # What responses say.

    def on_response(
        self, view: UpstreamView, per_s: float | None, sent_at: float
    ) -> None:
        """Take what a response says of its upstream's limit, and tell the others."""
        now = self._now()
        statement = LimitStatement(next(self._ids), per_s, sent_at, now)
        if self._learn(view, statement, "response"):
            self._report([view])

    def on_malformed(self, view: UpstreamView, error: Exception) -> None:
        """Count a limit that cannot be read, and log the first of each upstream."""
        self._telemetry.count("limit.malformed")
        if view.key in self._malformed:
            return
        self._malformed.add(view.key)
        logger.warning(
            "limit not read",
            extra={"upstream": view.instance_id, "reason": str(error)},
        )

    def _learn(
        self, view: UpstreamView, statement: LimitStatement, source: str
    ) -> bool:
        now = self._now()
        former_per_s = view.limit.per_s
        if not view.limit.learn(statement, now):
            return False
        self._views[view.key] = view
        event = _describe_change(former_per_s, statement.per_s)
        self._telemetry.count("limit.changed", event=event)
        logger.info(
            "upstream limit",
            extra={
                "upstream": view.instance_id,
                "event": event,
                "per_s": statement.per_s,
                "former_per_s": former_per_s,
                "source": source,
                "age_s": round(now - statement.received_at, 3),
            },
        )
        self._refresh_keeping(view)
        self._on_permits()
        return True

    # Requests for permits.

    def ask(self, views: Iterable[UpstreamView]) -> None:
        """Ask the keepers of these upstreams for the permits that requests lack."""
        now = self._now()
        requests: dict[Address, list[PermitRequest]] = {}
        for view in views:
            number = next(self._ids)
            wanted = view.limit.begin_request(number, now)
            if not wanted:
                continue
            keeper = self._scope.keeper_of(view.key, now)
            request = PermitRequest(view.key, number, wanted)
            requests.setdefault(keeper, []).append(request)
            if view.limit.is_keeper_silent and keeper != self._scope.own_address:
                # It may not know the limit.
                self._send(self._name_limits([view]), keeper)
        for keeper, batch in requests.items():
            message = PermitRequests(tuple(batch))
            if keeper == self._scope.own_address:
                self._on_requests(message, keeper)
            else:
                self._send(message, keeper)

    def _on_requests(self, message: PermitRequests, sender: Address) -> None:
        now = self._now()
        answers: list[AddressedGrant] = []
        for request in message.requests:
            view = self._scope.find_view(request.upstream)
            if view is None:
                continue
            self._refresh_keeping(view)
            if not view.limit.is_limited(now) and view.limit.statement is not None:
                self._send(self._name_limits([view]), sender)
            answers += self._keeper.ask(
                request.upstream, sender, request.number, request.wanted, now
            )
        self._deliver(answers)

    def _grant_due(self) -> None:
        self._deliver(self._keeper.grant_due(self._now()))

    def _deliver(self, answers: list[AddressedGrant]) -> None:
        by_entry: dict[Address, list[AddressedGrant]] = {}
        for answer in answers:
            by_entry.setdefault(answer.entry, []).append(answer)
        for entry, batch in by_entry.items():
            message = PermitGrants(tuple(answer.grant for answer in batch))
            granted = sum(grant.granted for grant in message.grants)
            self._telemetry.count("permit.granted", granted)
            if entry == self._scope.own_address:
                self._on_grants(message)
            else:
                self._send(message, entry)
        now = self._now()
        due_at = self._keeper.next_due_at(now)
        if due_at is not None:
            self._arm(due_at - now + TIMER_MARGIN_S, self._grant_due)

    def _on_grants(self, message: PermitGrants) -> None:
        now = self._now()
        has_added = False
        for grant in message.grants:
            view = self._scope.find_view(grant.upstream)
            if view is not None and view.limit.on_granted(
                grant.number, grant.granted, grant.due_s, grant.step_s, now
            ):
                has_added = True
        if has_added:
            self._on_permits()

    def _refresh_keeping(self, view: UpstreamView) -> None:
        now = self._now()
        per_s = view.limit.permits_per_s(now)
        is_keeper = (
            view.is_home
            and self._scope.keeper_of(view.key, now) == self._scope.own_address
        )
        if per_s is None or not is_keeper:
            self._keeper.drop(view.key)
            return
        self._views[view.key] = view
        share = self._scope.reachable_share(view, now)
        self._keeper.keep(view.key, per_s * share, now)

    # Reports.

    def apply(self, message: Message, sender: Address) -> None:
        """Take a message of another entry; one about something else is ignored."""
        if isinstance(message, NamedLimits):
            self._on_limits(message, sender)
        elif isinstance(message, PermitRequests):
            self._on_requests(message, sender)
        elif isinstance(message, PermitGrants):
            self._on_grants(message)

    def _on_limits(self, message: NamedLimits, sender: Address) -> None:
        now = self._now()
        for limit in message.limits:
            view = self._scope.find_view(limit.upstream)
            if view is None:
                continue
            statement = LimitStatement(
                limit.statement_id,
                limit.per_s,
                now - limit.sent_age_s,
                now - limit.received_age_s,
            )
            self._learn(view, statement, str(sender))

    def repeat(self) -> None:
        """Repeat the limits of the upstreams that this entry keeps; call periodically.

        Limits of upstreams that restarted or left are forgotten.
        """
        now = self._now()
        for key, view in list(self._views.items()):
            limit = view.limit
            is_current = self._scope.find_view(key) is view
            if not view.is_home and limit.forget_unconfirmed(now):
                logger.info("upstream limit forgotten", extra={"key": key})
            if is_current and (limit.is_reported(now) or limit.is_limited(now)):
                self._refresh_keeping(view)
                continue
            del self._views[key]
            self._keeper.drop(key)
        kept = [
            view
            for key, view in self._views.items()
            if view.is_home
            and self._scope.keeper_of(key, now) == self._scope.own_address
        ]
        self._report(kept)
        self._malformed &= {
            key for key in self._malformed if self._scope.find_view(key) is not None
        }
        self._grant_due()

    def _report(self, views: list[UpstreamView]) -> None:
        for start in range(0, len(views), MAX_LIMITS_PER_DATAGRAM):
            batch = views[start : start + MAX_LIMITS_PER_DATAGRAM]
            self._send_to_all(self._name_limits(batch))

    def _name_limits(self, views: list[UpstreamView]) -> NamedLimits:
        now = self._now()
        stated = [(view.key, view.limit.statement) for view in views]
        return NamedLimits(
            tuple(
                NamedLimit(
                    key,
                    statement.statement_id,
                    statement.per_s,
                    max(0.0, now - statement.sent_at),
                    max(0.0, now - statement.received_at),
                )
                for key, statement in stated
                if statement is not None
            )
        )


def _describe_change(former_per_s: float | None, per_s: float | None) -> str:
    if former_per_s is None:
        return "named"
    return "ended" if per_s is None else "changed"
