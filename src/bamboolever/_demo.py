"""The demo: rolls out two versions on an embedded fleet and prints the result.

Version 1 is rolled out to engines without weights, version 2 under live calls and the
chosen faults. The outcomes of calls are counted by the stand-ins and the callers, not
by the daemons.
"""

import json
import logging
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, final

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from bamboolever._democallers import CallerFleet
from bamboolever._demofleet import (
    MODEL,
    EmbeddedFleet,
    FleetOptions,
    make_documents,
    write_documents,
)
from bamboolever._manifest import Manifest
from bamboolever._operator import (
    apply_changes,
    load_document_files,
    plan_changes,
    start_rollout,
)
from bamboolever._standins.engine import POISON_MARKER
from bamboolever._telemetry import read_rss_bytes

CALLER_COUNT = 8
ROLLOUT_TIMEOUT_S = 120.0
SETTLE_S = 1.0
FAULT_DELAY_S = 0.3
POLL_S = 0.05
OUTAGE_DURATION_S = 4.0
INSTANCE_LIST_DELAY_S = 1.0
POISON_TIMEOUT_S = 15.0
SHARED_FRACTION = 0.25
OPERATOR = "demo"
#: A poison request may crash three upstreams: the first one, and two more until its
#: quarantine.
MAX_CRASHES = 3


@dataclass(frozen=True)
class DemoOptions:
    """Options of the demo.

    ``instances`` is the number of model engines. ``policy`` and ``aim`` are those of
    `Distribution`. ``seed`` fixes the callers' sequence of calls. ``faults`` are keys
    of `FAULTS`, injected while version 2 is rolled out.
    """

    instances: int
    regions: int
    weights_mb: int
    policy: str
    aim: str
    seed: int
    faults: tuple[str, ...]


