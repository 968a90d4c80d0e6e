"""Counts of good and bad results over a sliding window."""

import collections
import dataclasses
import typing

BUCKETS: typing.Final = 6


@dataclasses.dataclass(slots=True)
class Tally:
    """Good, slow and bad results.

    Attributes:
        good: Good results.
        bad: Errors, stalls and broken answers.
        slow: Whole answers that came late.
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
        """Return the results that speak for a fault."""
        return self.bad + self.slow

    @property
    def share(self) -> float:
        """Return the share of suspect results; 0 if there are none."""
        return self.suspect / self.total if self.total else 0

    def add(self, other: 'Tally') -> None:
        """Add the counts of another tally."""
        self.good += other.good
        self.bad += other.bad
        self.slow += other.slow


@dataclasses.dataclass(slots=True)
class Bucket:
    """The counts of one slice of time.

    Attributes:
        index: Number of the slice since the clock's zero.
        tally: The counts.
    """

    index: int
    tally: Tally


class Window:
    """Counts over a sliding window of time.

    Attributes:
        slice_seconds: Length of one slice.
        buckets: Slices in the window, oldest first.
    """

    def __init__(self, seconds: float) -> None:
        """Start empty."""
        self.slice_seconds = seconds / BUCKETS
        self.buckets: collections.deque[Bucket] = collections.deque(
            maxlen=BUCKETS,
        )

    def add(self, now: float, counts: Tally) -> None:
        """Add counts at this time."""
        index = int(now / self.slice_seconds)
        if not self.buckets or self.buckets[-1].index != index:
            self.buckets.append(Bucket(index, Tally()))
        self.buckets[-1].tally.add(counts)

    def sum(self, now: float, slices: int = BUCKETS) -> Tally:
        """Return the counts of the window that ends at this time.

        Args:
            now: Seconds on the monotonic clock.
            slices: Latest slices that count.
        """
        oldest = int(now / self.slice_seconds) - slices
        total = Tally()
        for bucket in self.buckets:
            if bucket.index > oldest:
                total.add(bucket.tally)
        return total

    def clear(self) -> None:
        """Forget all counts."""
        self.buckets.clear()
