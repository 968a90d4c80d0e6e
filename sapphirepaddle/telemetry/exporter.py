"""Export of metrics by OpenTelemetry in the Prometheus text format."""

import itertools
import typing
from collections import abc

import prometheus_client
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from prometheus_client import metrics_core

from sapphirepaddle.telemetry import counters

METRIC_PREFIX: typing.Final = 'paddle'

Observations = abc.Iterable[metrics.Observation]
GaugeReader = abc.Callable[[], abc.Mapping[str, float]]


class HistogramCollector:
    """Prometheus collector of the latency histograms.

    Attributes:
        counters: Counters that hold the histograms.
    """

    def __init__(self, totals: counters.Counters) -> None:
        """Initialize with the counters to collect from."""
        self.counters = totals

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Return the histograms as metrics with cumulative buckets."""
        for name, histogram in self.counters.histograms.items():
            bounds = [*map(str, counters.BUCKET_BOUNDS_SECONDS), '+Inf']
            cumulative_counts = itertools.accumulate(histogram.counts)
            yield metrics_core.HistogramMetricFamily(
                f'{METRIC_PREFIX}_{name}',
                f'Histogram of {name}',
                buckets=list(zip(bounds, cumulative_counts, strict=True)),
                sum_value=histogram.sum_seconds,
            )


class Exporter:
    """Exports counters and gauges for a scrape.

    Attributes:
        counters: Counters and histograms to export.
        registry: Registry that the scrape endpoint renders.
        provider: OpenTelemetry meter provider.
        meter: Meter of this daemon.
        exported_names: Names of the counters that are already exported.
    """

    def __init__(self, totals: counters.Counters) -> None:
        """Create a meter provider that exports into a Prometheus registry."""
        self.counters = totals
        self.registry = prometheus_client.CollectorRegistry()
        self.registry.register(HistogramCollector(totals))
        reader = prometheus.PrometheusMetricReader(registry=self.registry)
        self.provider = sdk.MeterProvider(metric_readers=[reader])
        self.meter = self.provider.get_meter(METRIC_PREFIX)
        self.exported_names: set[str] = set()

    def add_gauge(self, name: str, read: GaugeReader) -> None:
        """Export a gauge.

        Args:
            name: Name of the metric, without the prefix.
            read: Returns the current values by label.
        """
        self.meter.create_observable_gauge(
            f'{METRIC_PREFIX}_{name}',
            callbacks=[lambda _options: to_observations(read())],
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for name in self.counters.totals.keys() - self.exported_names:
            self.export_counter(name)
        return prometheus_client.generate_latest(self.registry)

    def export_counter(self, name: str) -> None:
        """Register a counter for export."""
        self.exported_names.add(name)
        self.meter.create_observable_counter(
            f'{METRIC_PREFIX}_{name}',
            callbacks=[
                lambda _options: to_observations(self.counters.totals[name]),
            ],
        )


def to_observations(
    totals: abc.Mapping[str, float],
) -> list[metrics.Observation]:
    """Convert values by label into observations."""
    return [
        metrics.Observation(total, {'label': label} if label else {})
        for label, total in totals.items()
    ]
