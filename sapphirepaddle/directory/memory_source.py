"""Objects held in memory: for tests and demonstrations."""

import asyncio

from sapphirepaddle import errors
from sapphirepaddle.directory import source


class MemorySource(source.Source):
    """A source in the memory of one process.

    Attributes:
        revision: Rises with each change.
        objects: Contents by kind and name.
        changes: All changes with their revision and kind.
        kept_from: Revision from which watches still get the changes.
        is_away: Whether calls fail.
        changed: Notified at each change.
        calls: Calls made so far.
        fresh_calls: Those among them that had to be fresh.
        stale_revision: Last change that stale calls see; None for all.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 1
        self.objects: dict[str, dict[str, source.Content]] = {}
        self.changes: list[tuple[int, str, source.Entry]] = []
        self.oldest_watch_revision = 0
        self.is_unavailable = False
        self.changed = asyncio.Condition()
        self.calls = 0
        self.fresh_calls = 0
        self.stale_revision: int | None = None

    def record_call(self, is_stale_allowed: bool = False) -> None:
        """Count a call, which fails while the source is away.

        Raises:
            SourceError: If it is away.
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
        if is_stale_allowed and self.stale_revision is not None:
            return self.list_at_revision(kind, self.stale_revision)
        held = self.objects.get(kind, {})
        entries = [source.Entry(*pair) for pair in held.items()]
        return source.ReadResult(self.revision, entries)

    def list_at_revision(self, kind: str, last: int) -> source.ReadResult:
        """Return all objects of a kind as they were at a revision."""
        held = {
            entry.name: entry for entry in self.changes_between(kind, 0, last)
        }
        entries = [
            entry for entry in held.values() if entry.content is not None
        ]
        return source.ReadResult(last, entries)

    async def watch(
        self,
        kind: str,
        revision: int,
        seconds: float,
        is_stale_allowed: bool,
    ) -> source.ReadResult:
        """Wait for changes after a revision."""
        self.record_call(is_stale_allowed)
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
        last = self.visible_revision(is_stale_allowed)
        return source.ReadResult(
            last, self.changes_between(kind, revision, last)
        )

    def visible_revision(self, is_stale_allowed: bool) -> int:
        """Return the last revision that a call sees."""
        if is_stale_allowed and self.stale_revision is not None:
            return self.stale_revision
        return self.revision

    def changes_between(
        self,
        kind: str,
        revision: int,
        last: int,
    ) -> list[source.Entry]:
        """Return the changes of a kind after a revision, up to another."""
        return [
            entry
            for changed_at, changed_kind, entry in self.changes
            if revision < changed_at <= last and changed_kind == kind
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
        """Make a change, whether the source is away or not."""
        held = self.objects.setdefault(kind, {})
        if entry.content is None:
            held.pop(entry.name, None)
        else:
            held[entry.name] = entry.content
        self.revision += 1
        self.changes.append((self.revision, kind, entry))
        async with self.changed:
            self.changed.notify_all()

    def drop_history(self) -> None:
        """Forget the changes up to now."""
        self.revision += 2
        self.oldest_watch_revision = self.revision - 1
