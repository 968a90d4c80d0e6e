"""Tests of complete answers that wait for callers who do not read them."""

import asyncio
import socket
from unittest import mock

from sapphirepaddle.proxy import body_memory
from tests.edge import test_requests
from tests.support import edge_daemon_case, scripted_target

ANSWER_BYTES = 8388608
"""More than the kernel buffers for a caller who does not read."""
MEMORY_BYTES = 80000000
RECEIVE_BUFFER_BYTES = 4096


class TestSlowCallers(test_requests.OneTargetCase):
    """An answer takes memory until its last byte has left the process.

    Callers that did not read let a daemon grow beyond its memory; it was
    killed, and the requests of all others were lost.
    """

    memory_bytes = MEMORY_BYTES

    async def asyncSetUp(self) -> None:
        """Start a target with large answers."""
        await super().asyncSetUp()

        async def answer_by_path(
            received: scripted_target.ReceivedRequest,
        ) -> None:
            size = int(received.path.rpartition('/')[2])
            received.answer(body=bytes(size))

        self.targets['t-1'].script = answer_by_path
        self.memory = self.daemon.components.attempt_runner.answer_memory

    async def ask(
        self, identifier: str, size: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request for an answer of a size, without reading it."""
        caller_socket = socket.socket()
        caller_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        caller_socket.setblocking(False)
        address = self.daemon.settings.callers
        await asyncio.get_running_loop().sock_connect(
            caller_socket, (address.host, address.port)
        )
        reader, writer = await asyncio.open_connection(
            sock=caller_socket, limit=RECEIVE_BUFFER_BYTES
        )
        self.addCleanup(writer.close)
        writer.write(edge_daemon_case.request(f'/reads/{size}', identifier))
        return reader, writer

    async def wait_until_answered(self, identifier: str) -> None:
        """Wait until the target has answered and the daemon has read it."""
        target = self.targets['t-1']
        await self.wait_until(lambda: identifier in target.arrival_counts)
        forwarder = self.daemon.components.forwarder
        await self.wait_until(lambda: not forwarder.active_requests)

    async def test_answer_counts_until_its_caller_has_read_it(self) -> None:
        reader, _ = await self.ask('r1', ANSWER_BYTES)
        await self.wait_until_answered('r1')
        self.assertGreaterEqual(self.memory.reserved_bytes, ANSWER_BYTES)
        reply = await edge_daemon_case.read_reply(reader)
        self.assertEqual(len(reply.body), ANSWER_BYTES)
        await self.wait_until(lambda: not self.memory.reserved_bytes)

    async def test_answer_is_held_once(self) -> None:
        await self.ask('r1', ANSWER_BYTES)
        await self.wait_until_answered('r1')
        (connection,) = self.daemon.components.caller_listener.connections
        buffered_bytes = connection.writer.transport.get_write_buffer_size()
        self.assertLess(buffered_bytes, ANSWER_BYTES / 10)

    async def test_closed_connection_releases_its_answer(self) -> None:
        _, writer = await self.ask('r1', ANSWER_BYTES)
        await self.wait_until_answered('r1')
        writer.transport.abort()
        await self.wait_until(lambda: not self.memory.reserved_bytes)

    async def test_others_are_served_while_one_does_not_read(self) -> None:
        await self.ask('r1', ANSWER_BYTES)
        await self.wait_until_answered('r1')
        reader, _ = await self.ask('r2', 1000)
        self.assertEqual(
            (await edge_daemon_case.read_reply(reader)).status, 200
        )

    async def test_callers_that_do_not_read_make_room_for_others(self) -> None:
        stalled = mock.patch.object(body_memory, 'STALLED_SECONDS', 0)
        with stalled:
            for number in range(4):
                identifier = f'r{number}'
                await self.ask(identifier, ANSWER_BYTES)
                await self.wait_until_answered(identifier)
                self.assertLess(
                    self.memory.reserved_bytes, self.memory.limit_bytes
                )
            reader, _ = await self.ask('last', ANSWER_BYTES)
            reply = await edge_daemon_case.read_reply(reader)
        self.assertEqual((reply.status, len(reply.body)), (200, ANSWER_BYTES))
