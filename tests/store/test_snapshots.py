"""Snapshots of the configuration."""

import unittest
from unittest import mock

from sapphirepaddle import errors
from sapphirepaddle.objects import change, configuration
from sapphirepaddle.store import change_log, memory, snapshots
from tests.support import fleet_case


class TestSnapshots(unittest.IsolatedAsyncioTestCase):
    """Writing, reading, deleting."""

    async def asyncSetUp(self) -> None:
        """Accept a configuration and some changes."""
        self.store = memory.MemoryStore()
        self.current = configuration.Configuration()
        await self.accept(fleet_case.small_configuration())
        for patched in ('MAX_OBJECTS_PER_PART', 'KEPT_CHANGES'):
            held = mock.patch.object(snapshots, patched, 4)
            held.start()
            self.addCleanup(held.stop)

    async def accept(self, puts: list[change.Put]) -> None:
        """Accept a change."""
        entry = change.Change(
            revision=self.current.revision + 1,
            author='a',
            reason='r',
            token=str(self.current.revision),
            at=0,
            puts=tuple(puts),
        )
        await change_log.append(self.store, entry)
        self.current.apply(entry)

    async def grow(self, count: int) -> None:
        """Accept changes of an account."""
        for number in range(count):
            body = {'name': 'guild', 'rate': 10 + number, 'burst': 5}
            await self.accept([change.Put(kind='client_account', body=body)])

    async def test_read_back(self) -> None:
        """A snapshot is the configuration it was made of."""
        self.assertIsNone(await snapshots.read(self.store))
        await self.grow(3)
        await snapshots.write(self.store, self.current)
        self.assertEqual(await snapshots.read(self.store), self.current)

    async def test_log_stays_bounded(self) -> None:
        """Old changes and old snapshots go; what follows stays whole."""
        for _ in range(5):
            await self.grow(10)
            await snapshots.write(self.store, self.current)
        await self.grow(2)
        changes = await change_log.load_changes(self.store)
        self.assertEqual(len(changes), 4 + 1 + 2)
        newer = await snapshots.read(self.store)
        assert newer is not None
        for held in await change_log.load_changes(self.store, newer.revision):
            newer.apply(change.decode(held.body or b''))
        self.assertEqual(newer, self.current)
        parts = await self.store.list_page(snapshots.KEY_PREFIX, '')
        revisions = {held.key.split('/')[1] for held in parts}
        self.assertEqual(len(revisions), 2)

    async def test_two_writers(self) -> None:
        """Of two that write at once one is told; the snapshot is whole."""
        original = self.store.write

        async def late(key: str, body: bytes, expected: int):
            if key == snapshots.HEAD_KEY:
                self.store.write = original  # type: ignore[method-assign]
                await snapshots.write(self.store, self.current)
            return await original(key, body, expected)

        self.store.write = late  # type: ignore[method-assign]
        with self.assertRaises(errors.VersionConflictError):
            await snapshots.write(self.store, self.current)
        self.assertEqual(await snapshots.read(self.store), self.current)


if __name__ == '__main__':
    unittest.main()
