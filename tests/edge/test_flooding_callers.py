"""Tests of callers that send requests faster than they are answered."""

import asyncio

from sapphirepaddle.proxy import caller_connection, stream_limits
from tests.edge import test_requests
from tests.support import edge_daemon_case, scripted_target

FILL_BYTES = 3000
EXTRA_REQUESTS = 300


class TestFloodingCallers(test_requests.OneTargetCase):
    """What waits on a connection of a caller is bounded and counted.

    Each pipelined request kept the bytes behind it, and heads were not
    counted: 400 connections took a daemon beyond its memory.
    """

    async def asyncSetUp(self) -> None:
        """Pipeline more requests than a connection may have in progress."""
        await super().asyncSetUp()

        async def hang(_received: scripted_target.ReceivedRequest) -> None:
            await asyncio.sleep(5)

        self.targets['t-1'].script = hang
        _, writer = await self.connect(self.daemon)
        self.addCleanup(writer.transport.abort)
        fill = 'X-Fill: ' + 'x' * FILL_BYTES
        for number in range(EXTRA_REQUESTS):
            writer.write(
                edge_daemon_case.request(
                    '/reads/x', f'r{number}', extra=(fill,)
                )
            )
        (self.connection,) = self.daemon.components.caller_listener.connections
        await self.wait_until(
            lambda: (
                len(self.connection.pending)
                == caller_connection.MAX_PIPELINED_REQUESTS
            )
        )

    async def test_heads_of_waiting_requests_are_counted(self) -> None:
        memory = self.daemon.components.forwarder.memory
        self.assertGreaterEqual(
            memory.reserved_bytes, FILL_BYTES * len(self.connection.pending)
        )
        self.connection.writer.transport.abort()
        await self.wait_until(lambda: not memory.reserved_bytes)

    async def test_waiting_requests_hold_no_further_bytes(self) -> None:
        held = [
            len(exchange.leftover) for exchange, _ in self.connection.pending
        ]
        self.assertEqual(held, [0] * len(held))

    async def test_unread_bytes_are_bounded(self) -> None:
        await asyncio.sleep(0.2)
        unread_bytes = len(self.connection.reader._buffer)
        self.assertLessEqual(unread_bytes, 3 * stream_limits.READ_BYTES)
