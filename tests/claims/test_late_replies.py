"""Tests of claims at a platform that often replies too late."""

import asyncio
import random
import typing
import unittest

import uvicorn

from sapphirepaddle import errors
from sapphirepaddle.claims import record, shard_log
from sapphirepaddle.standins import faults, platform
from sapphirepaddle.store import remote

CALL_SECONDS = 0.1
LATE_SECONDS = 0.2
"""Delay of a reply that arrives after its call timed out."""
WRITER_COUNT = 3
KEY_COUNT = 25
RETENTION_SECONDS = 3600


class RandomDelays(faults.PlatformFaults):
    """Delays a third of the calls for longer than their timeout."""

    rng: typing.ClassVar = random.Random(1)

    async def delay(self) -> None:
        """Sleep for the added latency of one call."""
        await asyncio.sleep(self.rng.choice((0, 0, LATE_SECONDS)))


class TestLateReplies(unittest.IsolatedAsyncioTestCase):
    """A writer must not take the reply to another call for its own.

    If the reply to an earlier write counts for a claim that the platform
    rejects, two daemons run the same order.
    """

    async def asyncSetUp(self) -> None:
        """Serve the platform on a free port of the loopback address."""
        standin = platform.PlatformStandin(list_lag_seconds=0)
        standin.faults = RandomDelays()
        self.server = uvicorn.Server(
            uvicorn.Config(
                standin.application(),
                port=0,
                lifespan='off',
                log_config=None,
                log_level='critical',
            )
        )
        self.serving = asyncio.create_task(self.server.serve())
        while not self.server.started:
            await asyncio.sleep(0.01)
        address = self.server.servers[0].sockets[0].getsockname()
        self.url = 'http://{0}:{1}'.format(*address)

    async def asyncTearDown(self) -> None:
        """Stop the platform."""
        self.server.should_exit = True
        await self.serving

    async def claim_keys(self, writer: str) -> set[str]:
        """Claim all keys, each until a decision; return the accepted ones."""
        store = remote.RemoteStore(self.url, CALL_SECONDS)
        self.addAsyncCleanup(store.close)
        log = shard_log.ShardLog(0, store, 2000, RETENTION_SECONDS)
        return {
            key
            for key in map(str, range(KEY_COUNT))
            if await self.is_accepted(log, key, writer)
        }

    async def is_accepted(
        self, log: shard_log.ShardLog, key: str, writer: str
    ) -> bool:
        """Claim a key until the log returns a decision."""
        claim = record.Record(
            key=key,
            fingerprint='f',
            state=record.State.CLAIMED,
            token=f'{writer}/{key}',
            at=1000,
        )
        while True:
            try:
                (decision,) = await log.commit([claim], claim.at)
            except errors.PlatformError:
                continue
            return decision.accepted

    async def test_each_key_has_one_claim(self) -> None:
        """No key is claimed by two of three writers."""
        accepted_keys = await asyncio.gather(
            *(self.claim_keys(f'w{number}') for number in range(WRITER_COUNT))
        )
        accepted = [key for keys in accepted_keys for key in sorted(keys)]
        self.assertEqual(
            sorted(accepted, key=int), list(map(str, range(KEY_COUNT)))
        )
