"""A caller's connection: pipelined requests, answered in order."""

import asyncio
import collections
import contextlib
import functools
import typing
from collections import abc

from sapphirepaddle.gateway import answer
from sapphirepaddle.proxy import (
    answer_writer,
    exchange,
    handler,
    idle_timer,
    request_reader,
)
from sapphirepaddle.telemetry import logs

READ_BYTES: typing.Final = 65536
MAX_PIPELINED_REQUESTS: typing.Final = 16
"""Maximum number of concurrent requests of one connection."""
MAX_WAITING_REQUESTS: typing.Final = 64
"""Maximum number of requests of one connection that were read and wait for
others to be answered."""
MAX_WAITING_BYTES: typing.Final = 65536
"""Size of the waiting requests of one connection beyond which no further one is
read."""
LINGER_SECONDS: typing.Final = 1
"""Wait for the caller's close, so that it can read the last answer."""

Pending = tuple[exchange.Exchange, asyncio.Task[answer.Answer]]
ComputeAnswer = abc.Callable[
    [], abc.Coroutine[typing.Any, typing.Any, answer.Answer]
]
Waiting = tuple[exchange.Exchange, ComputeAnswer]


class CallerConnection:
    """Serves one connection of a caller.

    A caller that closes or half-closes its side counts as disconnected,
    and its running requests are cancelled. The end of its input shows only
    once all of it was read, so reading goes on while requests wait. If too
    many wait, the rest of the input is discarded, and the connection closes
    after the requests that were read: the caller sends the others again.

    Attributes:
        reader: Stream from the caller.
        writer: Stream to the caller.
        handler: Answers the requests.
        pending: Exchanges whose answer is not sent yet, each with the task
            that computes the answer, oldest first.
        waiting: Requests that start when a pending one was answered, oldest
            first.
        pending_changed: Set when an exchange begins or ends.
        idle_timer: Closes the connection when no request arrives.
        request_reader: Reads the requests.
        answer_writer: Writes the answers.
        is_closing: Whether no further request is read.
        logger: Log of refused requests and lost connections.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_handler: handler.Handler,
    ) -> None:
        """Initialize with the streams of an accepted connection."""
        self.reader = reader
        self.writer = writer
        self.handler = request_handler
        self.pending: collections.deque[Pending] = collections.deque()
        self.waiting: collections.deque[Waiting] = collections.deque()
        self.pending_changed = asyncio.Event()
        self.idle_timer = idle_timer.IdleTimer(self.close_idle)
        self.request_reader = request_reader.RequestReader(
            reader,
            writer,
            request_handler,
            self.idle_timer,
        )
        self.answer_writer = answer_writer.AnswerWriter(writer)
        self.is_closing = False
        self.logger = logs.get_logger('caller')

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        read_task = asyncio.create_task(self.read_requests())
        send_task = asyncio.create_task(self.send_answers())
        disconnect_task = asyncio.create_task(
            self.wait_until_disconnected(read_task)
        )
        try:
            await asyncio.wait(
                (disconnect_task, send_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
            await cancel_and_wait(disconnect_task, read_task)
            await self.linger(send_task)
        finally:
            self.idle_timer.stop()
            await self.cancel_and_close(disconnect_task, read_task, send_task)

    async def wait_until_disconnected(
        self, read_task: asyncio.Task[None]
    ) -> None:
        """Wait until the caller closes its side.

        Input behind its last request is discarded.
        """
        await read_task
        if not self.reader.at_eof():
            await discard_input(self.reader)

    async def read_requests(self) -> None:
        """Read requests and start to answer them."""
        leftover = b''
        while not self.is_closing:
            current_exchange = exchange.Exchange(
                leftover, self.handler.limits.head_bytes
            )
            if not await self.read_request(current_exchange):
                return
            leftover = current_exchange.take_leftover()
            if current_exchange.is_ended:
                return
            if self.is_waiting_full():
                self.is_closing = True

    def is_waiting_full(self) -> bool:
        """Return whether no further request may be read."""
        waiting_bytes = sum(
            waiting_exchange.held_bytes for waiting_exchange, _ in self.waiting
        )
        return (
            len(self.waiting) >= MAX_WAITING_REQUESTS
            or waiting_bytes >= MAX_WAITING_BYTES
        )

    async def read_request(self, current_exchange: exchange.Exchange) -> bool:
        """Read one request and start to answer it.

        Returns:
            Whether further requests may be read.
        """
        try:
            caller_request = await self.request_reader.read(current_exchange)
        except request_reader.RefusedHeadError as error:
            self.logger.info('request refused', status=error.status)
            self.enqueue(
                current_exchange,
                functools.partial(answer_refused_head, self.handler, error),
            )
            self.is_closing = True
            return False
        except BaseException:
            self.handler.memory.release(current_exchange.held_bytes)
            raise
        if caller_request is None or self.is_closing:
            self.handler.memory.release(current_exchange.held_bytes)
            return False
        current_exchange.method = caller_request.method
        self.enqueue(
            current_exchange,
            functools.partial(self.handler.handle, caller_request),
        )
        return True

    def enqueue(
        self, current_exchange: exchange.Exchange, compute: ComputeAnswer
    ) -> None:
        """Let a request wait for its turn; it may start at once."""
        self.waiting.append((current_exchange, compute))
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start waiting requests while fewer than the maximum are pending."""
        while self.waiting and len(self.pending) < MAX_PIPELINED_REQUESTS:
            current_exchange, compute = self.waiting.popleft()
            self.pending.append(
                (current_exchange, asyncio.create_task(compute()))
            )
            self.pending_changed.set()

    async def send_answers(self) -> None:
        """Send the answers in the order of the requests."""
        while True:
            while not self.pending:
                self.pending_changed.clear()
                await self.pending_changed.wait()
            if not await self.send_oldest():
                self.is_closing = True
                return
            if not self.pending:
                self.idle_timer.start(self.handler.limits.idle_seconds)

    async def send_oldest(self) -> bool:
        """Send the answer to the oldest request and forget both.

        Returns:
            Whether the connection can be used further.
        """
        current_exchange, answer_task = self.pending[0]
        await self.send(current_exchange, await answer_task)
        self.pending.popleft()
        self.handler.memory.release(current_exchange.held_bytes)
        self.start_waiting()
        self.pending_changed.set()
        return not current_exchange.must_close

    async def send(
        self,
        current_exchange: exchange.Exchange,
        caller_answer: answer.Answer,
    ) -> None:
        """Send one answer; the last one carries `Connection: close`.

        That header is set only if no other request is pending: the caller
        would send a pending request again elsewhere.
        """
        is_alone = len(self.pending) == 1 and not self.waiting
        if is_alone and self.handler.is_leaving:
            self.is_closing = True
        is_last = is_alone and self.is_closing
        head, body = current_exchange.render(caller_answer, is_last)
        await self.answer_writer.write(head, body, caller_answer.memory)

    async def linger(self, send_task: asyncio.Task[None]) -> None:
        """Let the caller read the last answer, if all answers were sent."""
        if not send_task.done() or send_task.exception() is not None:
            return
        with contextlib.suppress(OSError):
            self.writer.write_eof()
            async with asyncio.timeout(LINGER_SECONDS):
                await discard_input(self.reader)

    async def cancel_and_close(self, *tasks: asyncio.Task[None]) -> None:
        """Cancel the tasks, release their body memory and close."""
        answer_tasks = [answer_task for _, answer_task in self.pending]
        for current_exchange, _ in (*self.pending, *self.waiting):
            self.handler.memory.release(current_exchange.held_bytes)
        self.pending.clear()
        self.waiting.clear()
        for task in (*tasks, *answer_tasks):
            task.cancel()
        results = await asyncio.gather(
            *tasks, *answer_tasks, return_exceptions=True
        )
        for result in results:
            if isinstance(result, Exception):
                self.logger.info('caller connection lost', reason=repr(result))
        self.writer.close()

    def close_idle(self) -> None:
        """Close the connection if no request is pending."""
        if not self.pending:
            self.is_closing = True
            self.writer.close()


async def discard_input(reader: asyncio.StreamReader) -> None:
    """Read and discard input until the caller closes its side."""
    with contextlib.suppress(ConnectionError):
        while not reader.at_eof():
            await reader.read(READ_BYTES)


async def cancel_and_wait(*tasks: asyncio.Task[None]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


async def answer_refused_head(
    request_handler: handler.Handler,
    error: request_reader.RefusedHeadError,
) -> answer.Answer:
    """Return the error answer to a request that could not be read."""
    return request_handler.refuse(error.status, str(error))
