"""Counters of a daemon, exported by OpenTelemetry."""

import collections
import typing
from collections import abc

import prometheus_client
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk

PREFIX: typing.Final = 'paddle'

Observations = abc.Iterable[metrics.Observation]
Callback = abc.Callable[[], abc.Mapping[str, float]]


class Counters:
    """Plain numbers that a scrape turns into metrics.

    The request path only adds to a dictionary; OpenTelemetry reads it when
    metrics are scraped.

    Attributes:
        totals: Totals by metric name and label.
    """

    def __init__(self) -> None:
        """Start with no totals."""
        self.totals: dict[str, collections.Counter[str]] = {}

    def add(self, name: str, label: str = '', amount: float = 1) -> None:
        """Add to the total of a metric under a label."""
        total = self.totals.get(name)
        if total is None:
            total = collections.Counter()
            self.totals[name] = total
        total[label] += amount  # type: ignore[assignment]

    def total(self, name: str) -> float:
        """Return the total of a metric over all labels."""
        return sum(self.totals.get(name, {}).values())


class Exporter:
    """Exports counters and gauges for a scrape.

    Attributes:
        counters: The totals to export.
        registry: Registry that the scrape endpoint renders.
        provider: OpenTelemetry's provider of meters.
        meter: The meter of this daemon.
        known: Names of counters exported so far.
    """

    def __init__(self, counters: Counters) -> None:
        """Create the provider with a reader for scrapes."""
        self.counters = counters
        self.registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self.registry)
        self.provider = sdk.MeterProvider(metric_readers=[reader])
        self.meter = self.provider.get_meter(PREFIX)
        self.known: set[str] = set()

    def gauge(self, name: str, read: Callback) -> None:
        """Export the values that a function returns by label."""
        self.meter.create_observable_gauge(
            f'{PREFIX}_{name}',
            callbacks=[lambda _options: observe(read())],
        )

    def render(self) -> bytes:
        """Return all metrics in the text format of a scrape."""
        for name in self.counters.totals.keys() - self.known:
            self.export(name)
        return prometheus_client.generate_latest(self.registry)

    def export(self, name: str) -> None:
        """Export one counter from now on."""
        self.known.add(name)
        self.meter.create_observable_counter(
            f'{PREFIX}_{name}',
            callbacks=[
                lambda _options: observe(self.counters.totals[name]),
            ],
        )


def observe(totals: abc.Mapping[str, float]) -> list[metrics.Observation]:
    """Turn totals by label into observations."""
    return [
        metrics.Observation(total, {'label': label} if label else {})
        for label, total in totals.items()
    ]
