"""Baseline latency of a service as measured by one daemon."""

import collections
import statistics
import typing

MAX_SAMPLES: typing.Final = 64
REFRESH_SAMPLES: typing.Final = 8
"""Number of answers after which the median is computed again."""


class Baseline:
    """Median of the latest answer times over all targets of a service.

    One slow target among several does not move the median, but an overload
    of the whole service does. Overload is therefore not mistaken for a fault
    of a target.

    Attributes:
        samples: The latest answer times in seconds.
        median: Their median at the last refresh, in seconds.
        unrefreshed_samples: Answers since the last refresh of the median.
    """

    def __init__(self) -> None:
        """Initialize a baseline without samples."""
        self.samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES,
        )
        self.median: float = 0
        self.unrefreshed_samples = 0

    def add(self, seconds: float) -> None:
        """Add one answer time, in seconds."""
        self.samples.append(seconds)
        self.unrefreshed_samples += 1
        if (
            self.unrefreshed_samples >= REFRESH_SAMPLES
            or len(self.samples) < REFRESH_SAMPLES
        ):
            self.median = statistics.median(self.samples)
            self.unrefreshed_samples = 0

    def slow_threshold(self, factor: float, min_seconds: float) -> float:
        """Return the time above which an answer is slow, in seconds."""
        return max(self.median * factor, min_seconds)
