"""Metrics through OpenTelemetry, JSON logs, and the memory of the process."""

import logging
import logging.handlers
import queue
import sys
import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TextIO, final

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from opentelemetry.metrics import Counter, Histogram, Meter
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.metrics.export import InMemoryMetricReader

PAGE_BYTES = 4096
MAX_QUEUED_RECORDS = 5000
# Upper bounds of the buckets of histograms, which all hold latencies, in seconds.
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
class MetricSample:
    """The current value of a counter, or of one part of a histogram."""

    name: str
    attributes: tuple[tuple[str, str], ...]
    value: float


@final
class Telemetry:
    """The metrics of one process; its methods may be called on any thread.

    A metric is created when it is first counted or recorded. Attributes become
    labels.
    """

    def __init__(self, process_name: str):
        self._process_name = process_name
        self._reader: InMemoryMetricReader | None = None
        self._provider: MeterProvider | None = None
        self._meter: Meter | None = None
        self._lock = threading.Lock()
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}

    def prepare(self) -> None:
        """Load the metrics SDK now, which the first metric does otherwise.

        That takes 1.6 MB, which a process without any metric saves.
        """
        with self._lock:
            self._open_meter()

    def count(self, name: str, amount: float = 1, **attributes: str) -> None:
        """Increase the counter ``name`` with these attributes by ``amount``."""
        with self._lock:
            counter = self._counters.get(name)
            if counter is None:
                counter = self._open_meter().create_counter(name)
                self._counters[name] = counter
        counter.add(amount, attributes)

    def record(self, name: str, value: float, **attributes: str) -> None:
        """Add ``value`` in seconds to the histogram ``name`` with these attributes."""
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = self._open_meter().create_histogram(
                    name, explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S
                )
                self._histograms[name] = histogram
        histogram.record(value, attributes)

    def _open_meter(self) -> "Meter":
        if self._meter is not None:
            return self._meter
        from opentelemetry.sdk.metrics import MeterProvider  # noqa: PLC0415
        from opentelemetry.sdk.metrics.export import (  # noqa: PLC0415
            InMemoryMetricReader,
        )
        from opentelemetry.sdk.resources import Resource  # noqa: PLC0415

        self._reader = InMemoryMetricReader()
        # No sample shows the resource, and its detection would start a thread.
        self._provider = MeterProvider(
            metric_readers=[self._reader], resource=Resource.get_empty()
        )
        self._meter = self._provider.get_meter(self._process_name)
        return self._meter

    def collect_samples(self) -> list[MetricSample]:
        """Return samples of all metrics, sorted by name and attributes.

        A histogram has a sample for each bucket, which counts the values up to the
        bucket's upper bound ``le``, and one each for its sum and count.
        """
        data = self._reader.get_metrics_data() if self._reader is not None else None
        if data is None:
            return []
        samples = [
            sample
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
            for point in metric.data.data_points
            for sample in _make_samples(metric.name, point)
        ]
        return sorted(samples, key=lambda sample: (sample.name, sample.attributes))

    def sum_by_attribute(self, name: str, attribute: str) -> dict[str, int]:
        """Return the sums of the counter ``name`` by the values of ``attribute``."""
        totals: dict[str, int] = {}
        for sample in self.collect_samples():
            if sample.name != name:
                continue
            key = dict(sample.attributes).get(attribute, "")
            totals[key] = totals.get(key, 0) + int(sample.value)
        return totals

    def render_text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for sample in self.collect_samples():
            labels = ",".join(f'{key}="{text}"' for key, text in sample.attributes)
            name = sample.name.replace(".", "_")
            lines.append(f"{name}{{{labels}}} {sample.value:g}")
        return "\n".join(lines) + "\n"

    def shutdown(self) -> None:
        """Shut down the metric provider."""
        if self._provider is not None:
            self._provider.shutdown()


def _make_samples(name: str, point: object) -> list[MetricSample]:
    from opentelemetry.sdk.metrics.export import (  # noqa: PLC0415
        HistogramDataPoint,
        NumberDataPoint,
    )

    if isinstance(point, NumberDataPoint):
        return [MetricSample(name, _make_labels(point.attributes), point.value)]
    if not isinstance(point, HistogramDataPoint):
        return []
    samples = []
    cumulative_count = 0
    bounds = [f"{bound:g}" for bound in point.explicit_bounds]
    for bound, count in zip([*bounds, "+Inf"], point.bucket_counts, strict=True):
        cumulative_count += count
        labels = _make_labels({**(point.attributes or {}), "le": bound})
        samples.append(MetricSample(f"{name}.bucket", labels, cumulative_count))
    labels = _make_labels(point.attributes)
    samples.append(MetricSample(f"{name}.sum", labels, point.sum))
    samples.append(MetricSample(f"{name}.count", labels, point.count))
    return samples


def _make_labels(attributes: Mapping[str, Any] | None) -> tuple[tuple[str, str], ...]:
    return tuple(sorted((key, str(value)) for key, value in (attributes or {}).items()))


class _DroppingHandler(logging.handlers.QueueHandler):
    """Queues log records for a writer thread and drops them while the queue is full.

    The number of dropped records is logged once there is room again.
    """

    dropped_count = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped_count += 1
            return
        if self.dropped_count:
            self._report_dropped()

    def _report_dropped(self) -> None:
        fields = {"name": __name__, "level": logging.WARNING, "args": ()}
        fields["msg"] = (
            f"{self.dropped_count} log lines dropped because the log's reader is slow"
        )
        try:
            self.queue.put_nowait(logging.makeLogRecord(fields))
        except queue.Full:
            return
        self.dropped_count = 0


def configure_logging(
    level: str = "INFO", *, stream: TextIO = sys.stderr
) -> logging.handlers.QueueListener:
    """Write JSON logs to ``stream``, one object per line.

    A separate thread writes them, so that a reader of the log that stops reading
    causes lost lines but never blocks a call. Returns the listener that runs the
    thread; stopping it writes the records still queued.
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
    """Return the resident memory of this process in bytes, or 0 if unknown."""
    try:
        with open("/proc/self/statm") as statm:
            return int(statm.read().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
