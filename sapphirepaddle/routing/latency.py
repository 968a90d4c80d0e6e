"""The usual latency of a service as one daemon sees it."""

import collections
import statistics
import typing

MAX_SAMPLES: typing.Final = 64
REFRESH_SAMPLES: typing.Final = 8


class Baseline:
    """Median of the latest answer times over all targets of a service.

    One slow target among several does not move the median, an overload of
    the whole service does: so overload is not taken for a fault.

    Attributes:
        samples: The latest answer times in seconds.
        median: Their median at the last refresh, in seconds.
        fresh: Answers since the last refresh.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self.samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES,
        )
        self.median: float = 0
        self.unrefreshed_samples = 0

    def add(self, seconds: float) -> None:
        """Add one answer time."""
        self.samples.append(seconds)
        self.unrefreshed_samples += 1
        if (
            self.unrefreshed_samples >= REFRESH_SAMPLES
            or len(self.samples) < REFRESH_SAMPLES
        ):
            self.median = statistics.median(self.samples)
            self.unrefreshed_samples = 0

    def slow_threshold(self, factor: float, least_seconds: float) -> float:
        """Return the time from which an answer is slow, in seconds."""
        return max(self.median * factor, least_seconds)
