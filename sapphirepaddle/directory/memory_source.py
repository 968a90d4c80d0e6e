"""In-memory object source for tests and demonstrations."""

import asyncio
import typing

from sapphirepaddle import errors
from sapphirepaddle.directory import revisions, source

CALL_TIMEOUT_SECONDS: typing.Final = 1.0
"""Time beyond its wait after which a call that is not answered fails."""


class MemorySource(source.Source):
    """Source that keeps its objects in memory, with simulated faults.

    Attributes:
        number: Revision number of the last change.
        served_era: Era that answers state; 0 for none.
        objects: Object contents by kind and name.
        changes: History of all changes as (number, kind, entry).
        oldest_watch_number: Oldest number that a watch can start from.
        is_unavailable: Whether calls fail, to simulate an outage.
        is_silent: Whether new calls are never answered, to simulate another
            kind of outage.
        silent_kind: Kind of objects for which new calls are never answered.
        unanswered_calls: Number of calls that were never answered.
        changed: Condition notified at each change.
        fresh_calls: Number of calls that did not allow a stale answer.
        stale_revision: Last revision that calls which allow a stale answer
            see; None for the newest.
    """

    def __init__(self) -> None:
        """Initialize without objects."""
        super().__init__()
        self.number = 1
        self.served_era = 0
        self.objects: dict[str, dict[str, source.Content]] = {}
        self.changes: list[tuple[int, str, source.Entry]] = []
        self.oldest_watch_number = 0
        self.is_unavailable = False
        self.is_silent = False
        self.silent_kind = ''
        self.unanswered_calls = 0
        self.changed = asyncio.Condition()
        self.fresh_calls = 0
        self.stale_revision: revisions.Revision | None = None

    @property
    def revision(self) -> revisions.Revision:
        """Return the revision of the last change."""
        return revisions.Revision(self.served_era, self.number)

    def record_call(self, is_stale_allowed: bool = False) -> None:
        """Count a call and fail it during a simulated outage.

        Raises:
            SourceError: If the source is unavailable.
        """
        self.calls += 1
        self.fresh_calls += not is_stale_allowed
        if self.is_unavailable:
            raise errors.SourceError('away')

    async def list_all(
        self,
        kind: str,
        is_stale_allowed: bool,
    ) -> source.ReadResult:
        """Return all objects of a kind."""
        read_result = await self.serve_list(kind, is_stale_allowed)
        self.check_era(read_result.revision)
        return read_result

    async def serve_list(
        self, kind: str, is_stale_allowed: bool
    ) -> source.ReadResult:
        """Return all objects of a kind, whatever era the caller knows."""
        self.record_call(is_stale_allowed)
        if self.is_silent or kind == self.silent_kind:
            await self.leave_unanswered(0)
        if is_stale_allowed and self.stale_revision is not None:
            return self.list_at_revision(kind, self.stale_revision)
        content_by_name = self.objects.get(kind, {})
        entries = [source.Entry(*pair) for pair in content_by_name.items()]
        return source.ReadResult(self.revision, entries)

    def check_era(self, revision: revisions.Revision) -> None:
        """Learn the era of an answer, and refuse one of an older era.

        Raises:
            OutdatedAnswerError: If a newer era is known.
        """
        if revision.era:
            self.era.learn(revision.era, 'source')
        if self.era.has_passed(revision):
            raise errors.OutdatedAnswerError('memory')

    def list_at_revision(
        self, kind: str, revision: revisions.Revision
    ) -> source.ReadResult:
        """Return all objects of a kind as of a revision."""
        latest_entries = {
            entry.name: entry
            for entry in self.changes_between(kind, 0, revision.number)
        }
        entries = [
            entry
            for entry in latest_entries.values()
            if entry.content is not None
        ]
        return source.ReadResult(revision, entries)

    async def watch(
        self,
        kind: str,
        revision: revisions.Revision,
        seconds: float,
        is_stale_allowed: bool,
    ) -> source.ReadResult:
        """Wait for changes after a revision; no entries after the timeout."""
        read_result = await self.serve_watch(
            kind, revision.number, seconds, is_stale_allowed
        )
        self.check_era(read_result.revision)
        if self.era.has_passed(revision):
            raise errors.HistoryLostError(kind)
        return read_result

    async def serve_watch(
        self, kind: str, number: int, seconds: float, is_stale_allowed: bool
    ) -> source.ReadResult:
        """Wait for changes after a number, whatever era the caller knows."""
        self.record_call(is_stale_allowed)
        if self.is_silent or kind == self.silent_kind:
            await self.leave_unanswered(seconds)
        if not self.oldest_watch_number <= number <= self.number:
            raise errors.HistoryLostError(kind)
        async with self.changed:
            try:
                async with asyncio.timeout(seconds):
                    await self.changed.wait_for(
                        lambda: bool(
                            self.changes_between(
                                kind,
                                number,
                                self.visible_revision(is_stale_allowed).number,
                            ),
                        ),
                    )
            except TimeoutError:
                return source.ReadResult(
                    revisions.Revision(self.served_era, number), []
                )
        if self.is_unavailable:
            raise errors.SourceError('away')
        last_revision = self.visible_revision(is_stale_allowed)
        return source.ReadResult(
            last_revision,
            self.changes_between(kind, number, last_revision.number),
        )

    async def leave_unanswered(self, seconds: float) -> typing.NoReturn:
        """Let a call time out that is never answered.

        Raises:
            SourceError: After the wait of the call.
        """
        self.unanswered_calls += 1
        await asyncio.sleep(seconds + CALL_TIMEOUT_SECONDS)
        raise errors.SourceError('no answer')

    def visible_revision(self, is_stale_allowed: bool) -> revisions.Revision:
        """Return the newest revision that a call may see."""
        if is_stale_allowed and self.stale_revision is not None:
            return self.stale_revision
        return self.revision

    def changes_between(
        self,
        kind: str,
        after_number: int,
        last_number: int,
    ) -> list[source.Entry]:
        """Return the changes of a kind between two revisions.

        Args:
            kind: Kind of object.
            after_number: Number before the first change, exclusive.
            last_number: Number of the last change, inclusive.
        """
        return [
            entry
            for change_number, changed_kind, entry in self.changes
            if after_number < change_number <= last_number
            and changed_kind == kind
        ]

    async def create(self, kind: str, entry: source.Entry) -> bool:
        """Create an object; return whether it did not exist before."""
        self.record_call()
        if entry.name in self.objects.get(kind, {}):
            return False
        await self.apply_change(kind, entry)
        return True

    async def put(self, kind: str, entry: source.Entry) -> None:
        """Create or replace an object."""
        self.record_call()
        await self.apply_change(kind, entry)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; a missing one is no error."""
        self.record_call()
        await self.apply_change(kind, source.Entry(name, None))

    async def apply_change(self, kind: str, entry: source.Entry) -> None:
        """Apply a change, even while the source is unavailable."""
        content_by_name = self.objects.setdefault(kind, {})
        if entry.content is None:
            content_by_name.pop(entry.name, None)
        else:
            content_by_name[entry.name] = entry.content
        self.number += 1
        self.changes.append((self.number, kind, entry))
        async with self.changed:
            self.changed.notify_all()

    def drop_history(self) -> None:
        """Discard the history, so that watches from older revisions fail."""
        self.number += 2
        self.oldest_watch_number = self.number - 1

    async def return_from_copy(self, number: int) -> None:
        """Continue from the copy at a number, in a new era.

        What was written since is lost, and its numbers are given out again.
        """
        self.number = number
        self.changes = [
            change for change in self.changes if change[0] <= number
        ]
        self.objects = {}
        for _, kind, entry in self.changes:
            content_by_name = self.objects.setdefault(kind, {})
            content_by_name.pop(entry.name, None)
            if entry.content is not None:
                content_by_name[entry.name] = entry.content
        self.served_era += 1
        self.stale_revision = None
        async with self.changed:
            self.changed.notify_all()
