"""How long a change of configuration takes to be in force in every entry."""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from bamboolever._demofleet import EmbeddedFleet, FleetOptions, make_documents
from bamboolever._operator import apply_changes, plan_changes

POLL_S = 0.002
LIMIT_S = 20.0
START_S = 1.0
OUTAGE_S = 3.0


@dataclass(frozen=True)
class PropagationRow:
    """Seconds from a confirmed write to its being in force in every entry."""

    entries: int
    fault: str
    changes: int
    config_p50_s: float
    config_max_s: float
    reverted: int


def run_propagation_bench(
    *, is_quick: bool, print_line: Callable[[str], None]
) -> list[dict[str, Any]]:
    """Change a contract again and again, without and with an outage after it."""
    count = 10 if is_quick else 40
    options = FleetOptions(1, 1, "budgeted", "time-to-n", order_workers=0)
    fleet = EmbeddedFleet(options)
    fleet.start()
    try:
        operator = fleet.make_platform_client()
        documents = make_documents(options)
        apply_changes(operator, plan_changes(operator, documents), "bench")
        time.sleep(START_S)
        rows = [
            _measure(fleet, "none", count),
            _measure(fleet, "dropped-event", max(3, count // 8)),
            _measure(fleet, "store-down-after-write", 3),
        ]
    finally:
        fleet.stop()
    for row in rows:
        print_line(json.dumps(asdict(row)))
    return [asdict(row) for row in rows]


def _measure(fleet: EmbeddedFleet, fault: str, count: int) -> PropagationRow:
    operator = fleet.make_platform_client()
    times: list[float] = []
    reverted = 0
    seen = 0
    for number in range(count):
        if fault == "dropped-event":
            fleet.platform.faults.drop_events = 1
        revision = operator.write(
            "drains", f"{fault}-{number}", b"{}", expected_revision=0
        )
        started = time.monotonic()
        if fault == "store-down-after-write":
            fleet.platform.faults.is_down = True
            threading.Timer(OUTAGE_S, _end_outage, args=(fleet,)).start()
        while time.monotonic() - started < LIMIT_S:
            known = min(_find_revisions(fleet, f"{fault}-{number}"))
            feed_revision = min(entry.configuration_revision for entry in fleet.entries)
            reverted += feed_revision < seen
            seen = max(seen, feed_revision)
            if known >= revision:
                break
            time.sleep(POLL_S)
        times.append(time.monotonic() - started)
        while fleet.platform.faults.is_down:
            time.sleep(POLL_S)
    times.sort()
    return PropagationRow(
        entries=len(fleet.entries),
        fault=fault,
        changes=count,
        config_p50_s=round(times[len(times) // 2], 3),
        config_max_s=round(times[-1], 3),
        reverted=reverted,
    )


def _find_revisions(fleet: EmbeddedFleet, name: str) -> list[int]:
    """Return, per entry, the revision of one document that is in force."""
    return [entry.find_revision("drains", name) for entry in fleet.entries]


def _end_outage(fleet: EmbeddedFleet) -> None:
    fleet.platform.faults.is_down = False
