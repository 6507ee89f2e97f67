"""The hedged requests of an entry: state by service, budgets, metrics.

Takes the first attempts and response times of all calls. Asks `calls.hedging`, the
service's dispatcher and its retry budget whether a slow call gets a second attempt, and
where. With a share of 0 nothing is observed and no
hedged request is sent.

Load pattern: see `calls.hedging`, which decides; this module applies the decisions.
"""

from typing import TYPE_CHECKING, final

from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry
from bamboolever.calls.hedging import (
    HedgeInput,
    HedgeRefusal,
    ServiceHedging,
    find_hedge_refusal,
    may_hedge,
)
from bamboolever.calls.placement import PendingCall, Placement
from bamboolever.daemons.entryfleet import EntryFleet

if TYPE_CHECKING:
    from bamboolever.daemons.relay import CallRelay
    from bamboolever.daemons.relaycontext import RelayContext


@final
class Hedges:
    """Decides about second attempts; ``share`` of first attempts, 0 for none.

    Methods are called on the task's thread.
    """

    def __init__(
        self,
        share: float,
        task: IoTask,
        telemetry: Telemetry,
        fleet: EntryFleet,
        context: "RelayContext",
    ):
        self._share = share
        self._task = task
        self._telemetry = telemetry
        self._fleet = fleet
        self._context = context
        self._services: dict[str, ServiceHedging] = {}

    def on_first_attempt(self, service: str) -> None:
        """Credit the share for a first attempt that is sent."""
        if self._share:
            self._of(service).on_first_attempt()

    def on_response(self, service: str, total_s: float) -> None:
        """Observe the seconds that an attempt took, or after which it was given up."""
        if self._share:
            self._of(service).on_response(total_s, self._task.now())

    def find_delay_s(self, relay: "CallRelay") -> float | None:
        """Return after how many seconds a second attempt may be sent, None for never.

        Counts a call that could be hedged if the delay were known.
        """
        if not self._share or not may_hedge(relay.route, relay.metadata.model):
            return None
        delay_s = self._of(relay.service).find_delay_s(self._task.now())
        if delay_s is None:
            self._withhold(relay, HedgeRefusal.UNKNOWN_DELAY)
        return delay_s

    def acquire(
        self, relay: "CallRelay", pending: PendingCall, inputs: HedgeInput
    ) -> Placement | None:
        """Return where to send a second attempt of a slow call, or None.

        It is counted at its upstream and taken from the share and the retry budget.
        """
        placement = self._choose(relay, pending, inputs)
        if isinstance(placement, HedgeRefusal):
            self._withhold(relay, placement)
            return None
        self._of(relay.service).take_token()
        dispatcher = self._fleet.dispatcher(relay.service)
        dispatcher.assign_chosen(pending, placement, self._task.now())
        self._telemetry.count("hedge.sent", service=relay.service)
        return placement

    def on_ended(self, service: str, outcome: str) -> None:
        """Count how a hedged request ended: won, lost, failed or cancelled."""
        self._telemetry.count("hedge.ended", service=service, outcome=outcome)

    def _choose(
        self, relay: "CallRelay", pending: PendingCall, inputs: HedgeInput
    ) -> Placement | HedgeRefusal:
        refusal = find_hedge_refusal(inputs)
        if refusal is not None:
            return refusal
        pending.allowed_regions = self._context.find_regions(relay)
        dispatcher = self._fleet.dispatcher(relay.service)
        placement = dispatcher.choose_hedge(pending, self._task.now())
        if isinstance(placement, HedgeRefusal):
            return placement
        if not self._of(relay.service).has_token:
            return HedgeRefusal.SHARE_USED
        if self._context.acquire_retry(relay, is_under_way=True) is not None:
            return HedgeRefusal.NO_RETRY
        return placement

    def _withhold(self, relay: "CallRelay", refusal: HedgeRefusal) -> None:
        self._telemetry.count(
            "hedge.withheld", service=relay.service, reason=refusal.value
        )

    def _of(self, service: str) -> ServiceHedging:
        hedging = self._services.get(service)
        if hedging is None:
            hedging = self._services[service] = ServiceHedging(self._share)
        return hedging
