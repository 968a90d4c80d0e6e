"""Whether the targets that a daemon knows are as new as those of readers."""

import collections
import dataclasses
import math
import typing
from collections import abc

from sapphirepaddle import clock

AHEAD_SECONDS: typing.Final = 2.0
"""Time for which a former local fingerprint counts as an older state. A reader
reports at least once per second, possibly delayed by a hub. It is limited
because a later change may restore the same state."""


@dataclasses.dataclass(slots=True)
class ReaderComparison:
    """What the comparison with one reader has shown.

    Attributes:
        unmatched_since: Monotonic time since which the reader has reported
            targets that this daemon does not know; None if it knows them.
        matched_at: Monotonic time of the last check at which it knew them;
            -inf if it never did.
        last_equal: The last fingerprint that was equal on both.
    """

    unmatched_since: float | None = None
    matched_at: float = -math.inf
    last_equal: int = 0


class TargetFreshness:
    """Compares the local targets with those that readers report.

    Two daemons read changes at slightly different times, so that their
    fingerprints seldom agree at the same moment while changes come in quick
    succession. A report that equals an earlier local state is older; one that
    equals none shows that the daemon is behind, or has missed a change.

    Attributes:
        current: The local fingerprint.
        replaced_at: Monotonic time at which each former fingerprint was
            replaced, oldest first.
        comparisons: Results of the comparison, by reader.
    """

    def __init__(self) -> None:
        """Initialize before anything was compared."""
        self.current = 0
        self.replaced_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.comparisons: dict[int, ReaderComparison] = {}

    def record_local(self, fingerprint: int) -> None:
        """Record the fingerprint of the local targets after a change."""
        if fingerprint == self.current:
            return
        now = clock.monotonic()
        self.replaced_at.pop(fingerprint, None)
        self.replaced_at[self.current] = now
        self.replaced_at.move_to_end(self.current)
        self.current = fingerprint
        while next(iter(self.replaced_at.values())) < now - AHEAD_SECONDS:
            self.replaced_at.popitem(last=False)

    def compare(self, fingerprints: abc.Mapping[int, int]) -> None:
        """Compare the local targets with those of the readers.

        Args:
            fingerprints: Fingerprint that each reader reported last, by
                reader; 0 if it reported none.
        """
        now = clock.monotonic()
        self.comparisons = {
            reader: self.comparisons.get(reader, ReaderComparison())
            for reader in fingerprints
        }
        for reader, comparison in self.comparisons.items():
            fingerprint = fingerprints[reader]
            if not fingerprint:
                continue
            if fingerprint == self.current:
                comparison.last_equal = fingerprint
            if self.is_known(fingerprint, comparison, now):
                comparison.unmatched_since = None
                comparison.matched_at = now
            elif comparison.unmatched_since is None:
                comparison.unmatched_since = now

    def is_known(
        self, fingerprint: int, comparison: ReaderComparison, now: float
    ) -> bool:
        """Return whether this daemon knows all that a reader reports.

        A reader that had the current local state and reports another one has
        read a change since, even if that restores an earlier state.
        """
        if fingerprint == self.current:
            return True
        if comparison.last_equal == self.current:
            return False
        replaced_at = self.replaced_at.get(fingerprint, -math.inf)
        return now - replaced_at <= AHEAD_SECONDS

    def unmatched_seconds(self, reader: int) -> float:
        """Return for how long a reader has reported unknown targets."""
        comparison = self.comparisons.get(reader)
        if comparison is None or comparison.unmatched_since is None:
            return 0
        return clock.monotonic() - comparison.unmatched_since

    def missing_seconds(self) -> float:
        """Return for how long one of the readers has reported others.

        It is 0 while the targets of any reader are known, and if none is
        compared.
        """
        seconds = list(map(self.unmatched_seconds, self.comparisons))
        return max(seconds) if seconds and all(seconds) else 0

    def has_unmatched(self) -> bool:
        """Return whether a reader has reported targets that are not known."""
        return any(map(self.unmatched_seconds, self.comparisons))

    def age_seconds(self) -> float:
        """Return the time since the targets were last as new as a reader's.

        It is infinite before the first such check.
        """
        matched_at = max(
            (comparison.matched_at for comparison in self.comparisons.values()),
            default=-math.inf,
        )
        return clock.monotonic() - matched_at
