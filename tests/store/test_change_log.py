"""Tests of the change log in the object store."""

import asyncio
import unittest
from unittest import mock

from sapphirepaddle import errors
from sapphirepaddle.objects import change
from sapphirepaddle.store import change_log, memory
from tests.claims import test_shard_log


def build_change(revision: int, token: str) -> change.Change:
    """Return a change without objects."""
    return change.Change(
        revision=revision,
        author='a',
        reason='r',
        token=token,
        at=0,
    )


class TestAppend(unittest.IsolatedAsyncioTestCase):
    """Only one change may be accepted under each revision.

    Two could be if writers run concurrently or the answer to a write is lost.
    """

    async def test_race(self) -> None:
        """Of two concurrent writers one succeeds, the other gets an error."""
        store = memory.MemoryStore()
        outcomes = await asyncio.gather(
            *(
                change_log.append(store, build_change(1, token))
                for token in ('a', 'b')
            ),
            return_exceptions=True,
        )
        outcome_types = [type(outcome) for outcome in outcomes]
        self.assertCountEqual(
            outcome_types, [type(None), errors.RevisionTakenError]
        )

    async def test_lost_answers(self) -> None:
        """After a lost answer a writer finds out whether its change is stored.

        Otherwise it would report an accepted change as failed, or the reverse.
        """
        with mock.patch.object(change_log, 'READ_BACK_SECONDS', 0):
            for seed in range(30):
                store = test_shard_log.LossyStore(seed)
                outcomes = await asyncio.gather(
                    *(
                        change_log.append(store, build_change(1, token))
                        for token in ('a', 'b', 'c')
                    ),
                    return_exceptions=True,
                )
                accepted_tokens = [
                    token
                    for token, outcome in zip('abc', outcomes, strict=True)
                    if outcome is None
                ]
                stored_change = await store.read(change_log.change_key(1))
                assert stored_change is not None
                token = change.decode(stored_change.body or b'').token
                self.assertEqual(accepted_tokens, [token], f'seed {seed}')


class TestMemoryStore(unittest.IsolatedAsyncioTestCase):
    """The in-memory store must behave like the platform's store."""

    async def test_versions_and_watches(self) -> None:
        """Writes require the current version; watches return newer objects."""
        store = memory.MemoryStore()
        first = await store.write('a/1', b'x', 0)
        with self.assertRaises(errors.VersionConflictError):
            await store.write('a/1', b'y', 0)
        watch_task = asyncio.create_task(store.watch('a/', first.version, 1))
        await asyncio.sleep(0)
        await store.write('b/1', b'z', 0)
        second = await store.write('a/1', b'y', first.version)
        self.assertEqual(await watch_task, [second])
        self.assertEqual(await store.watch('a/', second.version, 0.01), [])
        await store.delete('a/1', second.version)
        self.assertIsNone(await store.read('a/1'))


if __name__ == '__main__':
    unittest.main()
