"""Tests of group commit."""

import asyncio
import unittest

from sapphirepaddle import errors
from sapphirepaddle.claims import committer, segment, shard_log
from sapphirepaddle.store import memory
from tests.claims import test_shard_log

TIMEOUT_SECONDS = 10


class TestMalformedSegment(unittest.IsolatedAsyncioTestCase):
    """A segment that cannot be decoded must not leave requests unanswered.

    An error other than that of the platform ended the task that commits, and
    the requests of its batch waited for ever.
    """

    async def test_claim_fails_until_segment_is_repaired(self) -> None:
        """The claim is refused, and accepted after the repair."""
        store = memory.MemoryStore()
        log = shard_log.ShardLog(0, store, 2000, 3600)
        claims = committer.Committer(log, commit_seconds=0.01)
        claim = test_shard_log.make_record('k', 'a')
        key = segment.key_of(0, 1)
        for body in (b'', b'[[', b'{"records": [{}]}', b'\xff'):
            stored = await store.read(key)
            version = stored.version if stored else 0
            await store.write(key, body, version)
            with self.assertRaises(errors.PlatformUnavailableError):
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    await claims.commit(claim)
        stored = await store.read(key)
        assert stored is not None
        await store.write(key, segment.Segment().encode(), stored.version)
        decision = await claims.commit(claim)
        self.assertTrue(decision.accepted)
