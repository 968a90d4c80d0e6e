"""Tests of snapshots of the configuration."""

import unittest
from unittest import mock

from sapphirepaddle import errors
from sapphirepaddle.objects import change, configuration
from sapphirepaddle.store import change_log, memory, snapshots
from tests.support import fleet_case


class TestSnapshots(unittest.IsolatedAsyncioTestCase):
    """A snapshot and the later changes must give the whole configuration.

    Parts and changes are deleted as new snapshots are written, also by
    several daemons at the same time.
    """

    async def asyncSetUp(self) -> None:
        """Accept a configuration; limit parts and kept changes to 4."""
        self.store = memory.MemoryStore()
        self.current = configuration.Configuration()
        await self.accept_puts(fleet_case.small_configuration())
        for constant in ('MAX_OBJECTS_PER_PART', 'KEPT_CHANGES'):
            patch = mock.patch.object(snapshots, constant, 4)
            patch.start()
            self.addCleanup(patch.stop)

    async def accept_puts(self, puts: list[change.Put]) -> None:
        """Append a change with some puts and apply it."""
        new_change = change.Change(
            revision=self.current.revision + 1,
            author='a',
            reason='r',
            token=str(self.current.revision),
            at=0,
            puts=tuple(puts),
        )
        await change_log.append(self.store, new_change)
        self.current.apply(new_change)

    async def accept_changes(self, count: int) -> None:
        """Accept changes of a client account."""
        for number in range(count):
            body = {'name': 'guild', 'rate': 10 + number, 'burst': 5}
            await self.accept_puts(
                [change.Put(kind='client_account', body=body)]
            )

    async def test_read_back(self) -> None:
        """Reading a snapshot returns the configuration that was written."""
        self.assertIsNone(await snapshots.read(self.store))
        await self.accept_changes(3)
        await snapshots.write(self.store, self.current)
        self.assertEqual(await snapshots.read(self.store), self.current)

    async def test_log_stays_bounded(self) -> None:
        """Old changes and snapshots are deleted; later changes are kept."""
        for _ in range(5):
            await self.accept_changes(10)
            await snapshots.write(self.store, self.current)
        await self.accept_changes(2)
        changes = await change_log.load_changes(self.store)
        self.assertEqual(len(changes), 4 + 1 + 2)
        loaded = await snapshots.read(self.store)
        assert loaded is not None
        for entry in await change_log.load_changes(self.store, loaded.revision):
            loaded.apply(change.decode(entry.body or b''))
        self.assertEqual(loaded, self.current)
        parts = await self.store.list_page(snapshots.KEY_PREFIX, '')
        revisions = {entry.key.split('/')[1] for entry in parts}
        self.assertEqual(len(revisions), 2)

    async def test_two_writers(self) -> None:
        """One of two writers gets an error; the snapshot stays whole."""
        original_write = self.store.write

        async def write_after_competitor(key: str, body: bytes, expected: int):
            if key == snapshots.HEAD_KEY:
                self.store.write = original_write  # type: ignore[method-assign]
                await snapshots.write(self.store, self.current)
            return await original_write(key, body, expected)

        self.store.write = write_after_competitor  # type: ignore[method-assign]
        with self.assertRaises(errors.VersionConflictError):
            await snapshots.write(self.store, self.current)
        self.assertEqual(await snapshots.read(self.store), self.current)


if __name__ == '__main__':
    unittest.main()
