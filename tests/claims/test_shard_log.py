"""Tests of the log of a shard of claims."""

import asyncio
import random
import unittest

from sapphirepaddle import errors
from sapphirepaddle.claims import record, shard_log
from sapphirepaddle.store import memory, stored_object

State = record.State


class LossyStore(memory.MemoryStore):
    """Store that delays writes, fails some and loses some responses."""

    def __init__(self, seed: int) -> None:
        """Initialize an empty store with seeded faults."""
        super().__init__()
        self.rng = random.Random(seed)

    async def write(
        self,
        key: str,
        body: bytes,
        expected: int,
    ) -> stored_object.StoredObject:
        """Write after a random delay, or fail before or after the write.

        Raises:
            PlatformUnavailableError: With probability 0.1 before the write,
                with probability 0.3 after it.
        """
        for _ in range(self.rng.randrange(4)):
            await asyncio.sleep(0)
        if self.rng.random() < 0.1:
            raise errors.PlatformUnavailableError('before')
        written = await super().write(key, body, expected)
        if self.rng.random() < 0.3:
            raise errors.PlatformUnavailableError('after')
        return written


def make_record(
    key: str, token: str, state: State = State.CLAIMED
) -> record.Record:
    """Return a record of a key with a fixed fingerprint and time."""
    return record.Record(
        key=key,
        fingerprint='f',
        state=state,
        token=token,
        at=1000,
    )


class ShardLogTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a log in an in-memory store."""

    def create_log(self, store: memory.MemoryStore) -> shard_log.ShardLog:
        """Return a log with small segments."""
        return shard_log.ShardLog(0, store, 2000, 3600)

    async def commit(
        self,
        log: shard_log.ShardLog,
        *proposed: record.Record,
    ) -> list[bool]:
        """Commit records; return whether each was accepted."""
        decisions = await log.commit(proposed, 1000)
        return [decision.accepted for decision in decisions]


class TestKeyLifecycle(ShardLogTestCase):
    """Tests of the states of a key.

    A record that is accepted in the wrong state runs a request twice, or
    blocks a key whose request did not run.
    """

    async def test_first_claim_is_accepted(self) -> None:
        """A second claim of a key is rejected, even in the same batch."""
        log = self.create_log(memory.MemoryStore())
        accepted = await self.commit(
            log, make_record('k', 'a'), make_record('k', 'b')
        )
        self.assertEqual(accepted, [True, False])

    async def test_released_key_can_be_claimed(self) -> None:
        """A released key can be claimed again."""
        log = self.create_log(memory.MemoryStore())
        accepted = await self.commit(
            log,
            make_record('k', 'a'),
            make_record('k', 'a', State.RELEASED),
            make_record('k', 'b'),
        )
        self.assertEqual(accepted, [True, True, True])

    async def test_claim_after_its_own_release_is_rejected(self) -> None:
        """A claim that arrives after its own release is rejected.

        Otherwise a delayed write claims the key for a request that was
        already given up.
        """
        log = self.create_log(memory.MemoryStore())
        accepted = await self.commit(
            log,
            make_record('k', 'a', State.RELEASED),
            make_record('k', 'a'),
        )
        self.assertEqual(accepted, [True, False])

    async def test_done_key_is_final(self) -> None:
        """Only the claim's own token completes a key, which is then final."""
        log = self.create_log(memory.MemoryStore())
        accepted = await self.commit(
            log,
            make_record('k', 'a'),
            make_record('k', 'b', State.DONE),
            make_record('k', 'a', State.DONE),
            make_record('k', 'a', State.RELEASED),
            make_record('k', 'c'),
        )
        self.assertEqual(accepted, [True, False, True, False, False])

    async def test_retention(self) -> None:
        """Old keys and their segments are deleted after the retention."""
        store = memory.MemoryStore()
        log = self.create_log(store)
        for number in range(60):
            await self.commit(log, make_record(f'k{number}', 'a'))
        count_before = len(await store.list_page('claims/', ''))
        await log.prune(1000 + 3601)
        count_after = len(await store.list_page('claims/', ''))
        self.assertGreater(count_before, 2)
        self.assertEqual(count_after, 1)
        decisions = await log.commit([make_record('k0', 'b')], 1000 + 3601)
        self.assertTrue(decisions[0].accepted)


class TestConcurrentWriters(ShardLogTestCase):
    """Tests of several writers of one shard.

    Writers that conflict, or whose responses were lost, could each take their
    own claim of a key for the accepted one.
    """

    async def test_one_claim_per_key_is_accepted(self) -> None:
        """Four writers with lost responses agree on one claim for each key.

        Two accepted claims of a key would run its request twice.
        """
        for seed in range(40):
            store = LossyStore(seed)
            winners: dict[str, set[str]] = {}

            async def claim(
                log: shard_log.ShardLog,
                key: str,
                token: str,
                winners: dict[str, set[str]] = winners,
            ) -> None:
                for _ in range(60):
                    try:
                        accepted = await self.commit(
                            log, make_record(key, token)
                        )
                    except errors.PlatformUnavailableError:
                        continue
                    if accepted[0]:
                        winners.setdefault(key, set()).add(token)
                    return

            await asyncio.gather(
                *(
                    self.claim_all(claim, self.create_log(store), f'w{writer}')
                    for writer in range(4)
                ),
            )
            counts = {len(tokens) for tokens in winners.values()}
            self.assertEqual(counts, {1}, f'seed {seed}')
            self.assertEqual(len(winners), 10)

    async def claim_all(self, claim, log, writer) -> None:
        """Claim ten keys one after the other."""
        for number in range(10):
            await claim(log, f'k{number}', writer)

    async def test_second_reader_sees_written_records(self) -> None:
        """A log that is loaded later finds the records of another writer."""
        store = memory.MemoryStore()
        first_log = self.create_log(store)
        for number in range(30):
            await self.commit(first_log, make_record(f'k{number}', 'a'))
        second_log = self.create_log(store)
        accepted = await self.commit(
            second_log, make_record('k3', 'b'), make_record('new', 'b')
        )
        self.assertEqual(accepted, [False, True])
        recorded = await second_log.find('k3')
        assert recorded is not None
        self.assertEqual(recorded.token, 'a')


if __name__ == '__main__':
    unittest.main()
