"""Reading of requests from a caller's connection, within bounds."""

import asyncio
import typing

import h11

from sapphirepaddle import clock
from sapphirepaddle.proxy import exchange, handler, idle_timer, request

READ_BYTES: typing.Final = 65536
BAD_REQUEST: typing.Final = 400
REQUEST_TIMEOUT: typing.Final = 408
TOO_LARGE: typing.Final = 413
HEAD_TOO_LARGE: typing.Final = 431
UNAVAILABLE: typing.Final = 503
CONTINUE: typing.Final = 100
HEADER_LINE_OVERHEAD_BYTES: typing.Final = 4
"""Bytes between name and value of a header and behind it."""


class RefusedHeadError(Exception):
    """What was read is no request that is served.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, status: int, detail: str) -> None:
        """Store the status."""
        super().__init__(detail)
        self.status = status


class RequestReader:
    """Reads the requests of one connection.

    Attributes:
        reader: What the caller sends.
        writer: Where the invitation to send a body goes.
        handler: Holds the bounds in force.
        idle: Runs while a request is waited for.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        served_by: handler.Handler,
        idle: idle_timer.IdleTimer,
    ) -> None:
        """Store the parts."""
        self.reader = reader
        self.writer = writer
        self.handler = served_by
        self.idle_timer = idle

    async def read(
        self,
        current: exchange.Exchange,
    ) -> request.Request | None:
        """Read a whole request; None if the caller left before one.

        Raises:
            RefusedHeadError: If it is malformed, too large or too slow.
        """
        try:
            return await self.parse(current)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or BAD_REQUEST
            raise RefusedHeadError(status, str(error)) from error

    async def parse(
        self,
        current: exchange.Exchange,
    ) -> request.Request | None:
        """Read a whole request; None if the caller left before one."""
        head = await self.read_head(current)
        if not isinstance(head, h11.Request):
            return None
        received = clock.monotonic()
        self.check_size(head)
        body = await self.read_body(current)
        if body is None:
            return None
        names = {name for name, _ in head.headers}
        return request.Request(
            method=head.method,
            target=head.target,
            headers=list(head.headers.raw_items()),
            host=dict(head.headers).get(b'host', b'').decode('latin-1'),
            body=body,
            has_body=bool(names & exchange.BODY_HEADERS),
            received_at=received,
        )

    def check_size(self, head: h11.Request) -> None:
        """Refuse a head over the bound that arrived at once.

        Raises:
            RefusedHeadError: If it is too large.
        """
        lines = (
            len(name) + len(content) + HEADER_LINE_OVERHEAD_BYTES
            for name, content in head.headers
        )
        size = len(head.method) + len(head.target) + sum(lines)
        if size > self.handler.limits.head_bytes:
            raise RefusedHeadError(HEAD_TOO_LARGE, 'head')

    async def read_head(self, current: exchange.Exchange) -> typing.Any:
        """Read the head of a request, within its time."""
        event = current.http.next_event()
        if event is h11.NEED_DATA and not current.leftover:
            self.idle_timer.start(self.handler.limits.idle_seconds)
            await self.feed(current)
            self.idle_timer.stop()
        try:
            async with asyncio.timeout(self.handler.limits.head_seconds):
                return await self.next_event(current, event)
        except TimeoutError:
            raise RefusedHeadError(REQUEST_TIMEOUT, 'head') from None

    async def read_body(self, current: exchange.Exchange) -> bytes | None:
        """Read the body of a request; None if the caller left in it."""
        parts: list[bytes] = []
        while True:
            event = await self.next_body_event(current)
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                return None
            self.acquire_body_memory(current, len(event.data))
            parts.append(bytes(event.data))

    def acquire_body_memory(
        self, current: exchange.Exchange, size: int
    ) -> None:
        """Take memory for a part of a body.

        Raises:
            RefusedHeadError: If the body is too large or there is none.
        """
        if current.body_bytes + size > self.handler.limits.body_bytes:
            raise RefusedHeadError(TOO_LARGE, 'body')
        if not self.handler.memory.try_acquire(size):
            raise RefusedHeadError(UNAVAILABLE, 'no memory for the body')
        current.body_bytes += size

    async def next_body_event(self, current: exchange.Exchange) -> typing.Any:
        """Return the next part of a body, within the time for idleness."""
        try:
            async with asyncio.timeout(self.handler.limits.idle_seconds):
                return await self.next_event(current)
        except TimeoutError:
            raise RefusedHeadError(REQUEST_TIMEOUT, 'body') from None

    async def next_event(
        self,
        current: exchange.Exchange,
        event: typing.Any = h11.NEED_DATA,
    ) -> typing.Any:
        """Return the next event of the parser."""
        if event is h11.NEED_DATA:
            event = current.http.next_event()
        while event is h11.NEED_DATA:
            if current.http.they_are_waiting_for_100_continue:
                self.send_continue(current)
            await self.feed(current)
            event = current.http.next_event()
        return event

    def send_continue(self, current: exchange.Exchange) -> None:
        """Ask for the body of a request that waits for it."""
        interim = h11.InformationalResponse(status_code=CONTINUE, headers=[])
        self.writer.write(current.http.send(interim) or b'')

    async def feed(self, current: exchange.Exchange) -> None:
        """Hand the parser what the caller sends next."""
        current.http.receive_data(await self.reader.read(READ_BYTES))