@final
class DemoRun:
    """One run of the demo.

    ``time_to_n_s`` is the time in seconds from the rollout of version 2 until all model
    engines serve it, at most until `ROLLOUT_TIMEOUT_S` after the faults have ended.
    """

    def __init__(self, options: DemoOptions, progress: "ProgressLine"):
        self._options = options
        self._progress = progress
        self._fleet_options = FleetOptions(
            options.instances, options.regions, options.policy, options.aim
        )
        self.fleet = EmbeddedFleet(self._fleet_options)
        self._operator = self.fleet.make_platform_client()
        self._weights_bytes = options.weights_mb * 10**6
        self._digests: dict[str, str] = {}
        self._manifests: list[Manifest] = []
        self.time_to_n_s = 0.0
        self._rollout_origin_bytes = 0
        self._rollout_cross_region_bytes = 0

    def run(self) -> dict[str, Any]:
        """Run the demo and return the result, as it is printed with --json.

        `run_demo` adds the field ``right``.
        """
        self.fleet.start()
        try:
            self._apply_documents()
            for version in ("v1", "v2", "v3"):
                manifest = self.fleet.origin.add_version(
                    MODEL, version, self._weights_bytes, shared_fraction=SHARED_FRACTION
                )
                self._digests[version] = manifest.weights_digest
                self._manifests.append(manifest)
            self._progress.print_line(
                "rolling out version 1 to engines without weights"
            )
            self._start_rollout("v1")
            self._wait_until_serving("v1")
            ports = [entry.port for entry in self.fleet.entries]
            callers = CallerFleet(ports, self._digests, seed=self._options.seed)
            callers.start(CALLER_COUNT)
            time.sleep(SETTLE_S)
            self._progress.print_line("rolling out version 2 under live calls")
            self._run_rollout(callers)
            time.sleep(SETTLE_S)
            self._progress.print_line("waiting for the callers to finish")
            callers.stop()
            return self._make_result(callers)
        finally:
            self.fleet.stop()

    def _apply_documents(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            documents = make_documents(self._fleet_options)
            path = write_documents(Path(directory), documents)
            loaded = load_document_files([path]).unwrap()
        changes = plan_changes(self._operator, loaded)
        apply_changes(self._operator, changes, OPERATOR)

    def _start_rollout(self, version: str) -> None:
        start_rollout(
            self._operator,
            self.fleet.make_origin_client(),
            service=MODEL,
            model=MODEL,
            version=version,
            operator=OPERATOR,
        )

    def _run_rollout(self, callers: CallerFleet) -> None:
        origin_before = self.fleet.origin.sent_bytes
        cross_region_before = self.fleet.network.cross_region_bytes
        started = time.monotonic()
        self._start_rollout("v2")
        threads = [
            threading.Thread(target=FAULTS[name], args=(self, callers), daemon=True)
            for name in self._options.faults
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self._wait_until_serving("v2")
        self.time_to_n_s = time.monotonic() - started
        self._rollout_origin_bytes = self.fleet.origin.sent_bytes - origin_before
        self._rollout_cross_region_bytes = (
            self.fleet.network.cross_region_bytes - cross_region_before
        )

    def count_serving(self, version: str) -> int:
        """Return how many model engines serve this version, by the weights' digest."""
        digest = self._digests[version]
        return sum(
            member.engine.weights_digest == digest
            for member in self.fleet.list_model_members()
        )

    def _wait_until_serving(self, version: str) -> None:
        deadline = time.monotonic() + ROLLOUT_TIMEOUT_S
        total = len(self.fleet.list_model_members())
        while time.monotonic() < deadline:
            serving = self.count_serving(version)
            self._progress.update(f"{version} serving", serving, total)
            if serving == total:
                return
            time.sleep(POLL_S)

    def change_target_and_revert(self) -> None:
        """Change the target to version 3 during the rollout and back to version 2."""
        self._start_rollout("v3")
        time.sleep(FAULT_DELAY_S * 2)
        self._start_rollout("v2")

    def _max_origin_copies(self) -> float:
        """Return the largest number of copies of one version that the origin sent."""
        sent = self.fleet.origin.send_count_by_digest
        copies = [
            sum(c.size * sent.get(c.digest, 0) for c in m.chunks) / m.total_bytes
            for m in self._manifests
        ]
        return round(max(copies), 3)

    def _make_result(self, callers: CallerFleet) -> dict[str, Any]:
        counts = callers.counts
        execution_counts: Counter[str] = Counter()
        for member in self.fleet.members:
            execution_counts.update(member.engine.execution_counts)
        # Idempotent calls have no dispatch key and may run more than once.
        execution_counts.pop("", None)
        ran_twice = sum(1 for count in execution_counts.values() if count > 1)
        false_not_run_count = sum(
            1 for key in callers.not_run_keys if execution_counts[key]
        )
        retries: Counter[str] = Counter()
        for entry in self.fleet.entries:
            retries.update(entry.telemetry.sum_by_attribute("retries", "reason"))
        latencies = sorted(counts.latencies_s)
        return {
            "instances": len(self.fleet.list_model_members()),
            "serving": self.count_serving("v2"),
            "time_to_n_s": round(self.time_to_n_s, 2),
            "origin_bytes": self._rollout_origin_bytes,
            "origin_copies": self._max_origin_copies(),
            "cross_region_bytes": self._rollout_cross_region_bytes,
            "calls": {
                "sent": counts.sent,
                "complete": counts.complete,
                "refused_not_run": counts.refused_not_run,
                "unknown": counts.unknown,
                "wrong": counts.wrong + false_not_run_count,
                "ran_twice": ran_twice,
            },
            "p50_ms": _percentile_ms(latencies, 0.50),
            "p95_ms": _percentile_ms(latencies, 0.95),
            "refusals": dict(sorted(counts.refusals.items())),
            "retries": dict(sorted(retries.items())),
            "engine_crashes": sum(m.engine.crash_count for m in self.fleet.members),
            "platform_calls": sum(self.fleet.platform.request_counts.values()),
            "rss_bytes": read_rss_bytes(),
            "faults": list(self._options.faults),
            "policy": self._options.policy,
        }


@final
class ProgressLine:
    """Shows progress: a bar on a terminal, otherwise lines."""

    def __init__(self, console: Console):
        self._console = console
        self._bar: Progress | None = None
        self._task_id: Any = None
        self._last_line = ""

    def print_line(self, text: str) -> None:
        """Print a line of text."""
        self._console.print(text)

    def update(self, text: str, done: int, total: int) -> None:
        """Show that ``done`` of ``total`` instances have finished the step ``text``."""
        if self._console.is_terminal:
            self._update_bar(text, done, total)
            return
        line = f"{text}: {done}/{total}"
        if line != self._last_line:
            self._last_line = line
            self._console.print(line)

    def close(self) -> None:
        """Stop the bar, if there is one."""
        if self._bar is not None:
            self._bar.stop()

    def _update_bar(self, text: str, done: int, total: int) -> None:
        if self._bar is None:
            self._bar = Progress(console=self._console)
            self._bar.start()
            self._task_id = self._bar.add_task(text, total=total)
        self._bar.update(self._task_id, description=text, completed=done, total=total)


def run_demo(options: DemoOptions, *, as_json: bool) -> bool:
    """Run the demo, print the result and return whether it meets the requirements.

    With ``as_json`` the result is one line of JSON on stdout and progress goes to
    stderr; otherwise the result is a table.
    """
    logging.basicConfig(level=logging.ERROR)
    console = Console(stderr=as_json)
    progress = ProgressLine(console)
    try:
        result = DemoRun(options, progress).run()
    finally:
        progress.close()
    is_successful = _is_successful(result)
    result["right"] = is_successful
    if as_json:
        sys.stdout.write(json.dumps(result) + "\n")
        sys.stdout.flush()
    else:
        _print_table(console, result)
    return is_successful


def _is_successful(result: dict[str, Any]) -> bool:
    """Return whether the result meets the requirements.

    All engines serve version 2. At least one call completed, no response is wrong and
    no call ran twice. There are at most `MAX_CRASHES` crashes, and with the policy
    "budgeted" the origin sends at most 4 copies of a version.
    """
    calls = result["calls"]
    return (
        result["serving"] == result["instances"]
        and calls["wrong"] == 0
        and calls["ran_twice"] == 0
        and calls["complete"] > 0
        and result["engine_crashes"] <= MAX_CRASHES
        and (result["policy"] != "budgeted" or result["origin_copies"] <= 4.0)
    )


def _print_table(console: Console, result: dict[str, Any]) -> None:
    table = Table("what", "value", title="bamboolever demo")
    for name, value in result.items():
        if isinstance(value, dict):
            value = ", ".join(f"{key} {count}" for key, count in value.items())
        if isinstance(value, list):
            value = ", ".join(value)
        if name == "rss_bytes":
            name = "rss_bytes (all stand-ins and daemons in one process)"
        table.add_row(name, str(value))
    console.print(table)


def _percentile_ms(ordered: list[float], fraction: float) -> float:
    if not ordered:
        return 0.0
    index = min(len(ordered) - 1, int(len(ordered) * fraction))
    return round(ordered[index] * 1000, 1)


def _kill_agent(run: DemoRun, callers: CallerFleet) -> None:
    time.sleep(FAULT_DELAY_S)
    member = run.fleet.list_model_members()[0]
    dead_id = member.agent.record.instance_id
    member.agent.stop()
    time.sleep(INSTANCE_LIST_DELAY_S)
    run.fleet.remove_instance(dead_id)
    run.fleet.replace_agent(member)


def _crash_engine(run: DemoRun, callers: CallerFleet) -> None:
    time.sleep(FAULT_DELAY_S)
    run.fleet.list_model_members()[-1].engine.crash()


def _corrupt_chunks(run: DemoRun, callers: CallerFleet) -> None:
    run.fleet.origin.chunks_to_corrupt = 3


def _slow_origin(run: DemoRun, callers: CallerFleet) -> None:
    run.fleet.origin.set_rate(500_000.0)
    time.sleep(OUTAGE_DURATION_S)
    run.fleet.origin.set_rate(20_000_000.0)


def _stop_store(run: DemoRun, callers: CallerFleet) -> None:
    time.sleep(FAULT_DELAY_S)
    run.fleet.platform.faults.is_down = True
    time.sleep(OUTAGE_DURATION_S)
    run.fleet.platform.faults.is_down = False


def _lose_responses(run: DemoRun, callers: CallerFleet) -> None:
    run.fleet.platform.faults.lose_answers = 5


def _change_target(run: DemoRun, callers: CallerFleet) -> None:
    time.sleep(FAULT_DELAY_S)
    run.change_target_and_revert()


def _silence_connections(run: DemoRun, callers: CallerFleet) -> None:
    time.sleep(FAULT_DELAY_S)
    run.fleet.network.silence_connections()


def _cut_region(run: DemoRun, callers: CallerFleet) -> None:
    time.sleep(FAULT_DELAY_S)
    first, second = run.fleet.regions[0], run.fleet.regions[-1]
    run.fleet.network.set_partition(first, second, is_partitioned=True)
    time.sleep(OUTAGE_DURATION_S)
    run.fleet.network.set_partition(first, second, is_partitioned=False)


def _send_poison(run: DemoRun, callers: CallerFleet) -> None:
    callers.poison_prompts.append(f"please {POISON_MARKER}")
    deadline = time.monotonic() + POISON_TIMEOUT_S
    while time.monotonic() < deadline:
        if callers.counts.refusals["request-quarantined"]:
            return
        time.sleep(POLL_S)


#: Injects a fault while version 2 is rolled out.
Fault = Callable[[DemoRun, CallerFleet], None]
FAULTS: dict[str, Fault] = {
    "agent-dies": _kill_agent,
    "engine-dies": _crash_engine,
    "corrupt-chunks": _corrupt_chunks,
    "origin-slow": _slow_origin,
    "store-down": _stop_store,
    "answers-lost": _lose_responses,
    "target-changes": _change_target,
    "silent-connection": _silence_connections,
    "region-cut": _cut_region,
    "poison-request": _send_poison,
}
