"""Tests of watching objects with fresh and with stale calls."""

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


class TestObjectWatcher(unittest.IsolatedAsyncioTestCase):
    """A watcher on a daemon that is no reader must not stay behind the source.

    Its calls get stale answers, fail in an outage or lose the history.
    """

    async def asyncSetUp(self) -> None:
        """Watch an object; stale calls see none of its later changes."""
        self.source = memory_source.MemorySource()
        self.is_reader = False
        self.number_by_name: dict[str, int] = {}
        self.numbers: list[int] = []
        self.watcher = object_watcher.ObjectWatcher(
            self.source,
            KIND,
            self.record_entries,
            self.record_entries,
        )
        self.watcher.is_reader = lambda: self.is_reader
        await self.change_object(1)
        self.task = asyncio.create_task(self.watcher.run())
        await self.wait_until_read(1)
        self.source.stale_revision = self.source.revision
        self.source.fresh_calls = 0

    async def asyncTearDown(self) -> None:
        """Stop watching."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def record_entries(self, entries: list[source.Entry]) -> None:
        """Store the number in each entry."""
        for entry in entries:
            assert entry.content is not None
            self.number_by_name[entry.name] = entry.content['n']
            self.numbers.append(entry.content['n'])

    async def change_object(self, number: int) -> None:
        """Write a number into the object."""
        entry = source.Entry('one', {'n': number})
        await self.source.apply_change(KIND, entry)

    async def wait_until_read(self, number: int) -> None:
        """Wait until the watcher has read a number."""
        async with asyncio.timeout(20):
            while self.number_by_name.get('one') != number:
                await asyncio.sleep(0.01)

    async def test_non_reader_makes_stale_calls(self) -> None:
        self.source.stale_revision = None
        await self.change_object(2)
        await self.wait_until_read(2)
        self.assertEqual(self.source.fresh_calls, 0)

    async def test_refresh_reads_the_newest_state(self) -> None:
        await self.change_object(2)
        await asyncio.sleep(0.1)
        self.assertEqual(self.number_by_name['one'], 1)
        self.watcher.refresh()
        await self.wait_until_read(2)
        self.assertEqual(self.source.fresh_calls, 1)

    async def test_failed_fresh_call_is_retried(self) -> None:
        await self.change_object(2)
        self.source.is_unavailable = True
        self.watcher.refresh()
        async with asyncio.timeout(20):
            while self.watcher.unavailable_since is None:
                await asyncio.sleep(0.01)
        self.source.is_unavailable = False
        await self.wait_until_read(2)

    async def test_recovery_is_detected_without_a_change(self) -> None:
        self.source.stale_revision = None
        self.source.is_unavailable = True
        await self.change_object(2)
        await self.wait_for_availability(is_unavailable=True)
        self.source.is_unavailable = False
        await self.wait_until_read(2)
        self.source.is_unavailable = True
        await self.change_object(2)
        await self.wait_for_availability(is_unavailable=True)
        self.watcher.revision = self.source.revision
        self.source.is_unavailable = False
        await self.wait_for_availability(is_unavailable=False)

    async def wait_for_availability(self, *, is_unavailable: bool) -> None:
        """Wait until the watcher detects an outage or a recovery."""
        async with asyncio.timeout(10):
            while (
                self.watcher.unavailable_since is not None
            ) != is_unavailable:
                await asyncio.sleep(0.01)

    async def test_answer_older_than_a_peer_snapshot_is_ignored(self) -> None:
        for number in (2, 3):
            await self.change_object(number)
        self.number_by_name['one'] = 3
        self.watcher.skip_to(self.source.revision)
        previous_calls = self.source.calls
        self.source.stale_revision = revisions.Revision(
            0, self.source.number - 1
        )
        async with self.source.changed:
            self.source.changed.notify_all()
        async with asyncio.timeout(20):
            while self.source.calls == previous_calls:
                await asyncio.sleep(0.01)
        self.assertEqual(self.number_by_name['one'], 3)

    async def test_nothing_that_a_list_in_parts_contains_is_undone(
        self,
    ) -> None:
        # The watch begins at the oldest part and repeats what newer ones have.
        oldest_revision = self.source.revision
        for number in (2, 3):
            await self.change_object(number)
        await asyncio.sleep(0.1)
        self.source.stale_revision = revisions.Revision(
            0, oldest_revision.number + 1
        )
        listing = source.ReadResult(
            oldest_revision,
            [source.Entry('one', {'n': 3})],
            self.source.revision,
        )
        with mock.patch.object(self.source, 'list_all', return_value=listing):
            self.watcher.request_list()
            async with asyncio.timeout(20):
                while self.watcher.revision != self.source.revision:
                    await asyncio.sleep(0.01)
        self.assertEqual(self.numbers, [1, 3, 3])
        self.assertEqual(self.source.fresh_calls, 1)

    async def test_stale_answer_older_than_a_part_of_a_list(self) -> None:
        for number in (2, 3):
            await self.change_object(number)
        self.number_by_name['one'] = 3
        self.watcher.seen_revision = self.source.revision
        self.source.stale_revision = revisions.Revision(
            0, self.source.number - 1
        )
        previous_calls = self.source.calls
        async with self.source.changed:
            self.source.changed.notify_all()
        async with asyncio.timeout(20):
            while self.source.calls == previous_calls:
                await asyncio.sleep(0.01)
        self.assertEqual(self.number_by_name['one'], 3)

    async def test_unanswered_refresh_is_repeated(self) -> None:
        self.source.is_silent = True
        self.watcher.refresh()
        await self.wait_for_availability(is_unavailable=True)
        await self.change_object(2)
        self.source.is_silent = False
        await self.wait_until_read(2)

    async def test_refresh_ends_the_pause_after_a_change(self) -> None:
        self.watcher.batch_seconds = 3600
        self.source.stale_revision = None
        await self.change_object(2)
        await self.wait_until_read(2)
        await self.change_object(3)
        self.watcher.refresh()
        await self.wait_until_read(3)

    async def test_reader_makes_fresh_calls(self) -> None:
        self.is_reader = True
        self.watcher.refresh()
        await self.change_object(2)
        await self.wait_until_read(2)
        await self.change_object(3)
        await self.wait_until_read(3)

    async def test_no_older_state_after_lost_history(self) -> None:
        await self.change_object(2)
        self.watcher.refresh()
        await self.wait_until_read(2)
        self.source.drop_history()
        previous_calls = self.source.fresh_calls
        self.watcher.refresh()
        async with asyncio.timeout(20):
            while self.source.fresh_calls < previous_calls + 2:
                await asyncio.sleep(0.01)
        self.assertEqual(self.number_by_name['one'], 2)


class TestRetryPause(unittest.TestCase):
    """Calls are repeated at intervals; one that timed out is at once."""

    def test_call_that_failed_at_once_is_repeated_after_a_pause(self) -> None:
        self.assertEqual(
            object_watcher.retry_pause(1, 0), object_watcher.RETRY_STEP_SECONDS
        )

    def test_call_that_timed_out_is_repeated_at_once(self) -> None:
        self.assertEqual(object_watcher.retry_pause(1, 3), 0)

    def test_further_failures_are_followed_by_a_longer_pause(self) -> None:
        pauses = [object_watcher.retry_pause(number, 3) for number in (2, 9)]
        self.assertEqual(pauses, [1, object_watcher.MAX_RETRY_SECONDS])
