"""Tests of the memory that the body of a request takes."""

import asyncio
import math
import tracemalloc
import unittest
from unittest import mock

from sapphirepaddle.directory import caller_limits
from sapphirepaddle.proxy import (
    body_memory,
    exchange,
    handler,
    http_message,
    idle_timer,
    request_reader,
    target_connection,
)

BODY_BYTES = 8388608
CHUNK = b'1000\r\n' + b'x' * 4096 + b'\r\n'
CHUNKED_HEAD = (
    b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
)
MAX_COPIES = 1.5
"""Most memory that a body may take while it is read, in lengths of the body."""
MAX_BUFFER_BYTES = 1048576
"""Most bytes of a body that wait for a target that does not read."""


async def feed_body(reader: asyncio.StreamReader) -> None:
    """Feed a request with a body of BODY_BYTES, chunk by chunk."""
    reader.feed_data(CHUNKED_HEAD)
    for _ in range(BODY_BYTES // 4096):
        reader.feed_data(CHUNK)
        await asyncio.sleep(0)
    reader.feed_data(b'0\r\n\r\n')


class TestBodyMemoryUse(unittest.IsolatedAsyncioTestCase):
    """A body of the largest size allowed must not take its memory repeatedly.

    The process was killed for its memory, and the requests that it served were
    lost.
    """

    async def test_body_is_collected_once(self) -> None:
        reader = asyncio.StreamReader()
        feeding = asyncio.create_task(feed_body(reader))
        request_handler = mock.Mock(
            spec=handler.Handler,
            limits=caller_limits.CallerLimits(body_bytes=BODY_BYTES),
            memory=body_memory.BodyMemoryBudget(math.inf),
        )
        body_reader = request_reader.RequestReader(
            reader,
            mock.Mock(),
            request_handler,
            idle_timer.IdleTimer(lambda: None),
        )
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        received = await body_reader.read(exchange.Exchange(b'', 4096))
        await feeding
        _, peak = tracemalloc.get_traced_memory()
        assert received is not None
        self.assertEqual(len(received.body), BODY_BYTES)
        self.assertLess(peak, BODY_BYTES * MAX_COPIES)

    async def test_target_that_does_not_read_holds_no_copy(self) -> None:
        has_connected, sent = asyncio.Event(), asyncio.Event()

        async def serve(
            _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            has_connected.set()
            await sent.wait()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        connection = await target_connection.connect(
            *server.sockets[0].getsockname(),
            5,
            body_memory.BodyMemoryBudget(math.inf),
        )
        self.addCleanup(connection.close)
        sending = asyncio.create_task(
            connection.exchange(
                http_message.OutgoingRequest(
                    method=b'POST',
                    target=b'/',
                    headers=[
                        (b'Host', b'a'),
                        (b'Content-Length', b'%d' % BODY_BYTES),
                    ],
                    body=bytearray(BODY_BYTES),
                )
            )
        )
        await has_connected.wait()
        transport = connection.writer.transport
        async with asyncio.timeout(20):
            while not transport.get_write_buffer_size():
                await asyncio.sleep(0)
        self.assertLess(transport.get_write_buffer_size(), MAX_BUFFER_BYTES)
        sending.cancel()
        await asyncio.wait((sending,))
        sent.set()
