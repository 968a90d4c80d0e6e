"""Counters and latency histograms of a daemon."""

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
"""Upper bounds of the histogram buckets; the defaults of Prometheus clients."""


class Histogram:
    """Counts of observed times by bucket.

    Attributes:
        counts: Number of observations by bucket; the last bucket has no upper
            bound.
        sum_seconds: Sum of the observations.
    """

    def __init__(self) -> None:
        """Initialize without observations."""
        self.counts = [0 for _ in range(len(BUCKET_BOUNDS_SECONDS) + 1)]
        self.sum_seconds: float = 0

    def add(self, seconds: float) -> None:
        """Add one observation."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.sum_seconds += seconds


class Counters:
    """Counters and histograms that are exported when metrics are scraped.

    Serving a request only updates dictionaries; OpenTelemetry reads them at a
    scrape.

    Attributes:
        totals: Counter values by metric name and label.
        histograms: Latency histograms by metric name.
    """

    def __init__(self) -> None:
        """Initialize without metrics."""
        self.totals: dict[str, collections.Counter[str]] = {}
        self.histograms: dict[str, Histogram] = {}

    def add(self, name: str, label: str = '', amount: float = 1) -> None:
        """Add an amount to a counter under a label."""
        label_totals = self.totals.get(name)
        if label_totals is None:
            label_totals = collections.Counter()
            self.totals[name] = label_totals
        label_totals[label] += amount  # type: ignore[assignment]

    def total(self, name: str) -> float:
        """Return the sum of a counter over all labels; 0 if unknown."""
        return sum(self.totals.get(name, {}).values())

    def observe(self, name: str, seconds: float) -> None:
        """Add a time in seconds to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = Histogram()
            self.histograms[name] = histogram
        histogram.add(seconds)
