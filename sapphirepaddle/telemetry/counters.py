"""Totals of a daemon: counters and latency histograms."""

import bisect
import collections
import typing

BUCKET_BOUNDS_SECONDS: typing.Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
"""Upper bounds of the buckets of a histogram, in seconds; Prometheus'
usual ones."""


class Histogram:
    """Counts of observations by size.

    Attributes:
        counts: Observations by bucket; the last one has no upper bound.
        total: Sum of the observations.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.counts = [0 for _ in range(len(BUCKET_BOUNDS_SECONDS) + 1)]
        self.total: float = 0

    def add(self, seconds: float) -> None:
        """Add one observation."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total += seconds


class Counters:
    """Plain numbers that a scrape turns into metrics.

    The request path only adds to a dictionary; OpenTelemetry reads it when
    metrics are scraped.

    Attributes:
        totals: Totals by metric name and label.
        histograms: Histograms of times by metric name.
    """

    def __init__(self) -> None:
        """Start with no totals."""
        self.totals: dict[str, collections.Counter[str]] = {}
        self.histograms: dict[str, Histogram] = {}

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

    def observe(self, name: str, seconds: float) -> None:
        """Add a time to a histogram."""
        held = self.histograms.get(name)
        if held is None:
            held = Histogram()
            self.histograms[name] = held
        held.add(seconds)
