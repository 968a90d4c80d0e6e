"""Following a kind of objects by fresh and by late calls."""

import asyncio
import unittest

from sapphirepaddle.directory import object_watcher, memory_source, source

KIND = 'kind'


class TestFollower(unittest.IsolatedAsyncioTestCase):
    """A follower that is no reader."""

    async def asyncSetUp(self) -> None:
        """Start to follow an object; late calls see no more of it."""
        self.source = memory_source.MemorySource()
        self.is_reader = False
        self.seen: dict[str, int] = {}
        self.follower = object_watcher.ObjectWatcher(
            self.source,
            KIND,
            self.take_up,
            self.take_up,
        )
        self.follower.is_reader = lambda: self.is_reader
        await self.change(1)
        self.task = asyncio.create_task(self.follower.run())
        await self.until(1)
        self.source.stale_revision = self.source.revision

    async def asyncTearDown(self) -> None:
        """Stop following."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def take_up(self, entries: list[source.Entry]) -> None:
        """Keep what was read."""
        for entry in entries:
            assert entry.content is not None
            self.seen[entry.name] = entry.content['n']

    async def change(self, number: int) -> None:
        """Change the object."""
        entry = source.Entry('one', {'n': number})
        await self.source.apply_change(KIND, entry)

    async def until(self, number: int) -> None:
        """Wait until a change is known."""
        async with asyncio.timeout(20):
            while self.seen.get('one') != number:
                await asyncio.sleep(0.01)

    async def test_its_calls_may_be_late(self) -> None:
        self.source.stale_revision = None
        await self.change(2)
        await self.until(2)
        self.assertEqual(self.source.fresh_calls, 0)

    async def test_a_fresh_call_closes_the_gap(self) -> None:
        await self.change(2)
        await asyncio.sleep(0.1)
        self.assertEqual(self.seen['one'], 1)
        self.follower.refresh()
        await self.until(2)
        self.assertEqual(self.source.fresh_calls, 1)

    async def test_a_failed_fresh_call_is_made_again(self) -> None:
        await self.change(2)
        self.source.is_unavailable = True
        self.follower.refresh()
        async with asyncio.timeout(20):
            while self.follower.unavailable_since is None:
                await asyncio.sleep(0.01)
        self.source.is_unavailable = False
        await self.until(2)

    async def test_contact_is_noticed_without_a_change(self) -> None:
        self.source.stale_revision = None
        self.source.is_unavailable = True
        await self.change(2)
        await self.until_contact(is_lost=True)
        self.source.is_unavailable = False
        await self.until(2)
        self.source.is_unavailable = True
        await self.change(2)
        await self.until_contact(is_lost=True)
        self.follower.revision = self.source.revision
        self.source.is_unavailable = False
        await self.until_contact(is_lost=False)

    async def until_contact(self, *, is_lost: bool) -> None:
        """Wait until the contact with the source is lost, or back."""
        async with asyncio.timeout(10):
            while (self.follower.unavailable_since is not None) != is_lost:
                await asyncio.sleep(0.01)

    async def test_a_reader_makes_fresh_calls(self) -> None:
        self.is_reader = True
        self.follower.refresh()
        await self.change(2)
        await self.until(2)
        await self.change(3)
        await self.until(3)

    async def test_after_lost_history_nothing_is_taken_back(self) -> None:
        await self.change(2)
        self.follower.refresh()
        await self.until(2)
        self.source.drop_history()
        before = self.source.fresh_calls
        self.follower.refresh()
        async with asyncio.timeout(20):
            while self.source.fresh_calls < before + 2:
                await asyncio.sleep(0.01)
        self.assertEqual(self.seen['one'], 2)
