"""Distribution bench: compares all policies on the same size of weights.

Token buckets limit the rate of the origin's link and of the links between regions;
the data runs over TCP on 127.0.0.1. The stand-ins count bytes and requests.
"""

import math
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from typing import Any

from bamboolever._democallers import CallerFleet
from bamboolever._demofleet import (
    MODEL,
    EmbeddedFleet,
    FleetOptions,
    make_documents,
)
from bamboolever._operator import apply_changes, plan_changes, start_rollout

ROLLOUT_TIMEOUT_S = 90.0
POLL_S = 0.02
SETTLE_S = 3.0
LIVE_CALLER_COUNT = 4
LOCAL_BYTES_PER_S = 1e9
ORIGIN_BYTES_PER_S = 1_000_000.0
WEIGHTS_BYTES = 4_000_000
AGENT_STOP_DELAY_S = 0.2


@dataclass(frozen=True)
class Deployment:
    """The size of a user's fleet: model engines, workers for orders, and regions."""

    name: str
    regions: int
    instances: int
    order_workers: int


@dataclass(frozen=True)
class PolicyChoice:
    """A distribution policy with its aim, as in `Distribution`."""

    name: str
    policy: str
    aim: str


@dataclass(frozen=True)
class DistributionRow:
    """One measured rollout to all ``n`` model engines.

    ``serving`` is how many engines serve the version in the end. ``time_to_n_s`` is the
    time in seconds until all do, ``floor_s`` a lower bound on it. Copies are bytes
    divided by the size of the weights: sent by the origin, sent between regions, and
    sent on the busiest link between two regions. ``live_p95_ratio`` is the 95th
    percentile of the calls' latency during the rollout divided by that before it.
    """

    deployment: str
    policy: str
    n: int
    fault: str
    serving: int
    time_to_n_s: float
    floor_s: float
    ratio_to_floor: float
    origin_copies: float
    cross_region_copies: float
    max_pair_copies: float
    platform_calls: int
    live_p95_ratio: float | None


DEPLOYMENTS = (Deployment("engrave-host", 3, 6, 3), Deployment("heredia", 3, 8, 3))
LARGER_FLEET_SIZES = (16, 32)
POLICIES = (
    PolicyChoice("origin-only", "origin-only", "time-to-n"),
    PolicyChoice("static-tree", "static-tree", "time-to-n"),
    PolicyChoice("swarm", "swarm", "time-to-n"),
    PolicyChoice("budgeted/time-to-n", "budgeted", "time-to-n"),
    PolicyChoice("budgeted/origin-bytes", "budgeted", "origin-bytes"),
)


def run_distribution_bench(
    *, is_quick: bool, print_line: Callable[[str], None]
) -> list[dict[str, Any]]:
    """Run every policy on every fleet and return one row per rollout.

    ``is_quick`` runs only one fleet, without the first policy and without faults.
    ``print_line`` is called with each row as text.
    """
    rollouts = [(d, d.instances) for d in DEPLOYMENTS]
    if is_quick:
        rollouts = rollouts[:1]
    else:
        rollouts += [(DEPLOYMENTS[0], n) for n in LARGER_FLEET_SIZES]
    rows: list[DistributionRow] = []
    for deployment, n in rollouts:
        for choice in POLICIES[1:] if is_quick else POLICIES:
            rows.append(_run_rollout(deployment, choice, n, "none"))
            print_line(_format_row(rows[-1]))
    for deployment in [] if is_quick else DEPLOYMENTS:
        for choice in POLICIES[3:]:
            fault = "agent-dies"
            rows.append(_run_rollout(deployment, choice, deployment.instances, fault))
            print_line(_format_row(rows[-1]))
    rows.append(_run_live_rollout(DEPLOYMENTS[0], POLICIES[3], 6))
    print_line(_format_row(rows[-1]))
    return [asdict(row) for row in rows]


def _format_row(row: DistributionRow) -> str:
    return (
        f"{row.deployment:13} {row.policy:22} N={row.n:<3} {row.fault:11} "
        f"time {row.time_to_n_s:6.2f} s (floor {row.floor_s:.2f}) "
        f"origin {row.origin_copies:5.2f} pair {row.max_pair_copies:4.2f}"
    )


def _make_fleet(deployment: Deployment, choice: PolicyChoice, n: int) -> EmbeddedFleet:
    options = FleetOptions(
        n,
        deployment.regions,
        choice.policy,
        choice.aim,
        origin_bytes_per_s=ORIGIN_BYTES_PER_S,
        order_workers=deployment.order_workers,
    )
    fleet = EmbeddedFleet(options)
    fleet.start()
    operator = fleet.make_platform_client()
    documents = make_documents(options)
    apply_changes(operator, plan_changes(operator, documents), "bench")
    return fleet


def _start_rollout(fleet: EmbeddedFleet, version: str) -> str:
    manifest = fleet.origin.add_version(MODEL, version, WEIGHTS_BYTES)
    start_rollout(
        fleet.make_platform_client(),
        fleet.make_origin_client(),
        service=MODEL,
        model=MODEL,
        version=version,
        operator="bench",
    )
    return manifest.weights_digest


def _count_serving(fleet: EmbeddedFleet, digest: str) -> int:
    return sum(m.engine.weights_digest == digest for m in fleet.list_model_members())


