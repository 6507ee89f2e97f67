"""Counters by reason through OpenTelemetry, JSON logs, and process memory."""

import logging
import logging.handlers
import queue
import sys
import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TextIO, final

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    HistogramDataPoint,
    InMemoryMetricReader,
    NumberDataPoint,
)
from pythonjsonlogger.json import JsonFormatter

PAGE_BYTES = 4096
MAX_QUEUED_RECORDS = 5000
# Upper bounds of the buckets of latency histograms, in seconds.
LATENCY_BOUNDS_S = [
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.4,
    0.6,
    1.0,
    2.0,
    4.0,
    8.0,
]
LOG_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


@dataclass(frozen=True)
class CounterValue:
    """One counter with its attributes and current value."""

    name: str
    attributes: tuple[tuple[str, str], ...]
    value: float


@final
class Telemetry:
    """The metrics of one process, readable as text over HTTP."""

    def __init__(self, process_name: str):
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        self._meter = self._provider.get_meter(process_name)
        self._lock = threading.Lock()
        self._instruments: dict[str, object] = {}

    def count(self, name: str, amount: float = 1, **attributes: str) -> None:
        """Add ``amount`` to the counter ``name`` with these attributes."""
        with self._lock:
            counter = self._instruments.get(name)
            if counter is None:
                counter = self._meter.create_counter(name)
                self._instruments[name] = counter
        counter.add(amount, attributes)  # type: ignore[attr-defined]

    def record(self, name: str, value: float, **attributes: str) -> None:
        """Add ``value`` to the histogram ``name`` with these attributes."""
        with self._lock:
            histogram = self._instruments.get(name)
            if histogram is None:
                histogram = self._meter.create_histogram(
                    name, explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S
                )
                self._instruments[name] = histogram
        histogram.record(value, attributes)  # type: ignore[attr-defined]

    def read(self) -> list[CounterValue]:
        """Return every counter and histogram, sorted by name and attributes.

        A histogram gives a row a bucket (``le`` is its upper bound, counted from
        the smallest on), and rows for its sum and count.
        """
        data = self._reader.get_metrics_data()
        if data is None:
            return []
        values = [
            value
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
            for point in metric.data.data_points
            for value in _point_values(metric.name, point)
        ]
        return sorted(values, key=lambda value: (value.name, value.attributes))

    def sum_by_attribute(self, name: str, attribute: str) -> dict[str, int]:
        """Return the values of counter ``name`` summed by one attribute."""
        totals: dict[str, int] = {}
        for value in self.read():
            if value.name != name:
                continue
            key = dict(value.attributes).get(attribute, "")
            totals[key] = totals.get(key, 0) + int(value.value)
        return totals

    def render_text(self) -> str:
        """Return the counters in the text exposition form."""
        lines = []
        for value in self.read():
            labels = ",".join(f'{key}="{text}"' for key, text in value.attributes)
            name = value.name.replace(".", "_")
            lines.append(f"{name}{{{labels}}} {value.value:g}")
        return "\n".join(lines) + "\n"

    def shutdown(self) -> None:
        """Release the metric provider."""
        self._provider.shutdown()


def _point_values(name: str, point: object) -> list[CounterValue]:
    if isinstance(point, NumberDataPoint):
        return [CounterValue(name, _labels(point.attributes), point.value)]
    if not isinstance(point, HistogramDataPoint):
        return []
    values = []
    total = 0
    bounds = [f"{bound:g}" for bound in point.explicit_bounds]
    for bound, count in zip([*bounds, "+Inf"], point.bucket_counts, strict=True):
        total += count
        labels = _labels({**(point.attributes or {}), "le": bound})
        values.append(CounterValue(f"{name}.bucket", labels, total))
    labels = _labels(point.attributes)
    values.append(CounterValue(f"{name}.sum", labels, point.sum))
    values.append(CounterValue(f"{name}.count", labels, point.count))
    return values


def _labels(attributes: Mapping[str, Any] | None) -> tuple[tuple[str, str], ...]:
    return tuple(sorted((key, str(value)) for key, value in (attributes or {}).items()))


class _DroppingHandler(logging.handlers.QueueHandler):
    """Queues records for a writing thread; drops them while the queue is full."""

    dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            return
        if self.dropped:
            self._report_dropped()

    def _report_dropped(self) -> None:
        fields = {"name": __name__, "level": logging.WARNING, "args": ()}
        fields["msg"] = f"{self.dropped} log lines dropped: the log's reader is slow"
        try:
            self.queue.put_nowait(logging.makeLogRecord(fields))
        except queue.Full:
            return
        self.dropped = 0


def configure_logging(
    level: str = "INFO", *, stream: TextIO = sys.stderr
) -> logging.handlers.QueueListener:
    """Write JSON logs, one object a line, to ``stream``.

    A thread of its own writes them, so a reader of the log that stands still
    costs log lines and never a call.
    """
    writer = logging.StreamHandler(stream)
    writer.setFormatter(JsonFormatter(LOG_FIELDS))
    records: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_RECORDS)
    listener = logging.handlers.QueueListener(records, writer)
    listener.start()
    root = logging.getLogger()
    root.handlers[:] = [_DroppingHandler(records)]
    root.setLevel(level)
    return listener


def read_rss_bytes() -> int:
    """Return this process's resident memory in bytes, 0 where unknown."""
    try:
        with open("/proc/self/statm") as statm:
            return int(statm.read().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
