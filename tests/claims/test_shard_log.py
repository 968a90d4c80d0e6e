"""The log of a shard of claims."""

import asyncio
import random
import unittest

from sapphirepaddle import errors
from sapphirepaddle.claims import record, shard_log
from sapphirepaddle.store import memory, stored_object

State = record.State


class LossyStore(memory.MemoryStore):
    """Loses answers after their effect, and delays writes."""

    def __init__(self, seed: int) -> None:
        """Start with a seed."""
        super().__init__()
        self.chance = random.Random(seed)

    async def write(
        self,
        key: str,
        body: bytes,
        expected: int,
    ) -> stored_object.StoredObject:
        """Write, perhaps late, perhaps without an answer."""
        for _ in range(self.chance.randrange(4)):
            await asyncio.sleep(0)
        if self.chance.random() < 0.1:
            raise errors.PlatformUnavailableError('before')
        written = await super().write(key, body, expected)
        if self.chance.random() < 0.3:
            raise errors.PlatformUnavailableError('after')
        return written


def step(key: str, token: str, state: State = State.CLAIMED) -> record.Record:
    """Return a record."""
    return record.Record(
        key=key,
        fingerprint='f',
        state=state,
        token=token,
        at=1000,
    )


class LogCase(unittest.IsolatedAsyncioTestCase):
    """A log over a store in memory."""

    def log(self, store: memory.MemoryStore) -> shard_log.ShardLog:
        """Return a log with small segments."""
        return shard_log.ShardLog(0, store, 2000, 3600)

    async def commit(
        self,
        log: shard_log.ShardLog,
        *proposed: record.Record,
    ) -> list[bool]:
        """Commit records; return which stand."""
        decisions = await log.commit(proposed, 1000)
        return [decision.accepted for decision in decisions]


class TestSteps(LogCase):
    """The life of a key."""

    async def test_first_claim_stands(self) -> None:
        """A second claim sees the first, also in one batch."""
        log = self.log(memory.MemoryStore())
        found = await self.commit(log, step('k', 'a'), step('k', 'b'))
        self.assertEqual(found, [True, False])

    async def test_release_frees(self) -> None:
        """A released key can be claimed again."""
        log = self.log(memory.MemoryStore())
        found = await self.commit(
            log,
            step('k', 'a'),
            step('k', 'a', State.RELEASED),
            step('k', 'b'),
        )
        self.assertEqual(found, [True, True, True])

    async def test_late_claim_after_release(self) -> None:
        """A claim that arrives after its own release does not stand."""
        log = self.log(memory.MemoryStore())
        found = await self.commit(
            log,
            step('k', 'a', State.RELEASED),
            step('k', 'a'),
        )
        self.assertEqual(found, [True, False])

    async def test_done_stays(self) -> None:
        """Nobody else can finish, release or claim a finished key."""
        log = self.log(memory.MemoryStore())
        found = await self.commit(
            log,
            step('k', 'a'),
            step('k', 'b', State.DONE),
            step('k', 'a', State.DONE),
            step('k', 'a', State.RELEASED),
            step('k', 'c'),
        )
        self.assertEqual(found, [True, False, True, False, False])

    async def test_retention(self) -> None:
        """A key is forgotten after the retention, and its segment goes."""
        store = memory.MemoryStore()
        log = self.log(store)
        for number in range(60):
            await self.commit(log, step(f'k{number}', 'a'))
        before = len(await store.list_page('claims/', ''))
        await log.prune(1000 + 3601)
        after = len(await store.list_page('claims/', ''))
        self.assertGreater(before, 2)
        self.assertEqual(after, 1)
        decisions = await log.commit([step('k0', 'b')], 1000 + 3601)
        self.assertTrue(decisions[0].accepted)


class TestWriters(LogCase):
    """Several writers of one shard."""

    async def test_one_claim_stands(self) -> None:
        """Four writers with lost answers agree on one claim for each key."""
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
                        accepted = await self.commit(log, step(key, token))
                    except errors.PlatformUnavailableError:
                        continue
                    if accepted[0]:
                        winners.setdefault(key, set()).add(token)
                    return

            await asyncio.gather(
                *(
                    self.claim_all(claim, self.log(store), f'w{writer}')
                    for writer in range(4)
                ),
            )
            counts = {len(tokens) for tokens in winners.values()}
            self.assertEqual(counts, {1}, f'seed {seed}')
            self.assertEqual(len(winners), 10)

    async def claim_all(self, claim, log, writer) -> None:
        """Claim ten keys in turn."""
        for number in range(10):
            await claim(log, f'k{number}', writer)

    async def test_read_by_another(self) -> None:
        """A second reader finds what the first one wrote."""
        store = memory.MemoryStore()
        first = self.log(store)
        for number in range(30):
            await self.commit(first, step(f'k{number}', 'a'))
        second = self.log(store)
        found = await self.commit(second, step('k3', 'b'), step('new', 'b'))
        self.assertEqual(found, [False, True])
        held = await second.find('k3')
        assert held is not None
        self.assertEqual(held.token, 'a')


if __name__ == '__main__':
    unittest.main()
