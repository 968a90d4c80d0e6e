"""Reads requests from a caller's connection, within size and time limits."""

import asyncio
import typing

import h11

from sapphirepaddle import clock
from sapphirepaddle.proxy import (
    exchange,
    handler,
    idle_timer,
    request,
    stream_limits,
)

BAD_REQUEST: typing.Final = 400
REQUEST_TIMEOUT: typing.Final = 408
TOO_LARGE: typing.Final = 413
HEAD_TOO_LARGE: typing.Final = 431
UNAVAILABLE: typing.Final = 503
CONTINUE: typing.Final = 100
HEADER_LINE_OVERHEAD_BYTES: typing.Final = 4
"""Bytes of a header line besides name and value: colon, space and CRLF."""


class RefusedHeadError(Exception):
    """A request that cannot be read is refused.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, status: int, detail: str) -> None:
        """Initialize with the status and what is wrong with the request."""
        super().__init__(detail)
        self.status = status


class RequestReader:
    """Reads the requests of one connection.

    Attributes:
        reader: Stream from the caller.
        writer: Stream to the caller, for 100 Continue.
        handler: Provides the limits and the memory budget in force.
        idle_timer: Runs while the connection waits for a request.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_handler: handler.Handler,
        timer: idle_timer.IdleTimer,
    ) -> None:
        """Initialize with the streams of a connection."""
        self.reader = reader
        self.writer = writer
        self.handler = request_handler
        self.idle_timer = timer

    async def read(
        self,
        current_exchange: exchange.Exchange,
    ) -> request.Request | None:
        """Read a complete request; None if the caller disconnected before.

        Raises:
            RefusedHeadError: If it is malformed, too large or too slow.
        """
        try:
            return await self.parse(current_exchange)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or BAD_REQUEST
            raise RefusedHeadError(status, str(error)) from error

    async def parse(
        self,
        current_exchange: exchange.Exchange,
    ) -> request.Request | None:
        """Read a complete request; None if the caller disconnected before.

        Raises:
            RefusedHeadError: If it is too large or too slow.
            h11.RemoteProtocolError: If it is malformed.
        """
        head = await self.read_head(current_exchange)
        if not isinstance(head, h11.Request):
            return None
        received_at = clock.monotonic()
        current_exchange.check_framing(head)
        self.acquire_memory(current_exchange, self.check_size(head))
        body = await self.read_body(current_exchange)
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
            received_at=received_at,
        )

    def check_size(self, head: h11.Request) -> int:
        """Return the size of a complete head in bytes.

        The parser limits only a head that is still incomplete, not one that
        arrives in one piece.

        Raises:
            RefusedHeadError: If it is too large.
        """
        line_sizes = (
            len(name) + len(header_value) + HEADER_LINE_OVERHEAD_BYTES
            for name, header_value in head.headers
        )
        size = len(head.method) + len(head.target) + sum(line_sizes)
        if size > self.handler.limits.head_bytes:
            raise RefusedHeadError(HEAD_TOO_LARGE, 'head')
        return size

    async def read_head(
        self, current_exchange: exchange.Exchange
    ) -> typing.Any:
        """Read the head of a request.

        Raises:
            RefusedHeadError: If it takes longer than the header timeout.
        """
        event = current_exchange.http.next_event()
        if event is h11.NEED_DATA and not current_exchange.leftover:
            self.idle_timer.start(self.handler.limits.idle_seconds)
            await self.feed(current_exchange)
            self.idle_timer.stop()
        try:
            async with asyncio.timeout(self.handler.limits.head_seconds):
                return await self.next_event(current_exchange, event)
        except TimeoutError:
            raise RefusedHeadError(REQUEST_TIMEOUT, 'head') from None

    async def read_body(
        self, current_exchange: exchange.Exchange
    ) -> bytearray | None:
        """Read the body of a request; None if the caller disconnected.

        The parts are collected in one buffer: a list that is joined at the end
        would take the memory of the body twice.
        """
        body = bytearray()
        while True:
            event = await self.next_body_event(current_exchange)
            if isinstance(event, h11.EndOfMessage):
                return body
            if not isinstance(event, h11.Data):
                return None
            if len(body) + len(event.data) > self.handler.limits.body_bytes:
                raise RefusedHeadError(TOO_LARGE, 'body')
            self.acquire_memory(current_exchange, len(event.data))
            body += event.data

    def acquire_memory(
        self, current_exchange: exchange.Exchange, size: int
    ) -> None:
        """Reserve memory for a part of a request.

        Raises:
            RefusedHeadError: If the memory is used up.
        """
        if not self.handler.memory.try_acquire(size):
            raise RefusedHeadError(UNAVAILABLE, 'no memory for the request')
        current_exchange.held_bytes += size

    async def next_body_event(
        self, current_exchange: exchange.Exchange
    ) -> typing.Any:
        """Return the next part of a body.

        Raises:
            RefusedHeadError: If none arrives within the idle timeout.
        """
        try:
            async with asyncio.timeout(self.handler.limits.idle_seconds):
                return await self.next_event(current_exchange)
        except TimeoutError:
            raise RefusedHeadError(REQUEST_TIMEOUT, 'body') from None

    async def next_event(
        self,
        current_exchange: exchange.Exchange,
        event: typing.Any = h11.NEED_DATA,
    ) -> typing.Any:
        """Return the next event of the parser, reading from the caller.

        Args:
            current_exchange: The exchange that is read.
            event: Event that was taken from the parser before; it is returned
                unless it is `NEED_DATA`.
        """
        if event is h11.NEED_DATA:
            event = current_exchange.http.next_event()
        while event is h11.NEED_DATA:
            if current_exchange.http.they_are_waiting_for_100_continue:
                self.send_continue(current_exchange)
            await self.feed(current_exchange)
            event = current_exchange.http.next_event()
        return event

    def send_continue(self, current_exchange: exchange.Exchange) -> None:
        """Send 100 Continue, which the caller awaits before the body."""
        interim = h11.InformationalResponse(status_code=CONTINUE, headers=[])
        self.writer.write(current_exchange.http.send(interim) or b'')

    async def feed(self, current_exchange: exchange.Exchange) -> None:
        """Read from the caller and pass the data to the parser."""
        current_exchange.receive_data(
            await self.reader.read(stream_limits.READ_BYTES)
        )
