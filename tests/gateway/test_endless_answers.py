"""Tests of endless answers from targets of the entry daemon."""

import asyncio

from sapphirepaddle.gateway import attempt
from tests.gateway import test_target_client
from tests.support import endless_target

TIMEOUT_SECONDS = 0.5


class TestEndlessAnswers(test_target_client.TargetClientCase):
    """An endless answer must end in a fault when its timeout has passed.

    The client has to close the connection itself, also in the middle of a
    body that it already passes on.
    """

    async def check(self, kind: str, pause_seconds: float) -> None:
        """Send a request to an endless target and check what follows."""
        target = endless_target.EndlessTarget(
            *endless_target.ENDLESS_ANSWERS[kind], pause_seconds
        )
        await self.start_target(target)
        with self.assertRaises(attempt.AttemptFailedError) as caught:
            async with asyncio.timeout(20):
                await self.send(TIMEOUT_SECONDS)
        self.assertFalse(caught.exception.not_run)
        async with asyncio.timeout(20):
            while not target.closed_count:
                await asyncio.sleep(0.01)

    async def test_fast_sender(self) -> None:
        for kind in endless_target.ENDLESS_ANSWERS:
            with self.subTest(kind):
                await self.check(kind, 0)

    async def test_slow_sender(self) -> None:
        for kind in endless_target.ENDLESS_ANSWERS:
            with self.subTest(kind):
                await self.check(kind, 0.01)
