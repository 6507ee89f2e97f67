"""Control bench: the CPU cost of decisions and messages by size of the fleet.

It runs the daemons' own decision code and encoders in this process and simulates no
cluster. Each row is the cost at one size. The slopes are least-squares fits of the
cost over the size.
"""

import json
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from bamboolever._documents import Rollout, encode_document
from bamboolever._feed import ConfigurationFeed
from bamboolever._grants import SegmentGrants
from bamboolever._manifest import Chunk, Manifest, digest_bytes
from bamboolever._membership import Membership
from bamboolever._planner import PeerLocation, PeerView, TransferView
from bamboolever._platform import InstanceRecord, StoredObject
from bamboolever._policies import BudgetedPolicy
from bamboolever._protocol.ttypes import CallPiece, HaveMap, Heartbeat, Report
from bamboolever._telemetry import read_rss_bytes
from bamboolever._wire import FrameDecoder, encode_frame

MIN_MEASURE_S = 0.2
REGIONS = 5
ZONES = 14
CHUNK_COUNT = 2000
CHUNK_BYTES = 4 * 2**20
LOCAL_PEER_COUNT = 8
FULL_SIZES = (100, 950, 4000, 12_000)
QUICK_SIZES = (100, 950, 12_000)


@dataclass(frozen=True)
class CostRow:
    """Cost of an operation at one size.

    ``role`` is the daemon that runs it: "agent", "entry" or "both". ``size`` is the
    number of instances, of documents, or 1. ``cpu_us`` is CPU time in microseconds.
    ``message_bytes`` is the size of the message, 0 if there is none.
    """

    role: str
    operation: str
    size: int
    cpu_us: float
    message_bytes: int


@dataclass(frozen=True)
class Slope:
    """Least-squares fit of an operation's cost over the size, in microseconds.

    ``cpu_us_fixed`` is the cost at size 0, ``cpu_us_per_member`` the cost per instance
    or document.
    """

    role: str
    operation: str
    cpu_us_fixed: float
    cpu_us_per_member: float


def run_control_bench(
    *, is_quick: bool, print_line: Callable[[str], None]
) -> dict[str, list[dict[str, Any]]]:
    """Measure every operation at every size; return rows, slopes and memory use.

    ``is_quick`` leaves out one size. ``print_line`` is called with each row as text.
    """
    rows: list[CostRow] = []
    for size in QUICK_SIZES if is_quick else FULL_SIZES:
        for measure in (_measure_plan, _measure_membership, _measure_status):
            rows.append(measure(size))
            print_line(_format_row(rows[-1]))
    for document_count in (10, 100, 1000):
        rows.append(_measure_feed(document_count))
        print_line(_format_row(rows[-1]))
    rows += _measure_messages()
    for row in rows[-4:]:
        print_line(_format_row(row))
    slopes = _fit_slopes(rows)
    return {
        "rows": [asdict(row) for row in rows],
        "slopes": [asdict(slope) for slope in slopes],
        "process": [{"rss_bytes": read_rss_bytes()}],
    }


def _format_row(row: CostRow) -> str:
    return (
        f"{row.role:6} {row.operation:22} size {row.size:<6} "
        f"{row.cpu_us:10.1f} us {row.message_bytes:9} B"
    )


def _measure_cpu_us(function: Callable[[], object]) -> float:
    """Return the mean CPU time of a call of ``function`` in microseconds.

    One call before the measurement warms up caches.
    """
    function()
    count = 0
    started = time.process_time()
    while time.process_time() - started < MIN_MEASURE_S:
        function()
        count += 1
    return (time.process_time() - started) / count * 1e6


def _make_records(size: int) -> list[InstanceRecord]:
    return [
        InstanceRecord(
            f"engraver-{index}",
            "agent",
            "engraver",
            f"region-{index % REGIONS}",
            f"zone-{index % ZONES}",
            "10.0.0.1",
            8090,
            False,
        )
        for index in range(size)
    ]


def _make_manifest() -> Manifest:
    chunks = tuple(
        Chunk(digest_bytes(str(index).encode()), CHUNK_BYTES)
        for index in range(CHUNK_COUNT)
    )
    return Manifest("engraver", "v1", digest_bytes(b"whole"), chunks)


