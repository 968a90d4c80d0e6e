"""Writes answers to a caller, no faster than the caller reads them."""

import asyncio
import contextlib
import typing

from sapphirepaddle.proxy import body_memory

WRITE_BYTES: typing.Final = 65536
"""Maximum number of bytes of an answer that are written at a time."""
WRITE_SECONDS: typing.Final = 10
"""Time after which a caller that takes nothing of its answer loses its
connection."""


class AnswerWriter:
    """Writes answers to one caller.

    Attributes:
        writer: Stream to the caller.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Initialize with the stream, which then drains to the last byte.

        The memory of an answer is released when it is drained.
        """
        self.writer = writer
        writer.transport.set_write_buffer_limits(high=0)

    async def write(
        self,
        head: bytes,
        body: bytes,
        memory: body_memory.Reservation | None,
    ) -> None:
        """Write an answer.

        Args:
            head: The serialized head.
            body: The body; empty for none.
            memory: Memory that the answer takes; None if it is not counted.

        Raises:
            TimeoutError: If the caller takes nothing for too long.
            ConnectionError: If the connection was closed.
        """
        waiting: contextlib.AbstractContextManager[None] = (
            contextlib.nullcontext()
        )
        if memory is not None:
            waiting = memory.wait_for_caller(self.writer.transport.abort)
        with waiting:
            await self.write_part(head + body[:WRITE_BYTES])
            for start in range(WRITE_BYTES, len(body), WRITE_BYTES):
                if memory is not None:
                    memory.record_progress()
                await self.write_part(body[start : start + WRITE_BYTES])

    async def write_part(self, part: bytes) -> None:
        """Write a part of an answer and wait until it has left."""
        self.writer.write(part)
        async with asyncio.timeout(WRITE_SECONDS):
            await self.writer.drain()
