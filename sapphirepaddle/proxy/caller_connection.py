"""A caller's connection: requests in, answers out in the same order."""

import asyncio
import collections
import contextlib
import typing

from sapphirepaddle.gateway import answer
from sapphirepaddle.proxy import (
    exchange,
    handler,
    idle_timer,
    request_reader,
)
from sapphirepaddle.telemetry import logs

READ_BYTES: typing.Final = 65536
MAX_PIPELINED_REQUESTS: typing.Final = 16
"""Requests of a connection that are served at a time."""
LINGER_SECONDS: typing.Final = 1
"""Wait for the caller's close, so that it reads the last answer."""
WRITE_SECONDS: typing.Final = 10
"""Longest time in which a caller reads nothing of an answer."""


Pending = tuple[exchange.Exchange, asyncio.Task[answer.Answer]]


class CallerConnection:
    """One connection of a caller.

    A caller that closes its side counts as gone, also when it only
    half-closes: what runs for it is cancelled.

    Attributes:
        reader: What the caller sends.
        writer: What the caller gets.
        handler: Answers the requests.
        pending: Exchanges without a sent answer and what computes it,
            oldest first.
        changed: Set when an exchange begins or ends.
        idle: Closes the connection while nothing is asked.
        requests: Reads the requests.
        is_closing: Whether no further request is read.
        logger: Log of the connection.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        served_by: handler.Handler,
    ) -> None:
        """Take over an accepted connection."""
        self.reader = reader
        self.writer = writer
        self.handler = served_by
        self.pending: collections.deque[Pending] = collections.deque()
        self.changed = asyncio.Event()
        self.idle_timer = idle_timer.IdleTimer(self.close_idle)
        self.request_reader = request_reader.RequestReader(
            reader,
            writer,
            served_by,
            self.idle_timer,
        )
        self.is_closing = False
        self.logger = logs.get_logger('caller')

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        reading = asyncio.create_task(self.read_requests())
        answering = asyncio.create_task(self.send_answers())
        gone = asyncio.create_task(self.wait_until_disconnected(reading))
        try:
            await asyncio.wait(
                (gone, answering),
                return_when=asyncio.FIRST_COMPLETED,
            )
            await cancel_and_wait(gone, reading)
            await self.linger(answering)
        finally:
            self.idle_timer.stop()
            await self.cancel_and_close(gone, reading, answering)

    async def wait_until_disconnected(
        self, reading: asyncio.Task[None]
    ) -> None:
        """Wait until the caller closes.

        What it sends behind its last request is dropped.
        """
        await reading
        if not self.reader.at_eof():
            await discard_input(self.reader)

    async def read_requests(self) -> None:
        """Read requests and start to answer them."""
        leftover = b''
        while not self.is_closing:
            current = exchange.Exchange(
                leftover, self.handler.limits.head_bytes
            )
            if not await self.read_request(current):
                return
            leftover = current.leftover
            if current.is_ended:
                return
            while len(self.pending) >= MAX_PIPELINED_REQUESTS:
                self.changed.clear()
                await self.changed.wait()

    async def read_request(self, current: exchange.Exchange) -> bool:
        """Read one request.

        Returns:
            Whether the connection goes on.
        """
        try:
            received = await self.request_reader.read(current)
        except request_reader.RefusedHeadError as error:
            self.logger.info('request refused', status=error.status)
            self.start(current, answer_refused_head(self.handler, error))
            self.is_closing = True
            return False
        except BaseException:
            self.handler.memory.release(current.body_bytes)
            raise
        if received is None or self.is_closing:
            self.handler.memory.release(current.body_bytes)
            return False
        current.method = received.method
        self.start(current, self.handler.handle(received))
        return True

    def start(
        self,
        current: exchange.Exchange,
        answering: typing.Coroutine[typing.Any, typing.Any, answer.Answer],
    ) -> None:
        """Start to compute an answer."""
        self.pending.append((current, asyncio.create_task(answering)))
        self.changed.set()

    async def send_answers(self) -> None:
        """Send the answers in the order of the requests."""
        while True:
            while not self.pending:
                self.changed.clear()
                await self.changed.wait()
            current, work = self.pending[0]
            await self.send(current, await work)
            self.pending.popleft()
            self.handler.memory.release(current.body_bytes)
            self.changed.set()
            if current.must_close:
                self.is_closing = True
                return
            if not self.pending:
                self.idle_timer.start(self.handler.limits.idle_seconds)

    async def send(
        self,
        current: exchange.Exchange,
        given: answer.Answer,
    ) -> None:
        """Send one answer; the last one says that it is the last.

        An answer closes the connection only if no request behind it was
        taken: its caller would send that one again.
        """
        is_alone = len(self.pending) == 1
        if is_alone and self.handler.is_leaving:
            self.is_closing = True
        is_last = is_alone and self.is_closing
        self.writer.write(current.render(given, is_last))
        async with asyncio.timeout(WRITE_SECONDS):
            await self.writer.drain()

    async def linger(self, answering: asyncio.Task[None]) -> None:
        """Give the caller time to read the last answer, if it was sent."""
        if not answering.done() or answering.exception() is not None:
            return
        with contextlib.suppress(OSError):
            self.writer.write_eof()
            async with asyncio.timeout(LINGER_SECONDS):
                await discard_input(self.reader)

    async def cancel_and_close(self, *running: asyncio.Task[None]) -> None:
        """Give up what still runs and close."""
        works = [work for _, work in self.pending]
        for current, _ in self.pending:
            self.handler.memory.release(current.body_bytes)
        self.pending.clear()
        for task in (*running, *works):
            task.cancel()
        ended = await asyncio.gather(*running, *works, return_exceptions=True)
        for outcome in ended:
            if isinstance(outcome, Exception):
                self.logger.info('caller lost', reason=repr(outcome))
        self.writer.close()

    def close_idle(self) -> None:
        """Close the connection unless something is asked."""
        if not self.pending:
            self.is_closing = True
            self.writer.close()


async def discard_input(reader: asyncio.StreamReader) -> None:
    """Drop what a caller sends until it closes."""
    with contextlib.suppress(ConnectionError):
        while not reader.at_eof():
            await reader.read(READ_BYTES)


async def cancel_and_wait(*tasks: asyncio.Task[None]) -> None:
    """Cancel tasks and wait for their end."""
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


async def answer_refused_head(
    served_by: handler.Handler,
    error: request_reader.RefusedHeadError,
) -> answer.Answer:
    """Return the answer to what is no proper request."""
    return served_by.refuse(error.status, str(error))
