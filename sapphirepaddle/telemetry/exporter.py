"""Export of totals by OpenTelemetry and in Prometheus' text format."""

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
    """Renders histograms at a scrape.

    Attributes:
        counters: Where they are.
    """

    def __init__(self, totals: counters.Counters) -> None:
        """Store the totals."""
        self.counters = totals

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Return the histograms as the client library renders them."""
        for name, held in self.counters.histograms.items():
            bounds = [*map(str, counters.BUCKET_BOUNDS_SECONDS), '+Inf']
            sums = itertools.accumulate(held.counts)
            yield metrics_core.HistogramMetricFamily(
                f'{METRIC_PREFIX}_{name}',
                f'Histogram of {name}',
                buckets=list(zip(bounds, sums, strict=True)),
                sum_value=held.total,
            )


class Exporter:
    """Exports counters and gauges for a scrape.

    Attributes:
        counters: The totals to export.
        registry: Registry that the scrape endpoint renders.
        provider: OpenTelemetry's provider of meters.
        meter: The meter of this daemon.
        known: Names of counters exported so far.
    """

    def __init__(self, totals: counters.Counters) -> None:
        """Create the provider with a reader for scrapes."""
        self.counters = totals
        self.registry = prometheus_client.CollectorRegistry()
        self.registry.register(HistogramCollector(totals))
        reader = prometheus.PrometheusMetricReader(registry=self.registry)
        self.provider = sdk.MeterProvider(metric_readers=[reader])
        self.meter = self.provider.get_meter(METRIC_PREFIX)
        self.exported_names: set[str] = set()

    def add_gauge(self, name: str, read: GaugeReader) -> None:
        """Export the values that a function returns by label."""
        self.meter.create_observable_gauge(
            f'{METRIC_PREFIX}_{name}',
            callbacks=[lambda _options: to_observations(read())],
        )

    def render(self) -> bytes:
        """Return all metrics in the text format of a scrape."""
        for name in self.counters.totals.keys() - self.exported_names:
            self.export_counter(name)
        return prometheus_client.generate_latest(self.registry)

    def export_counter(self, name: str) -> None:
        """Export one counter from now on."""
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
    """Turn totals by label into observations."""
    return [
        metrics.Observation(total, {'label': label} if label else {})
        for label, total in totals.items()
    ]
