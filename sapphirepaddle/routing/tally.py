"""Counts of good and bad results over a sliding window."""

import collections
import dataclasses
import typing

BUCKETS: typing.Final = 6


@dataclasses.dataclass(slots=True)
class Tally:
    """Good and bad results.

    Attributes:
        good: Good results.
        bad: Bad results.
    """

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """Return the number of results."""
        return self.good + self.bad

    @property
    def share(self) -> float:
        """Return the share of bad results; 0 if there are none."""
        return self.bad / self.total if self.total else 0

    def add(self, other: 'Tally') -> None:
        """Add the counts of another tally."""
        self.good += other.good
        self.bad += other.bad


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

    def sum(self, now: float) -> Tally:
        """Return the counts of the window that ends at this time."""
        oldest = int(now / self.slice_seconds) - BUCKETS
        total = Tally()
        for bucket in self.buckets:
            if bucket.index > oldest:
                total.add(bucket.tally)
        return total

    def clear(self) -> None:
        """Forget all counts."""
        self.buckets.clear()
