"""Taking up the targets that the source lists."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import (
    directory,
    fingerprint,
    registration,
    source,
)
from sapphirepaddle.telemetry import logs

REREGISTRATION_GRACE_SECONDS: typing.Final = 2.3
"""Time after the source's return in which entries that lapsed while it was
away come back; operators promise about two seconds."""

TargetDecoder = abc.Callable[[str, source.Content], registration.Registration]


class TargetList:
    """Keeps the directory's targets as the source lists them.

    An entry that vanished while the source was away keeps its target until
    the targets had time to register again.

    Attributes:
        directory: What is kept.
        decode: Decodes an entry; raises ValueError for one that names no
            target.
        read_back_at: Returns when the source answered again, or None.
        vanished: Entries that are gone but kept, with the time of their
            end.
        fingerprint: Mark of what the source lists.
        logger: Log of entries that cannot be read.
    """

    def __init__(
        self,
        known: directory.Directory,
        decode: TargetDecoder,
        read_back_at: abc.Callable[[], float | None],
    ) -> None:
        """Start with nothing kept."""
        self.directory = known
        self.decode = decode
        self.read_recovered_at = read_back_at
        self.pending_removals: dict[str, float] = {}
        self.fingerprint = fingerprint.Fingerprint()
        self.logger = logs.get_logger('targets')

    def apply_all(self, entries: list[source.Entry]) -> None:
        """Take up a whole list."""
        self.apply_changes(entries)
        listed = {entry.name for entry in entries}
        for name in self.fingerprint.hashes.keys() - listed:
            self.fingerprint.remove(name)
        for name in self.directory.target_names() - listed:
            self.remove_or_defer(name)
        self.directory.has_targets = True

    def apply_changes(self, entries: list[source.Entry]) -> None:
        """Take up changes."""
        for entry in entries:
            if entry.content is None:
                self.remove_or_defer(entry.name)
            else:
                self.apply_entry(entry.name, entry.content)

    def apply_entry(self, name: str, content: source.Content) -> None:
        """Take up one entry."""
        try:
            held = self.decode(name, content)
        except ValueError as error:
            self.logger.warning(
                'entry malformed',
                target=name,
                reason=str(error),
            )
            self.fingerprint.remove(name)
            self.directory.remove_target(name, 'malformed entry')
            return
        self.fingerprint.update(held)
        self.pending_removals.pop(name, None)
        self.directory.update_target(held)

    def remove_or_defer(self, name: str) -> None:
        """Drop a target whose entry is gone, at once or a little later."""
        self.fingerprint.remove(name)
        back_at = self.read_recovered_at()
        now = clock.monotonic()
        if back_at is None or now - back_at > REREGISTRATION_GRACE_SECONDS:
            self.directory.remove_target(name, 'entry removed')
            return
        self.pending_removals[name] = back_at + REREGISTRATION_GRACE_SECONDS
        asyncio.get_running_loop().call_later(
            back_at + REREGISTRATION_GRACE_SECONDS - now,
            self.remove_expired,
        )

    def remove_expired(self) -> None:
        """Drop the targets that did not register again in time."""
        now = clock.monotonic()
        due = [
            name for name, end in self.pending_removals.items() if end <= now
        ]
        for name in due:
            self.pending_removals.pop(name)
            self.directory.remove_target(name, 'not back after an outage')
