"""Synchronization of the directory with the targets that the source lists."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import (
    directory,
    fingerprint,
    known_reports,
    registration,
    source,
    source_era,
)
from sapphirepaddle.telemetry import logs

REREGISTRATION_GRACE_SECONDS: typing.Final = 2.3
"""Time that targets have to register again after the source has recovered, if
their entries expired during the outage; operators promise about two seconds."""

PENDING_CHECK_SECONDS: typing.Final = 0.2
"""Interval between checks whether the grace period is over: peers may report an
earlier return of the source meanwhile."""

TargetDecoder = abc.Callable[[str, source.Content], registration.Registration]


class TargetList:
    """Keeps the targets of the directory as the source lists them.

    An entry may expire during an outage of the source because its target could
    not renew it. Such a target is kept for a grace period after the recovery,
    in which it can register again. The same holds for an entry that the source
    has lost because it returned from an older copy, and an entry of such a copy
    does not revert what was read before.

    Attributes:
        directory: Directory whose targets are updated.
        decode: Decodes an entry; raises ValueError for one that describes no
            target.
        read_returned_at: Returns the monotonic time at which the source
            returned from an outage; -inf if there was none, inf while it is
            away.
        pending_removals: Names of the targets whose entries are gone and may
            return.
        pending_check: Timer of the next check; None if nothing is pending.
        deferred_count: Number of removals deferred since the start.
        fingerprint: Hash of the listed registrations.
        known_reports: Tells which entries are older than what was read.
        ignored_entries: Listed registrations of targets that were removed, by
            target.
        logger: Logger for malformed entries and deferred removals.
    """

    def __init__(
        self,
        target_directory: directory.Directory,
        decode: TargetDecoder,
        read_returned_at: abc.Callable[[], float],
        era: source_era.SourceEra | None = None,
    ) -> None:
        """Initialize without targets."""
        self.directory = target_directory
        self.decode = decode
        self.read_returned_at = read_returned_at
        self.pending_removals: set[str] = set()
        self.pending_check: asyncio.TimerHandle | None = None
        self.deferred_count = 0
        self.fingerprint = fingerprint.Fingerprint()
        self.known_reports = known_reports.KnownReports(
            era or source_era.SourceEra()
        )
        self.ignored_entries: dict[str, registration.Registration] = {}
        self.logger = logs.get_logger('targets')

    def apply_all(self, entries: list[source.Entry]) -> None:
        """Apply a full list and remove the targets that it does not contain."""
        self.apply_changes(entries)
        listed_names = {entry.name for entry in entries}
        for name in self.fingerprint.hashes.keys() - listed_names:
            self.fingerprint.remove(name)
        for name in self.directory.target_names() - listed_names:
            self.remove_or_defer(name)
        self.directory.has_targets = True

    def differences(self, entries: list[source.Entry]) -> list[source.Entry]:
        """Return the changes that turn the listed state into a full list."""
        listed_names = {entry.name for entry in entries}
        removals = [
            source.Entry(name, None)
            for name in self.fingerprint.hashes.keys() - listed_names
        ]
        return removals + list(filter(self.is_changed, entries))

    def is_changed(self, entry: source.Entry) -> bool:
        """Return whether an entry differs from the listed registration.

        The fingerprint does not cover all of it, such as the warm-up.
        """
        try:
            listed = self.decode(entry.name, entry.content or {})
        except ValueError:
            return entry.name in self.fingerprint.hashes
        known = self.directory.find_target(entry.name)
        if known is not None and known.registration != listed:
            return True
        listed_hash = self.fingerprint.hashes.get(entry.name)
        return listed_hash != fingerprint.hash_registration(listed)

    def apply_changes(self, entries: list[source.Entry]) -> None:
        """Apply changed and removed entries."""
        for entry in entries:
            if entry.content is None:
                self.remove_or_defer(entry.name)
            else:
                self.apply_entry(entry.name, entry.content)

    def apply_entry(self, name: str, content: source.Content) -> None:
        """Apply one entry; the target of a malformed one is removed."""
        try:
            target_registration = self.decode(name, content)
        except ValueError as error:
            self.logger.warning(
                'entry malformed',
                target=name,
                reason=str(error),
            )
            self.fingerprint.remove(name)
            self.directory.remove_target(name, 'malformed entry')
            return
        self.fingerprint.update(target_registration)
        self.pending_removals.discard(name)
        if self.known_reports.is_outdated(target_registration):
            self.ignore_entry(target_registration)
            return
        self.ignored_entries.pop(name, None)
        self.known_reports.record(target_registration)
        self.directory.update_target(target_registration)

    def ignore_entry(self, target: registration.Registration) -> None:
        """Keep what is known of a target against an older entry."""
        is_in_use = self.directory.find_target(target.name) is not None
        self.logger.info(
            'entry older than what is known',
            target=target.name,
            incarnation=target.incarnation,
            sequence=target.sequence,
            draining=target.is_draining,
            is_in_use=is_in_use,
        )
        self.known_reports.record_ignored(target)
        if not is_in_use:
            self.ignored_entries[target.name] = target
            self.schedule_check()

    def apply_renewed(self) -> None:
        """Apply entries that were ignored and are still listed later."""
        for target in list(self.ignored_entries.values()):
            if not self.known_reports.is_outdated(target):
                self.ignored_entries.pop(target.name)
                self.known_reports.record(target)
                self.directory.update_target(target)

    def remove_or_defer(self, name: str) -> None:
        """Remove a target whose entry is gone.

        Within the grace period after an outage, the removal is deferred to
        its end.
        """
        self.fingerprint.remove(name)
        self.ignored_entries.pop(name, None)
        grace_seconds = self.remaining_grace_seconds()
        if grace_seconds <= 0:
            self.known_reports.record_removed((name,))
            self.directory.remove_target(name, 'entry removed')
            return
        if name not in self.pending_removals:
            self.deferred_count += 1
            self.logger.info(
                'target removal deferred',
                target=name,
                seconds=round(grace_seconds, 2),
            )
        self.pending_removals.add(name)
        self.schedule_check()

    def remaining_grace_seconds(self) -> float:
        """Return the seconds until missing entries count as gone for good."""
        returned_at = max(
            self.read_returned_at(), self.known_reports.era.returned_at
        )
        grace_ends_at = returned_at + REREGISTRATION_GRACE_SECONDS
        return grace_ends_at - clock.monotonic()

    def schedule_check(self) -> None:
        """Schedule a check of the pending removals unless one is."""
        if self.pending_check is None:
            self.pending_check = asyncio.get_running_loop().call_later(
                PENDING_CHECK_SECONDS, self.check_pending
            )

    def check_pending(self) -> None:
        """Check the pending removals, and again later while any is left."""
        self.pending_check = None
        self.remove_expired()
        self.apply_renewed()
        if self.pending_removals or self.ignored_entries:
            self.schedule_check()

    def remove_expired(self) -> None:
        """Remove the targets that did not register again in time."""
        if self.remaining_grace_seconds() > 0:
            return
        self.known_reports.record_removed(self.pending_removals)
        for name in self.pending_removals:
            self.directory.remove_target(
                name, 'not registered again after an outage'
            )
        self.pending_removals.clear()
