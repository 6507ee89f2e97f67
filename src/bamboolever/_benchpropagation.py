"""Propagation bench: how long a change of configuration takes to reach every entry."""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from bamboolever._demofleet import EmbeddedFleet, FleetOptions, make_documents
from bamboolever._operator import apply_changes, plan_changes

POLL_S = 0.002
CHANGE_TIMEOUT_S = 20.0
STARTUP_WAIT_S = 1.0
OUTAGE_DURATION_S = 3.0


@dataclass(frozen=True)
class PropagationRow:
    """Seconds from a confirmed write until it is in force in every entry.

    ``reverted`` counts observations of an older revision after a newer one.
    """

    entries: int
    fault: str
    changes: int
    config_p50_s: float
    config_max_s: float
    reverted: int


def run_propagation_bench(
    *, is_quick: bool, print_line: Callable[[str], None]
) -> list[dict[str, Any]]:
    """Write documents one by one and return one row per fault.

    The faults are none, an event that the watch omits, and a platform that is down
    right after the write. ``print_line`` is called with each row as JSON.
    """
    change_count = 10 if is_quick else 40
    options = FleetOptions(1, 1, "budgeted", "time-to-n", order_workers=0)
    fleet = EmbeddedFleet(options)
    fleet.start()
    try:
        operator = fleet.make_platform_client()
        documents = make_documents(options)
        apply_changes(operator, plan_changes(operator, documents), "bench")
        time.sleep(STARTUP_WAIT_S)
        rows = [
            _measure(fleet, "none", change_count),
            _measure(fleet, "dropped-event", max(3, change_count // 8)),
            _measure(fleet, "store-down-after-write", 3),
        ]
    finally:
        fleet.stop()
    for row in rows:
        print_line(json.dumps(asdict(row)))
    return [asdict(row) for row in rows]


def _measure(fleet: EmbeddedFleet, fault: str, change_count: int) -> PropagationRow:
    operator = fleet.make_platform_client()
    durations_s: list[float] = []
    reverted = 0
    max_feed_revision = 0
    for number in range(change_count):
        if fault == "dropped-event":
            fleet.platform.faults.drop_events = 1
        revision = operator.write(
            "drains", f"{fault}-{number}", b"{}", expected_revision=0
        )
        started = time.monotonic()
        if fault == "store-down-after-write":
            fleet.platform.faults.is_down = True
            threading.Timer(OUTAGE_DURATION_S, _end_outage, args=(fleet,)).start()
        while time.monotonic() - started < CHANGE_TIMEOUT_S:
            applied_revision = min(_find_revisions(fleet, f"{fault}-{number}"))
            feed_revision = min(entry.configuration_revision for entry in fleet.entries)
            reverted += feed_revision < max_feed_revision
            max_feed_revision = max(max_feed_revision, feed_revision)
            if applied_revision >= revision:
                break
            time.sleep(POLL_S)
        durations_s.append(time.monotonic() - started)
        while fleet.platform.faults.is_down:
            time.sleep(POLL_S)
    durations_s.sort()
    return PropagationRow(
        entries=len(fleet.entries),
        fault=fault,
        changes=change_count,
        config_p50_s=round(durations_s[len(durations_s) // 2], 3),
        config_max_s=round(durations_s[-1], 3),
        reverted=reverted,
    )


def _find_revisions(fleet: EmbeddedFleet, name: str) -> list[int]:
    """Return the revision of a document that is in force in each entry."""
    return [entry.find_revision("drains", name) for entry in fleet.entries]


def _end_outage(fleet: EmbeddedFleet) -> None:
    fleet.platform.faults.is_down = False
