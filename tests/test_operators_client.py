"""Tests that an operator's command never gets the answer to another."""

import asyncio
import unittest
from unittest import mock

import orjson

from sapphirepaddle import errors, operators_client
from tests.support import late_platform

CALL_SECONDS = 0.1


class TestLateAnswers(unittest.IsolatedAsyncioTestCase):
    """The answer to a call that timed out must not be taken for another's.

    An operator could otherwise confirm a plan that was not shown.
    """

    async def test_answer_after_timeout(self) -> None:
        """The next call waits until the late answer is there."""
        daemon = late_platform.LatePlatform()
        await daemon.start()
        self.addAsyncCleanup(daemon.stop)
        client = operators_client.OperatorsClient(
            [f'http://127.0.0.1:{daemon.port}'], 'token'
        )
        self.addAsyncCleanup(client.close)
        await client.call('GET', '/objects/first')
        with (
            mock.patch.object(
                operators_client, 'CALL_TIMEOUT_SECONDS', CALL_SECONDS
            ),
            self.assertRaises(errors.OperatorError),
        ):
            await client.call('GET', '/objects/late')
        await asyncio.sleep(late_platform.LATE_SECONDS)
        answer = await client.call('GET', '/objects/second')
        self.assertEqual(orjson.loads(answer)['key'], 'second')
