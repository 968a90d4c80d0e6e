"""Tests that a call of the platform never gets the reply to another call."""

import asyncio
import unittest

from sapphirepaddle import errors
from sapphirepaddle.store import remote
from tests.support import late_platform

CALL_SECONDS = 0.1
LATE_SECONDS = late_platform.LATE_SECONDS


class TestLateReplies(unittest.IsolatedAsyncioTestCase):
    """The reply to a call that timed out must not be taken for another's.

    A write that gets such a reply counts as done although the platform
    rejected it; so does a claim of an idempotency key.
    """

    async def asyncSetUp(self) -> None:
        """Start a platform and make a call whose connection is kept."""
        self.platform = late_platform.LatePlatform()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)
        self.store = remote.RemoteStore(
            f'http://127.0.0.1:{self.platform.port}', CALL_SECONDS
        )
        self.addAsyncCleanup(self.store.close)
        await self.read('first')

    async def read(self, key: str) -> None:
        """Read an object and check that the reply is about it."""
        stored = await self.store.read(key)
        self.assertEqual(stored and stored.key, key)

    async def test_reply_after_timeout(self) -> None:
        """The next call waits until the late reply is there."""
        with self.assertRaises(errors.PlatformUnavailableError):
            await self.store.read('late')
        await asyncio.sleep(LATE_SECONDS)
        await self.read('second')
        await self.read('third')

    async def test_reply_during_next_call(self) -> None:
        """The late reply arrives while the next call waits for its own."""
        with self.assertRaises(errors.PlatformUnavailableError):
            await self.store.read('late')
        written = await self.store.write('second', b'', 0)
        self.assertEqual(written.key, 'second')
        await self.read('third')

    async def test_cancelled_call(self) -> None:
        """A call that was cancelled leaves nothing to the next one."""
        task = asyncio.create_task(self.store.read('late'))
        await asyncio.sleep(CALL_SECONDS / 2)
        task.cancel()
        await asyncio.sleep(LATE_SECONDS)
        await self.read('second')
