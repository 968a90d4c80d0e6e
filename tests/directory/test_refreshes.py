"""Tests of refreshes of a watcher in quick succession."""

import asyncio
import unittest
from unittest import mock

from sapphirepaddle.directory import (
    memory_source,
    object_watcher,
    revisions,
    source,
)

KIND = 'kind'
REFRESH_INTERVAL_SECONDS = 0.05
REFRESH_COUNT = 40
ANSWER_SECONDS = 0.2


class SlowSource(memory_source.MemorySource):
    """Source that takes longer for an answer than a refresh interval."""

    async def serve_watch(
        self, kind: str, number: int, seconds: float, is_stale_allowed: bool
    ) -> source.ReadResult:
        """Wait for changes after a number, and then for some time."""
        read_result = await super().serve_watch(
            kind, number, seconds, is_stale_allowed
        )
        await asyncio.sleep(ANSWER_SECONDS)
        return read_result


class TestRefreshesInQuickSuccession(unittest.IsolatedAsyncioTestCase):
    """A refresh must not end the call that an earlier one has started.

    While readers reported one change after the other, no fresh call of a
    daemon lasted long enough to be answered, or to fail.
    """

    async def asyncSetUp(self) -> None:
        """Watch an object whose changes stale calls do not see."""
        self.enterContext(
            mock.patch.object(memory_source, 'CALL_TIMEOUT_SECONDS', 0.2)
        )
        self.enterContext(
            mock.patch.object(object_watcher, 'SHORT_WATCH_SECONDS', 0.1)
        )
        self.source = SlowSource()
        self.numbers: list[int] = []
        self.watcher = object_watcher.ObjectWatcher(
            self.source, KIND, self.record_entries, self.record_entries
        )
        self.watcher.is_reader = lambda: False
        await self.change_object(1)
        self.task = asyncio.create_task(self.watcher.run())
        async with asyncio.timeout(20):
            while self.watcher.watch_timeout is None:
                await asyncio.sleep(0.01)
        self.source.stale_revision = revisions.Revision(0, 1)

    async def asyncTearDown(self) -> None:
        """Stop watching."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def record_entries(self, entries: list[source.Entry]) -> None:
        """Store the number in each entry."""
        self.numbers.extend(
            entry.content['n'] for entry in entries if entry.content
        )

    async def change_object(self, number: int) -> None:
        """Write a number into the object."""
        entry = source.Entry('one', {'n': number})
        await self.source.apply_change(KIND, entry)

    async def refresh_repeatedly(self) -> None:
        """Refresh again and again, for longer than a call may last."""
        for _ in range(REFRESH_COUNT):
            self.watcher.refresh()
            await asyncio.sleep(REFRESH_INTERVAL_SECONDS)

    async def test_call_without_an_answer_fails(self) -> None:
        self.source.is_silent = True
        await self.refresh_repeatedly()
        self.assertIsNotNone(self.watcher.unavailable_since)

    async def test_slow_answer_is_applied(self) -> None:
        await self.change_object(2)
        await self.refresh_repeatedly()
        self.assertIn(2, self.numbers)

    async def test_list_does_not_end_a_fresh_call(self) -> None:
        self.enterContext(
            mock.patch.object(memory_source, 'CALL_TIMEOUT_SECONDS', 60)
        )
        self.source.is_silent = True
        self.watcher.refresh()
        async with asyncio.timeout(20):
            while not self.source.unanswered_calls:
                await asyncio.sleep(0.01)
        self.watcher.request_list()
        for _ in range(20):
            await asyncio.sleep(0.01)
        self.assertEqual(self.source.unanswered_calls, 1)
