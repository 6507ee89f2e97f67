"""Log lines and measurements of an entry's decisions about calls.

Every decision that ends badly or repeats a request is logged; placements and
served calls are logged up to a rate, and what was left out is counted.
"""

import logging
from typing import TYPE_CHECKING

from bamboolever._ratelimit import TokenBucket
from bamboolever._telemetry import Telemetry

if TYPE_CHECKING:
    from bamboolever.calls.placement import Choice
    from bamboolever.daemons.relay import CallRelay

logger = logging.getLogger(__name__)

UNEVENTFUL_LINES_PER_S = 100.0
UNEVENTFUL_BURST = 200.0
DETAIL_LABEL_CHARS = 24


class CallLog:
    """Writes one line a decision; times are seconds of the entry's clock."""

    def __init__(self, telemetry: Telemetry):
        self._telemetry = telemetry
        self._bucket = TokenBucket(UNEVENTFUL_LINES_PER_S, UNEVENTFUL_BURST)

    def arrived(
        self, relay: "CallRelay", *, configuration: int, confirmed_age_s: float | None
    ) -> None:
        """Note what a request was taken for."""
        relay.record.configuration = configuration
        relay.record.confirmed_age_s = confirmed_age_s

    def placed(self, relay: "CallRelay", choice: "Choice", now: float) -> None:
        """A request goes to an upstream."""
        self._telemetry.count("call.placed", service=relay.service)
        if not self._may_log(now):
            return
        view = choice.upstream
        load = view.load
        logger.info(
            "call placed",
            extra={
                "attempt": attempt_text(relay),
                "upstream": view.instance_id,
                "predicted_s": round(choice.predicted_s, 3),
                "waited_s": round(now - relay.arrived_at, 3),
                "writing": load.writing,
                "waiting": load.waiting,
                "waiting_tokens": load.waiting_tokens,
                "peers_age_s": round(view.peers_age_s(now), 3),
            },
        )

    def retried(self, relay: "CallRelay", outcome: str, detail: str, why: str) -> None:
        """An attempt failed; it is sent again or not."""
        self._telemetry.count("call.retry", outcome=outcome, decision=why)
        upstreams = relay.record.upstreams
        logger.info(
            "call attempt failed",
            extra={
                "attempt": attempt_text(relay),
                "upstream": upstreams[-1] if upstreams else None,
                "outcome": outcome,
                "detail": detail,
                "decision": why,
                "attempts": len(upstreams),
            },
        )

    def ended(self, relay: "CallRelay", now: float) -> None:
        """A request has its final outcome."""
        record = relay.record
        self._telemetry.count(
            "call.ended",
            outcome=record.outcome,
            detail=record.detail[:DETAIL_LABEL_CHARS],
        )
        kind = relay.route.kind.value
        if record.first_byte_s is not None:
            self._telemetry.record("call.first_byte_s", record.first_byte_s, kind=kind)
            if record.predicted_s:
                self._record_error(record.first_byte_s - record.predicted_s)
        self._telemetry.record("call.total_s", now - relay.arrived_at, kind=kind)
        if record.is_uneventful and not self._may_log(now):
            return
        logger.info(
            "call ended",
            extra={
                "attempt": attempt_text(relay),
                "route": relay.route.name,
                "service": relay.service,
                "configuration": record.configuration,
                "confirmed_age_s": _rounded(record.confirmed_age_s),
                "outcome": record.outcome,
                "status": record.status,
                "detail": record.detail,
                "upstreams": record.upstreams,
                "retries": record.retries,
                "used_s": round(relay.used_s, 3),
                "predicted_s": round(record.predicted_s, 3),
                "first_byte_s": _rounded(record.first_byte_s),
                "total_s": round(now - relay.arrived_at, 3),
                "prompt_tokens": relay.facts.prompt_tokens,
                "usable_upstreams": record.usable_upstreams,
                "waiting_calls": record.waiting_calls,
            },
        )

    def _record_error(self, error_s: float) -> None:
        # Histograms take no negative values: the side is an attribute.
        side = "later" if error_s > 0 else "sooner"
        self._telemetry.record("call.prediction_error_s", abs(error_s), side=side)

    def _may_log(self, now: float) -> bool:
        if self._bucket.try_take(now):
            return True
        self._telemetry.count("log.sampled_out")
        return False


def attempt_text(relay: "CallRelay") -> str:
    """Return the attempt id as text."""
    return (relay.facts.attempt_id or b"").decode("latin-1")


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 3)