def _measure_plan(size: int) -> CostRow:
    """Measure a planning decision when half of the chunks are held."""
    records = _make_records(size)
    locations = {
        r.instance_id: PeerLocation(r.instance_id, r.region, r.availability_zone)
        for r in records
    }
    view = TransferView(locations["engraver-0"], _make_manifest())
    view.set_fleet(locations)
    view.held_chunks = int("0110" * (CHUNK_COUNT // 4), 2)
    policy = BudgetedPolicy(seed=1)
    for peer_id in policy.wanted_peers(view)[:LOCAL_PEER_COUNT]:
        peer = PeerView(locations[peer_id])
        peer.held_chunks = int("1010" * (CHUNK_COUNT // 4), 2)
        view.peers[peer_id] = peer
    for state in view.grants:
        state.grants = SegmentGrants()
    cpu_us = _measure_cpu_us(
        lambda: (policy.wanted_peers(view), policy.plan(view, 10.0))
    )
    return CostRow("agent", "plan a burst", size, round(cpu_us, 1), 0)


def _measure_membership(size: int) -> CostRow:
    """Measure decoding and applying one response of the instance list."""
    records = _make_records(size)
    membership = Membership()
    body = json.dumps([asdict(record) for record in records])

    def apply_once() -> None:
        rows = [InstanceRecord(**row) for row in json.loads(body)]
        membership.apply_list(rows, 0.0)
        membership.members(role="agent", service="engraver")

    cpu_us = _measure_cpu_us(apply_once)
    return CostRow("both", "take instance list", size, round(cpu_us, 1), len(body))


def _make_report(index: int = 0) -> Report:
    return Report(
        instance_id=f"engraver-{index}",
        service_name="engraver",
        region="region-1",
        availability_zone="zone-1",
        state="serving",
        version="v2026-12-04",
        target_version="v2026-12-04",
        fencing=123456,
        chunks_held=CHUNK_COUNT,
        chunks_total=CHUNK_COUNT,
        origin_bytes=10**9,
        peer_bytes=10**9,
        rss_bytes=60 * 10**6,
        in_flight=27,
        capacity=32,
        leaving=False,
        accepting=True,
        detail="",
        import_bytes=10**9,
    )


def _measure_status(size: int) -> CostRow:
    """Measure encoding an entry's status object from up to 64 agents' reports."""
    report_count = min(size, 64)
    field_names = Report().__slots__
    reports = [_make_report(index) for index in range(report_count)]

    def encode_status() -> bytes:
        rows = [{n: getattr(r, n) for n in field_names} for r in reports]
        return json.dumps(rows).encode()

    return CostRow(
        "entry",
        "roll up status",
        size,
        round(_measure_cpu_us(encode_status), 1),
        len(encode_status()),
    )


def _measure_feed(document_count: int) -> CostRow:
    """Measure applying one change to a feed with ``document_count`` documents."""
    stored = [_make_rollout(index, index + 1) for index in range(document_count)]
    feed = ConfigurationFeed()
    feed.apply_snapshot(document_count, stored)
    revision = document_count

    def apply_once() -> None:
        nonlocal revision
        revision += 1
        feed.apply_changes(revision - 1, revision, [_make_rollout(0, revision)])

    value = len(stored[0].value)
    return CostRow(
        "entry",
        "take a change",
        document_count,
        round(_measure_cpu_us(apply_once), 1),
        value,
    )


def _make_rollout(index: int, revision: int) -> StoredObject:
    rollout = Rollout(
        service=f"service-{index}",
        model="engraver",
        version=f"v{revision}",
        manifest_digest=digest_bytes(str(revision).encode()),
    )
    return StoredObject("rollouts", rollout.service, revision, encode_document(rollout))


def _measure_messages() -> list[CostRow]:
    """Measure encoding and decoding each kind of frequent message."""
    bitmap = bytes(CHUNK_COUNT // 8)
    messages: list[tuple[str, str, dict[str, Any]]] = [
        ("agent", "report", {"report": _make_report()}),
        ("both", "heartbeat", {"heartbeat": Heartbeat(0)}),
        ("agent", "have map", {"have_map": HaveMap(digest_bytes(b""), bitmap, 9)}),
        ("entry", "stream piece", {"call_piece": CallPiece(1, 1, b"x" * 80)}),
    ]
    rows = []
    for role, name, message in messages:
        encoded = encode_frame(**message)

        def round_trip(message: dict[str, Any] = message) -> None:
            buffer = FrameDecoder()
            list(buffer.feed(encode_frame(**message)))

        cpu_us = round(_measure_cpu_us(round_trip), 1)
        rows.append(CostRow(role, name, 1, cpu_us, len(encoded)))
    return rows


def _fit_slopes(rows: list[CostRow]) -> list[Slope]:
    slopes = []
    for operation in dict.fromkeys(row.operation for row in rows):
        points = [row for row in rows if row.operation == operation]
        if len(points) < 2:
            continue
        mean_x = sum(p.size for p in points) / len(points)
        mean_y = sum(p.cpu_us for p in points) / len(points)
        spread = sum((p.size - mean_x) ** 2 for p in points)
        slope = sum((p.size - mean_x) * (p.cpu_us - mean_y) for p in points) / spread
        fixed = mean_y - slope * mean_x
        slopes.append(
            Slope(points[0].role, operation, round(fixed, 1), round(slope, 4))
        )
    return slopes
