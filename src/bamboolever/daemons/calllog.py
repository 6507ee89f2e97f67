"""Log lines and metrics of an entry's decisions about calls.

Every failed attempt and every call that was not served at its first attempt is
logged. Placements and calls served at the first attempt are logged up to a rate;
lines beyond it are dropped and counted as ``log.sampled_out``.
"""

import logging
from typing import TYPE_CHECKING

from bamboolever._ratelimit import TokenBucket
from bamboolever._telemetry import Telemetry

if TYPE_CHECKING:
    from bamboolever.calls.placement import Placement
    from bamboolever.daemons.relay import CallRelay

logger = logging.getLogger(__name__)

ROUTINE_LINES_PER_S = 100.0
ROUTINE_BURST_LINES = 200.0
DETAIL_LABEL_CHARS = 24


class CallLog:
    """Writes one line per decision; ``now`` is in seconds of the entry's clock."""

    def __init__(self, telemetry: Telemetry):
        self._telemetry = telemetry
        self._bucket = TokenBucket(ROUTINE_LINES_PER_S, ROUTINE_BURST_LINES)

    def record_admission(
        self, relay: "CallRelay", *, configuration: int, confirmed_age_s: float | None
    ) -> None:
        """Store the configuration version that admitted a call; logs nothing.

        ``confirmed_age_s`` is the time in seconds since that version was last known
        to be the newest, or None if it never was.
        """
        relay.record.configuration = configuration
        relay.record.confirmed_age_s = confirmed_age_s

    def placed(self, relay: "CallRelay", placement: "Placement", now: float) -> None:
        """Count and, within the rate, log the placement of a call on an upstream."""
        self._telemetry.count("call.placed", service=relay.service)
        if not self._may_log(now):
            return
        view = placement.upstream
        load = view.load
        logger.info(
            "call placed",
            extra={
                "attempt": _attempt_id_text(relay),
                "upstream": view.instance_id,
                "predicted_s": round(placement.predicted_s, 3),
                "waited_s": round(now - relay.arrived_at, 3),
                "writing": load.writing,
                "waiting": load.waiting,
                "waiting_tokens": load.waiting_tokens,
                "peers_age_s": round(view.peer_load_age_s(now), 3),
                "held_back": relay.record.held_back,
                "regions": relay.record.regions,
                "left_regions": relay.record.left_regions,
            },
        )

    def attempt_failed(
        self, relay: "CallRelay", outcome: str, detail: str, retry_decision: str
    ) -> None:
        """Count and log a failed attempt.

        ``retry_decision`` is "sent-again", or the reason why there is no retry. The
        line names the parts of the prompt, and how far the upstream had come with it.
        """
        self._telemetry.count("call.retry", outcome=outcome, decision=retry_decision)
        upstreams = relay.record.upstreams
        logger.info(
            "call attempt failed",
            extra={
                "attempt": _attempt_id_text(relay),
                "upstream": upstreams[-1] if upstreams else None,
                "outcome": outcome,
                "detail": detail,
                "decision": retry_decision,
                "attempts": len(upstreams),
                "parts": relay.metadata.shared_parts,
                "has_begun": relay.record.body_framing is not None,
                "events": relay.attempt_events,
            },
        )

    def ended(self, relay: "CallRelay", now: float) -> None:
        """Record the metrics of a call with a final outcome, and log it."""
        record = relay.record
        framing = None if record.body_framing is None else record.body_framing.value
        self._telemetry.count(
            "call.ended",
            outcome=record.outcome,
            detail=record.detail[:DETAIL_LABEL_CHARS],
        )
        if framing is not None:
            self._telemetry.count(
                "call.response_end",
                framing=framing,
                in_event=str(record.partial_event_bytes > 0).lower(),
            )
        kind = relay.route.kind.value
        if record.first_byte_s is not None:
            self._telemetry.record("call.first_byte_s", record.first_byte_s, kind=kind)
            if record.predicted_s:
                self._record_prediction_error(record.first_byte_s - record.predicted_s)
        self._telemetry.record("call.total_s", now - relay.arrived_at, kind=kind)
        is_routine = record.is_routine and not relay.prompt.tried
        if is_routine and not self._may_log(now):
            return
        logger.info(
            "call ended",
            extra={
                "attempt": _attempt_id_text(relay),
                "route": relay.route.name,
                "service": relay.service,
                "configuration": record.configuration,
                "confirmed_age_s": _rounded(record.confirmed_age_s),
                "outcome": record.outcome,
                "status": record.status,
                "detail": record.detail,
                "upstreams": record.upstreams,
                "retries": record.attempt_failures,
                "used_s": round(relay.first_attempt_age_s, 3),
                "predicted_s": round(record.predicted_s, 3),
                "first_byte_s": _rounded(record.first_byte_s),
                "total_s": round(now - relay.arrived_at, 3),
                "prompt_tokens": relay.metadata.prompt_tokens,
                "usable_upstreams": record.usable_upstreams,
                "waiting_calls": record.waiting_calls,
                "body_framing": framing,
                "events": record.events,
                "partial_event_bytes": record.partial_event_bytes,
                "tried_parts": len(relay.prompt.tried),
                "held_back": record.held_back,
                "hedge_upstream": record.hedge_upstream,
                "hedge_outcome": record.hedge_outcome,
                "regions": record.regions,
                "left_regions": record.left_regions,
                "excluded": dict(record.excluded),
            },
        )

    def cut_by_stop(self, relay: "CallRelay", now: float) -> None:
        """Count and log a call that is in flight as the process ends."""
        self._telemetry.count("call.cut_by_stop")
        logger.warning(
            "call cut by stop",
            extra={
                "attempt": _attempt_id_text(relay),
                "route": relay.route.name,
                "upstreams": relay.record.upstreams,
                "events": relay.record.events,
                "total_s": round(now - relay.arrived_at, 3),
                "remaining_s": round(relay.timeout_at - now, 3),
            },
        )

    def _record_prediction_error(self, error_s: float) -> None:
        # Histograms accept no negative values, so the sign becomes an attribute.
        side = "later" if error_s > 0 else "sooner"
        self._telemetry.record("call.prediction_error_s", abs(error_s), side=side)

    def _may_log(self, now: float) -> bool:
        if self._bucket.try_take(now):
            return True
        self._telemetry.count("log.sampled_out")
        return False


def _attempt_id_text(relay: "CallRelay") -> str:
    """Return the attempt id of a call as text, or '' if it has none."""
    return (relay.metadata.attempt_id or b"").decode("latin-1")


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 3)
