"""Converts the reports of crashes to and from their wire format."""

from typing import Any

from bamboolever._exchange_protocol import ttypes
from bamboolever.fleet.messages import CrashReport, ReportedCrash
from bamboolever.fleet.wirevalues import age_from_wire, age_to_wire

MAX_TRIED_PARTS = 127


def report_to_wire(message: CrashReport) -> Any:
    """Return the wire format of a report."""
    return ttypes.CrashReport(
        _crashes_to_wire(message.crashes),
        _completions_to_wire(message.completed_ages_s),
        list(message.ended),
        _crashes_to_wire(message.part_crashes),
        _completions_to_wire(message.part_completed_ages_s),
        list(message.trials),
        list(message.ended_trials),
    )


def report_from_wire(wire: Any) -> CrashReport:
    """Return the report in a datagram."""
    return CrashReport(
        _crashes_from_wire(wire.crashes),
        _completions_from_wire(wire.completions),
        tuple(wire.ended or ()),
        _crashes_from_wire(wire.part_crashes),
        _completions_from_wire(wire.part_completions),
        tuple(wire.trials or ()),
        tuple(wire.ended_trials or ()),
    )


def _crashes_to_wire(crashes: tuple[ReportedCrash, ...]) -> list[Any]:
    return [
        ttypes.Crash(
            crash.digest,
            crash.upstream,
            age_to_wire(crash.age_s),
            min(MAX_TRIED_PARTS, crash.tried_parts),
        )
        for crash in crashes
    ]


def _completions_to_wire(ages_s: dict[int, float]) -> list[Any]:
    return [
        ttypes.Completion(digest, age_to_wire(age_s))
        for digest, age_s in ages_s.items()
    ]


def _crashes_from_wire(wire: Any) -> tuple[ReportedCrash, ...]:
    return tuple(
        ReportedCrash(
            crash.digest,
            crash.upstream_key,
            age_from_wire(crash.age_ms),
            crash.tried_parts or 0,
        )
        for crash in wire or ()
    )


def _completions_from_wire(wire: Any) -> dict[int, float]:
    return {each.digest: age_from_wire(each.age_ms) for each in wire or ()}
