"""In-memory object source for tests and demonstrations."""

import asyncio
import typing

from sapphirepaddle import errors
from sapphirepaddle.directory import source

CALL_TIMEOUT_SECONDS: typing.Final = 1.0
"""Time beyond its wait after which a call that is not answered fails."""


class MemorySource(source.Source):
    """Source that keeps its objects in memory, with simulated faults.

    Attributes:
        revision: Revision of the last change.
        objects: Object contents by kind and name.
        changes: History of all changes as (revision, kind, entry).
        oldest_watch_revision: Oldest revision that a watch can start from.
        is_unavailable: Whether calls fail, to simulate an outage.
        is_silent: Whether new calls are never answered, to simulate another
            kind of outage.
        silent_kind: Kind of objects for which new calls are never answered.
        unanswered_calls: Number of calls that were never answered.
        changed: Condition notified at each change.
        calls: Number of calls made.
        fresh_calls: Number of calls that did not allow a stale answer.
        stale_revision: Last revision that calls which allow a stale answer
            see; None for the newest.
    """

    def __init__(self) -> None:
        """Initialize without objects."""
        self.revision = 1
        self.objects: dict[str, dict[str, source.Content]] = {}
        self.changes: list[tuple[int, str, source.Entry]] = []
        self.oldest_watch_revision = 0
        self.is_unavailable = False
        self.is_silent = False
        self.silent_kind = ''
        self.unanswered_calls = 0
        self.changed = asyncio.Condition()
        self.calls = 0
        self.fresh_calls = 0
        self.stale_revision: int | None = None

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
        self.record_call(is_stale_allowed)
        if self.is_silent or kind == self.silent_kind:
            await self.leave_unanswered(0)
        if is_stale_allowed and self.stale_revision is not None:
            return self.list_at_revision(kind, self.stale_revision)
        content_by_name = self.objects.get(kind, {})
        entries = [source.Entry(*pair) for pair in content_by_name.items()]
        return source.ReadResult(self.revision, entries)

    def list_at_revision(self, kind: str, revision: int) -> source.ReadResult:
        """Return all objects of a kind as of a revision."""
        latest_entries = {
            entry.name: entry
            for entry in self.changes_between(kind, 0, revision)
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
        revision: int,
        seconds: float,
        is_stale_allowed: bool,
    ) -> source.ReadResult:
        """Wait for changes after a revision; no entries after the timeout."""
        self.record_call(is_stale_allowed)
        if self.is_silent or kind == self.silent_kind:
            await self.leave_unanswered(seconds)
        if revision < self.oldest_watch_revision:
            raise errors.HistoryLostError(kind)
        async with self.changed:
            try:
                async with asyncio.timeout(seconds):
                    await self.changed.wait_for(
                        lambda: bool(
                            self.changes_between(
                                kind,
                                revision,
                                self.visible_revision(is_stale_allowed),
                            ),
                        ),
                    )
            except TimeoutError:
                return source.ReadResult(revision, [])
        if self.is_unavailable:
            raise errors.SourceError('away')
        last_revision = self.visible_revision(is_stale_allowed)
        return source.ReadResult(
            last_revision, self.changes_between(kind, revision, last_revision)
        )

    async def leave_unanswered(self, seconds: float) -> typing.NoReturn:
        """Let a call time out that is never answered.

        Raises:
            SourceError: After the wait of the call.
        """
        self.unanswered_calls += 1
        await asyncio.sleep(seconds + CALL_TIMEOUT_SECONDS)
        raise errors.SourceError('no answer')

    def visible_revision(self, is_stale_allowed: bool) -> int:
        """Return the newest revision that a call may see."""
        if is_stale_allowed and self.stale_revision is not None:
            return self.stale_revision
        return self.revision

    def changes_between(
        self,
        kind: str,
        after_revision: int,
        last_revision: int,
    ) -> list[source.Entry]:
        """Return the changes of a kind between two revisions.

        Args:
            kind: Kind of object.
            after_revision: Revision before the first change, exclusive.
            last_revision: Revision of the last change, inclusive.
        """
        return [
            entry
            for change_revision, changed_kind, entry in self.changes
            if after_revision < change_revision <= last_revision
            and changed_kind == kind
        ]

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
        self.revision += 1
        self.changes.append((self.revision, kind, entry))
        async with self.changed:
            self.changed.notify_all()

    def drop_history(self) -> None:
        """Discard the history, so that watches from older revisions fail."""
        self.revision += 2
        self.oldest_watch_revision = self.revision - 1
