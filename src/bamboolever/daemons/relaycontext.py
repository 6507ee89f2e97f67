"""The interface between a relay and its entry, and the record of one call."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bamboolever._task import IoTask
from bamboolever.calls.placement import PendingCall, Placement
from bamboolever.calls.upstream import UpstreamView
from bamboolever.daemons.calllog import CallLog
from bamboolever.daemons.hedges import Hedges
from bamboolever.net.buffers import BufferBudget
from bamboolever.net.client import ConnectionPool
from bamboolever.net.messages import BodyFraming

if TYPE_CHECKING:
    from bamboolever.daemons.relay import CallRelay


class RelayContext(ABC):
    """Shared resources and callbacks that relays use, on the task's thread.

    ``pool`` holds the connections to upstreams. ``buffers`` bounds the responses that
    are buffered. ``hedges`` decides about second attempts beside slow ones.
    """

    task: IoTask
    pool: ConnectionPool
    buffers: BufferBudget
    log: CallLog
    hedges: Hedges

    @abstractmethod
    def enqueue(self, relay: "CallRelay", pending: PendingCall) -> None:
        """Queue the call for an upstream.

        The decision arrives by `CallRelay.on_placed` or `CallRelay.on_rejected`,
        possibly before this returns.
        """

    @abstractmethod
    def find_regions(self, relay: "CallRelay") -> frozenset[str] | None:
        """Return the regions that a call may be sent to; None means all."""

    @abstractmethod
    def cancel_placement(self, relay: "CallRelay") -> None:
        """Drop the call from the queue; no decision about it follows."""

    @abstractmethod
    def on_capacity_changed(self, service: str) -> None:
        """Called when a call left an upstream of the service; another may be placed."""

    @abstractmethod
    def on_ended(self, relay: "CallRelay") -> None:
        """Called once, when ``relay.record`` holds the call's final outcome."""

    @abstractmethod
    def on_first_attempt(self, service: str) -> None:
        """Called once for each call of the service, before its first attempt."""

    @abstractmethod
    def on_broken_response(
        self, relay: "CallRelay", upstream: UpstreamView, sent_at: float
    ) -> None:
        """Called when a connection failed after some of the request was sent.

        ``sent_at`` is the task's time in seconds when the request was sent to it.
        """

    @abstractmethod
    def on_connection_refused(self, upstream: UpstreamView) -> None:
        """Called when nothing listens at the address of ``upstream``."""

    @abstractmethod
    def on_upstream_closed(
        self, upstream: UpstreamView, reason: str, delay_s: float | None
    ) -> None:
        """Called when a response says that its upstream wants no more requests.

        ``delay_s`` is for how long, in seconds; None means until it restarts.
        """

    @abstractmethod
    def on_limit_stated(
        self, upstream: UpstreamView, per_s: float | None, sent_at: float
    ) -> None:
        """Called when a response says whether its upstream has a limit.

        ``per_s`` is in requests per second, None without a limit. ``sent_at`` is the
        task's time in seconds when the request was sent.
        """

    @abstractmethod
    def on_malformed_limit(self, upstream: UpstreamView, error: Exception) -> None:
        """Called when a response names a limit that cannot be read."""

    @abstractmethod
    def on_unknown_header(self, upstream: UpstreamView, name: str, value: str) -> None:
        """Called for each header of the platform's that this version does not know."""

    @abstractmethod
    def on_completed(
        self, relay: "CallRelay", upstream: UpstreamView, sent_at: float
    ) -> None:
        """Called when the successful response of ``upstream`` is surely complete.

        ``sent_at`` is the task's time in seconds when the request was sent to it.
        """

    @abstractmethod
    def on_well_begun(self, relay: "CallRelay") -> None:
        """Called once for each attempt whose stream is well under way."""

    @abstractmethod
    def on_unproven_end(
        self, relay: "CallRelay", upstream: UpstreamView, sent_at: float
    ) -> None:
        """Called when a response that looks complete ended with its connection.

        It would look the same if the upstream had crashed.
        """

    @abstractmethod
    def acquire_replacement(
        self, relay: "CallRelay", pending: PendingCall
    ) -> Placement | None:
        """Return where a call goes on whose attempt is silent; None if nowhere now.

        It is counted there and taken from the retry budget.
        """

    @abstractmethod
    def acquire_retry(
        self, relay: "CallRelay", *, is_under_way: bool = False
    ) -> str | None:
        """Take one retry of the call from its service's budget.

        Returns None if the call may be sent again, else the reason why not.
        ``is_under_way`` is set while an attempt has not ended yet.
        """

    @abstractmethod
    def begin_by(self, relay: "CallRelay") -> float | None:
        """Return by when the relay's attempt must have begun, or None without a limit.

        After that its upstream's version has expired.
        """

    @abstractmethod
    def count(self, name: str, **attributes: str) -> None:
        """Add 1 to the counter ``name`` with these attributes."""


@dataclass
class CallRecord:
    """What is logged of a call when it ends.

    ``upstreams`` has the id of each attempt's upstream, and ``attempt_failures`` the
    detail of each failed attempt. ``predicted_s`` is the predicted time in seconds
    from the last placement to the first byte; ``first_byte_s`` is the measured time
    from the call's arrival. ``configuration`` is the version that admitted the call.
    ``confirmed_age_s`` is how many seconds before the admission that version was last
    known to be the newest. ``usable_upstreams`` and ``waiting_calls`` are set when the
    dispatcher rejects the call. ``body_framing`` is that of the last attempt's
    response. ``events`` counts the events of a stream that were forwarded, and
    ``partial_event_bytes`` is how many bytes of the next one had arrived when the last
    attempt ended. ``held_back`` are the upstreams that could not take the call at its
    last placement or rejection because of their limits. ``regions`` are those that a
    bound call may use, and ``left_regions`` those in which a call left the last room to
    bound ones, both at that time. ``excluded`` counts the upstreams that each rule
    excluded when a bound call was rejected, by the rule's reason. ``hedge_upstream`` is
    the id of the hedged request's upstream, and ``hedge_outcome`` how it ended.
    """

    upstreams: list[str] = field(default_factory=list)
    attempt_failures: list[str] = field(default_factory=list)
    predicted_s: float = 0.0
    first_byte_s: float | None = None
    status: int | None = None
    outcome: str = "open"
    detail: str = ""
    configuration: int = 0
    confirmed_age_s: float | None = None
    usable_upstreams: int | None = None
    waiting_calls: int | None = None
    body_framing: BodyFraming | None = None
    events: int = 0
    partial_event_bytes: int = 0
    held_back: tuple[str, ...] = ()
    hedge_upstream: str | None = None
    hedge_outcome: str | None = None
    regions: tuple[str, ...] = ()
    left_regions: tuple[str, ...] = ()
    excluded: Mapping[str, int] = field(default_factory=dict)

    @property
    def is_routine(self) -> bool:
        """Whether the call was served by its first attempt alone."""
        is_single = not self.attempt_failures and self.hedge_upstream is None
        return self.outcome == "served" and is_single
