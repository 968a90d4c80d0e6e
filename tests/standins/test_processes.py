"""Tests of the addresses that programs of a test listen on."""

import asyncio
import unittest

from sapphirepaddle.standins import processes

HOST = '127.0.0.1'


class TestReservedPorts(unittest.IsolatedAsyncioTestCase):
    """Two test processes must not draw the same port for their programs.

    Otherwise one of the programs cannot start.
    """

    async def test_reserved_port_is_not_free_before_it_is_used(self) -> None:
        port = processes.free_port(HOST)
        self.assertFalse(processes.reserve(HOST, port))

    async def test_program_listens_on_a_reserved_port(self) -> None:
        port = processes.free_port(HOST)
        for _ in range(2):
            server = await asyncio.start_server(self.serve, HOST, port)
            _, writer = await asyncio.open_connection(HOST, port)
            writer.close()
            server.close()
            await server.wait_closed()

    async def serve(
        self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Close a connection."""
        writer.close()
