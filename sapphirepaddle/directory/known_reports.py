"""Last reports of targets, which a returned source may not have."""

import dataclasses
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import registration, source_era

RENEWAL_SECONDS: typing.Final = 10.0
"""Time after which an entry that is still listed has been renewed by its
target: the source removes it after three ping intervals without a report."""
MAX_REMOVED: typing.Final = 1000
"""Maximum number of removed targets that are remembered."""


@dataclasses.dataclass(slots=True)
class KnownReport:
    """What was last known of a target.

    Attributes:
        era: Era of the source in which it was learned.
        age_rank: Start time of the target and number of its report.
        is_removed: Whether its entry was removed since.
        is_rank_read: Whether its report was read in a later era.
    """

    era: int
    age_rank: tuple[int, int]
    is_removed: bool = False
    is_rank_read: bool = False

    def is_newer_than(self, age_rank: tuple[int, int]) -> bool:
        """Return whether this is newer than a report of a later era.

        The last report of a removed target is not known: an entry changes
        without notice if only the number of the report does. So its first
        report of a later era may be the one that the source returned with.
        """
        if not self.is_removed:
            return age_rank < self.age_rank
        incarnation = self.age_rank[0]
        if incarnation == age_rank[0] and not self.is_rank_read:
            return True
        return age_rank <= self.age_rank


class KnownReports:
    """Tells which entries of a returned source are older than what is known.

    Within an era the source is right, whatever it lists. After it returned
    from an older copy, an entry counts only if it is no older than the last
    report that was read before. The entry of a target that was removed before
    the return counts once it shows another report or has been renewed.

    Attributes:
        era: Newest known era of the source.
        reports: Last report, by target name.
        removed_names: Names of removed targets, the oldest removal first.
        ignored_count: Number of entries found to be older.
    """

    def __init__(self, era: source_era.SourceEra) -> None:
        """Initialize without reports."""
        self.era = era
        self.reports: dict[str, KnownReport] = {}
        self.removed_names: dict[str, None] = {}
        self.ignored_count = 0

    def is_outdated(self, target: registration.Registration) -> bool:
        """Return whether an entry is older than what is known of its target."""
        known = self.reports.get(target.name)
        if known is None or not self.era.has_ended(known.era):
            return False
        is_renewed = known.is_removed and (
            clock.monotonic() >= self.era.returned_at + RENEWAL_SECONDS
        )
        return known.is_newer_than(target.age_rank) and not is_renewed

    def record_ignored(self, target: registration.Registration) -> None:
        """Record that an entry was found to be older."""
        self.ignored_count += 1
        known = self.reports[target.name]
        known.is_rank_read = True
        known.age_rank = max(known.age_rank, target.age_rank)

    def record(self, target: registration.Registration) -> None:
        """Record an entry that was applied."""
        self.removed_names.pop(target.name, None)
        self.reports[target.name] = KnownReport(
            self.era.number, target.age_rank
        )

    def record_removed(self, names: abc.Iterable[str]) -> None:
        """Record that entries are gone."""
        for name in names:
            known = self.reports.get(name)
            if known is None:
                continue
            known.is_removed = True
            known.era = self.era.number
            self.removed_names.setdefault(name)
        while len(self.removed_names) > MAX_REMOVED:
            oldest_name = next(iter(self.removed_names))
            self.removed_names.pop(oldest_name)
            self.reports.pop(oldest_name)