def _wait_for_all(fleet: EmbeddedFleet, digest: str) -> int:
    deadline = time.monotonic() + ROLLOUT_TIMEOUT_S
    while time.monotonic() < deadline:
        if _count_serving(fleet, digest) == len(fleet.list_model_members()):
            break
        time.sleep(POLL_S)
    return _count_serving(fleet, digest)


def _wait_until_connected(fleet: EmbeddedFleet) -> None:
    """Wait until entries are connected to all agents, so that this is not measured."""
    total = len(fleet.members)
    deadline = time.monotonic() + ROLLOUT_TIMEOUT_S
    while time.monotonic() < deadline:
        agent_counts = [len(e.describe_status()["agents"]) for e in fleet.entries]
        if min(agent_counts) == total:
            break
        time.sleep(POLL_S)
    time.sleep(SETTLE_S)


def _run_rollout(
    deployment: Deployment, choice: PolicyChoice, n: int, fault: str
) -> DistributionRow:
    """Measure a rollout to engines without weights, which needs no swap slots."""
    fleet = _make_fleet(deployment, choice, n)
    try:
        _wait_until_connected(fleet)
        return _measure(fleet, deployment, choice, fault)
    finally:
        fleet.stop()


def _measure(
    fleet: EmbeddedFleet, deployment: Deployment, choice: PolicyChoice, fault: str
) -> DistributionRow:
    origin_before = fleet.origin.sent_bytes
    links_before = dict(fleet.network.bytes_by_link)
    calls_before = sum(fleet.platform.request_counts.values())
    started = time.monotonic()
    digest = _start_rollout(fleet, f"v{time.monotonic_ns()}")
    if fault == "agent-dies":
        _replace_one_agent(fleet)
    serving = _wait_for_all(fleet, digest)
    elapsed_s = time.monotonic() - started
    pair_bytes = [
        byte_count - links_before.get(link, 0)
        for link, byte_count in fleet.network.bytes_by_link.items()
        if link.source != link.destination
    ]
    floor_s = _compute_floor_s(deployment, choice, len(fleet.list_model_members()))
    return DistributionRow(
        deployment=deployment.name,
        policy=choice.name,
        n=len(fleet.list_model_members()),
        fault=fault,
        serving=serving,
        time_to_n_s=round(elapsed_s, 3),
        floor_s=round(floor_s, 3),
        ratio_to_floor=round(elapsed_s / floor_s, 2),
        origin_copies=_to_copies(fleet.origin.sent_bytes - origin_before),
        cross_region_copies=_to_copies(sum(pair_bytes)),
        max_pair_copies=_to_copies(max(pair_bytes, default=0)),
        platform_calls=sum(fleet.platform.request_counts.values()) - calls_before,
        live_p95_ratio=None,
    )


def _replace_one_agent(fleet: EmbeddedFleet) -> None:
    time.sleep(AGENT_STOP_DELAY_S)
    member = fleet.list_model_members()[0]
    dead_id = member.agent.record.instance_id
    member.agent.stop()
    fleet.remove_instance(dead_id)
    fleet.replace_agent(member)


def _run_live_rollout(
    deployment: Deployment, choice: PolicyChoice, n: int
) -> DistributionRow:
    """Measure a rollout that replaces a version under live calls, and their latency."""
    fleet = _make_fleet(deployment, choice, n)
    try:
        _wait_until_connected(fleet)
        digest = _start_rollout(fleet, "base")
        _wait_for_all(fleet, digest)
        callers = CallerFleet([e.port for e in fleet.entries], {}, seed=1)
        callers.start(LIVE_CALLER_COUNT)
        time.sleep(SETTLE_S * 2)
        baseline_count = len(callers.counts.latencies_s)
        row = _measure(fleet, deployment, choice, "live-calls")
        callers.stop()
    finally:
        fleet.stop()
    latencies = callers.counts.latencies_s
    ratio = _p95(latencies[baseline_count:]) / max(
        1e-6, _p95(latencies[:baseline_count])
    )
    return replace(row, live_p95_ratio=round(ratio, 2))


def _compute_floor_s(deployment: Deployment, choice: PolicyChoice, n: int) -> float:
    """Return a lower bound in seconds on the time until ``n`` engines serve.

    One copy must cross the origin's link. One copy per region must cross that link and
    the links between regions, all together. After that, the number of holders of the
    last chunk at most doubles in the time of one chunk within a region.
    """
    options = FleetOptions(n, deployment.regions, choice.policy, choice.aim)
    regions = min(deployment.regions, n)
    pairs_bytes_per_s = regions * (regions - 1) * options.region_pair_bytes_per_s
    first_s = WEIGHTS_BYTES / ORIGIN_BYTES_PER_S
    all_s = regions * WEIGHTS_BYTES / (ORIGIN_BYTES_PER_S + pairs_bytes_per_s)
    doublings = math.ceil(math.log2(max(2, n)))
    return max(first_s, all_s) + doublings * options.chunk_bytes / LOCAL_BYTES_PER_S


def _to_copies(byte_count: int) -> float:
    return round(byte_count / WEIGHTS_BYTES, 3)


def _p95(values: list[float]) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * 0.95))]
