"""What a relay needs of its entry, and what is recorded of a call."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bamboolever._task import IoTask
from bamboolever.calls.placement import PendingCall
from bamboolever.calls.upstream import UpstreamView
from bamboolever.daemons.calllog import CallLog
from bamboolever.net.client import ConnectionPool

if TYPE_CHECKING:
    from bamboolever.daemons.relay import CallRelay


class RelayContext(ABC):
    """What a relay needs of the entry."""

    task: IoTask
    pool: ConnectionPool
    log: CallLog

    @abstractmethod
    def enqueue(self, relay: "CallRelay", pending: PendingCall) -> None:
        """Have the request placed; the relay is told the outcome."""

    @abstractmethod
    def cancel_placement(self, relay: "CallRelay") -> None:
        """Stop placing the request."""

    @abstractmethod
    def on_capacity_changed(self, service: str) -> None:
        """An upstream of the service has room again."""

    @abstractmethod
    def on_ended(self, relay: "CallRelay") -> None:
        """The request has its final outcome."""

    @abstractmethod
    def on_first_attempt(self, service: str) -> None:
        """A request is sent for the first time."""

    @abstractmethod
    def on_response_broken(self, relay: "CallRelay", upstream: UpstreamView) -> None:
        """An upstream's answer to the request broke."""

    @abstractmethod
    def on_connect_failed(self, upstream: UpstreamView) -> None:
        """An upstream refused or did not answer a connection."""

    @abstractmethod
    def on_completed(self, relay: "CallRelay") -> None:
        """An upstream ran the request to its end."""

    @abstractmethod
    def acquire_retry(self, relay: "CallRelay") -> str | None:
        """Take a retry from the budget; return why it may not be sent, or None."""

    @abstractmethod
    def count(self, name: str, **attributes: str) -> None:
        """Count an event by its attributes."""


@dataclass
class CallRecord:
    """What is logged of a request when it ends."""

    upstreams: list[str] = field(default_factory=list)
    retries: list[str] = field(default_factory=list)
    predicted_s: float = 0.0
    first_byte_s: float | None = None
    status: int | None = None
    outcome: str = "open"
    detail: str = ""
    configuration: int = 0
    confirmed_age_s: float | None = None
    usable_upstreams: int | None = None
    waiting_calls: int | None = None

    @property
    def is_uneventful(self) -> bool:
        """Whether the first upstream served the request."""
        return self.outcome == "served" and not self.retries
