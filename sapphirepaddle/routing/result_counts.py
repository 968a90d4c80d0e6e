"""Counts of good, bad and slow results over a sliding window."""

import collections
import dataclasses
import typing

WINDOW_SLICES: typing.Final = 6


@dataclasses.dataclass(slots=True)
class ResultCounts:
    """Numbers of good, bad and slow results.

    Attributes:
        good: Good results within the slow threshold.
        bad: Errors, stalls and broken answers.
        slow: Complete answers that exceeded the slow threshold.
    """

    good: int = 0
    bad: int = 0
    slow: int = 0

    @property
    def total(self) -> int:
        """Return the number of results."""
        return self.good + self.bad + self.slow

    @property
    def suspect(self) -> int:
        """Return the number of results that are evidence of a fault."""
        return self.bad + self.slow

    @property
    def suspect_share(self) -> float:
        """Return the share of suspect results; 0 if there are none."""
        return self.suspect / self.total if self.total else 0

    def add(self, other: 'ResultCounts') -> None:
        """Add other counts to these."""
        self.good += other.good
        self.bad += other.bad
        self.slow += other.slow


@dataclasses.dataclass(slots=True)
class WindowSlice:
    """The counts of one slice of time.

    Attributes:
        index: Number of the slice, counted from the zero of the clock.
        counts: Results within the slice.
    """

    index: int
    counts: ResultCounts


class SlidingWindow:
    """Counts over a sliding window of time.

    Attributes:
        slice_seconds: Length of one slice.
        slices: Slices in the window, oldest first.
    """

    def __init__(self, seconds: float) -> None:
        """Initialize an empty window of a length in seconds."""
        self.slice_seconds = seconds / WINDOW_SLICES
        self.slices: collections.deque[WindowSlice] = collections.deque(
            maxlen=WINDOW_SLICES,
        )

    def add(self, now: float, counts: ResultCounts) -> None:
        """Add counts at this time."""
        index = int(now / self.slice_seconds)
        if not self.slices or self.slices[-1].index != index:
            self.slices.append(WindowSlice(index, ResultCounts()))
        self.slices[-1].counts.add(counts)

    def sum(self, now: float, slices: int = WINDOW_SLICES) -> ResultCounts:
        """Return the counts of the window that ends at this time.

        Args:
            now: Seconds on the monotonic clock.
            slices: Number of the latest slices to include.
        """
        last_expired_index = int(now / self.slice_seconds) - slices
        total = ResultCounts()
        for window_slice in self.slices:
            if window_slice.index > last_expired_index:
                total.add(window_slice.counts)
        return total

    def clear(self) -> None:
        """Remove all counts."""
        self.slices.clear()
