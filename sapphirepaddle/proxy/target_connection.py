"""A connection to a target: one request at a time, complete answers only."""

import asyncio
import contextlib
import dataclasses
import typing
from collections import abc

import h11

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.proxy import body_memory, http_message, stream_limits

WRITE_BYTES: typing.Final = 65536
"""Maximum number of bytes of a body that are passed on at a time."""
MAX_SKIPPED_HEADS: typing.Final = 16
"""Maximum number of interim answers and of late answers to other requests that
are skipped before the answer."""
MAX_STATUS: typing.Final = 599
"""Highest final status of HTTP; h11 accepts up to 999."""
MAX_BODY_PIECES: typing.Final = 16384
"""Maximum number of chunks of a body: parsing takes time for each of them."""
CONNECTION_ERRORS: typing.Final = (
    OSError,
    h11.RemoteProtocolError,
    asyncio.IncompleteReadError,
)


class TargetConnection:
    """One connection to a target.

    After any failure it is closed and not used again.

    Attributes:
        reader: Stream from the target.
        writer: Stream to the target.
        answer_memory: Memory budget for the bodies of answers.
        http: Parser and serializer of the exchange.
        exchange_count: Number of exchanges that ended with a complete answer.
        refused_identifiers: Identifiers of the requests that the target
            refused on it. Sent here again, such a request could get a copy of
            its earlier refusal for an answer.
        idle_since: When the last exchange ended, on the monotonic clock.
        idle_watch: Task that ends when data or a close arrives while the
            connection is idle.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answer_memory: body_memory.BodyMemoryBudget,
    ) -> None:
        """Initialize with the streams of an open connection."""
        self.reader = reader
        self.writer = writer
        self.answer_memory = answer_memory
        self.http = new_parser()
        self.exchange_count = 0
        self.refused_identifiers: set[str] = set()
        self.idle_since = clock.monotonic()
        self.idle_watch: asyncio.Task[None] | None = None

    async def exchange(
        self, outgoing: http_message.OutgoingRequest
    ) -> http_message.ReceivedAnswer:
        """Send a request and read its complete answer.

        Raises:
            TargetError: If there is none; the request may have run.
        """
        try:
            answer = await self.send_and_read(outgoing)
        except CONNECTION_ERRORS as error:
            detail = f'{type(error).__name__}: {error}'
            raise errors.TargetError(codes.ANSWER_BROKEN, detail) from error
        self.exchange_count += 1
        return answer

    async def send_and_read(
        self, outgoing: http_message.OutgoingRequest
    ) -> http_message.ReceivedAnswer:
        """Send a request and read answers until one matches it.

        A target may answer before it has read a long body. If a part of the
        body is not written then, the connection is not used again.
        """
        head = render_head(self.http, outgoing)
        body = memoryview(outgoing.body)
        self.writer.write(head + bytes(body[:WRITE_BYTES]))
        if len(body) <= WRITE_BYTES:
            return await self.read_matching_answer(outgoing)
        rest_task = asyncio.create_task(self.write_rest(body[WRITE_BYTES:]))
        try:
            answer = await self.read_matching_answer(outgoing)
        finally:
            is_written = rest_task.done()
            rest_task.cancel()
        if is_written:
            return answer
        return dataclasses.replace(answer, is_reusable=False)

    async def write_rest(self, body: memoryview) -> None:
        """Write the rest of a body, no faster than the target reads it.

        A copy in the buffer of the connection would take the memory of the
        body once more. A failure shows when the answer is read.
        """
        with contextlib.suppress(OSError):
            for start in range(0, len(body), WRITE_BYTES):
                await self.writer.drain()
                self.writer.write(body[start : start + WRITE_BYTES])

    async def read_matching_answer(
        self, outgoing: http_message.OutgoingRequest
    ) -> http_message.ReceivedAnswer:
        """Read answers until one matches the request."""
        for skipped_count in range(MAX_SKIPPED_HEADS):
            answer = await self.read_answer(outgoing.method)
            is_first = not self.exchange_count and not skipped_count
            if outgoing.matches(answer.status, answer.headers, is_first):
                return dataclasses.replace(answer, skipped_count=skipped_count)
            if not answer.is_reusable:
                raise h11.RemoteProtocolError('answer to another request')
            self.reset_parser(outgoing)
        raise h11.RemoteProtocolError('too many answers to other requests')

    def reset_parser(self, outgoing: http_message.OutgoingRequest) -> None:
        """Prepare for a further answer to the request that was sent.

        The previous one was a late answer to another request. The head is
        serialized again only to bring the new parser into the right state.
        """
        leftover, _ = self.http.trailing_data
        self.http = new_parser()
        render_head(self.http, outgoing)
        if leftover:
            self.http.receive_data(bytes(leftover))

    async def read_answer(self, method: bytes) -> http_message.ReceivedAnswer:
        """Read one complete answer to a request with a method."""
        for _ in range(MAX_SKIPPED_HEADS):
            head = await self.next_event()
            if not isinstance(head, h11.InformationalResponse):
                break
        if not isinstance(head, h11.Response):
            raise h11.RemoteProtocolError('no answer')
        if head.status_code > MAX_STATUS:
            raise h11.RemoteProtocolError(f'status {head.status_code}')
        if method != b'HEAD':
            check_stated_length(head)
        memory = body_memory.Reservation(self.answer_memory)
        reserve(memory, head_size(head))
        body = await self.read_body(memory)
        return self.build_answer(head, body, memory)

    async def read_body(self, memory: body_memory.Reservation) -> bytearray:
        """Read the body of an answer to its end."""
        body = bytearray()
        for _ in range(MAX_BODY_PIECES):
            event = await self.next_event()
            if not isinstance(event, h11.Data):
                return body
            if len(body) + len(event.data) > http_message.MAX_BODY_BYTES:
                raise h11.RemoteProtocolError('body too large')
            reserve(memory, len(event.data))
            body += event.data
        raise h11.RemoteProtocolError('body in too many pieces')

    def build_answer(
        self,
        head: h11.Response,
        body: bytearray,
        memory: body_memory.Reservation,
    ) -> http_message.ReceivedAnswer:
        """Return a complete answer."""
        states = (self.http.our_state, self.http.their_state)
        return http_message.ReceivedAnswer(
            status=head.status_code,
            headers=list(head.headers.raw_items()),
            body=body,
            is_reusable=states == (h11.DONE, h11.DONE),
            memory=memory,
        )

    async def next_event(self) -> typing.Any:
        """Return the next event of the parser."""
        event = self.http.next_event()
        while event is h11.NEED_DATA:
            self.http.receive_data(
                await self.reader.read(stream_limits.READ_BYTES)
            )
            # A read does not yield to other tasks while data is buffered.
            await asyncio.sleep(0)
            event = self.http.next_event()
        return event

    def start_idle(self) -> bool:
        """Prepare for the next request.

        Returns:
            Whether the connection is reusable: no data may have arrived
            behind the answer.
        """
        if self.http.trailing_data[0]:
            return False
        self.http.start_next_cycle()
        self.idle_since = clock.monotonic()
        self.idle_watch = asyncio.create_task(self.wait_for_unexpected_data())
        return True

    async def wait_for_unexpected_data(self) -> None:
        """Wait until the target closes or sends unexpected data."""
        with contextlib.suppress(ConnectionError):
            await self.reader.read(1)

    def add_unexpected_data_callback(
        self, callback: abc.Callable[[], None]
    ) -> None:
        """Call a function when data or a close arrives while idle."""
        if self.idle_watch is not None:
            self.idle_watch.add_done_callback(lambda _task: callback())

    async def stop_idle(self) -> bool:
        """Prepare an idle connection for sending.

        Returns:
            Whether it is still usable; a close or unexpected data while
            idle makes it unusable.
        """
        watch = self.idle_watch
        self.idle_watch = None
        if watch is None:
            return True
        watch.cancel()
        await asyncio.wait((watch,))
        return watch.cancelled()

    def close(self) -> None:
        """Close the connection at once.

        Bytes that the target has not taken are dropped: a target that only
        sends would keep the connection open.
        """
        if self.idle_watch is not None:
            self.idle_watch.cancel()
        self.writer.transport.abort()


def head_size(head: h11.Response) -> int:
    """Return the number of bytes in the headers of an answer."""
    return sum(
        len(name) + len(header_value)
        for name, header_value in head.headers.raw_items()
    )


def reserve(memory: body_memory.Reservation, size: int) -> None:
    """Reserve memory for a part of an answer.

    Raises:
        RemoteProtocolError: If there is none.
    """
    if not memory.try_extend(size):
        raise h11.RemoteProtocolError('no memory for the answer')


def check_stated_length(head: h11.Response) -> None:
    """Check the stated length of a body.

    Raises:
        RemoteProtocolError: If it is larger than any body may be.
    """
    stated_length = dict(head.headers).get(b'content-length', b'0')
    if int(stated_length) > http_message.MAX_BODY_BYTES:
        raise h11.RemoteProtocolError('stated length too large')


def new_parser() -> h11.Connection:
    """Return a parser for one exchange."""
    return h11.Connection(
        h11.CLIENT,
        max_incomplete_event_size=http_message.MAX_HEAD_BYTES,
    )


def render_head(
    http: h11.Connection, outgoing: http_message.OutgoingRequest
) -> bytes:
    """Return the serialized head of a request.

    The parser counts the body as sent. As the head states its length, it is
    written as it is.
    """
    head = h11.Request(
        method=outgoing.method,
        target=outgoing.target,
        headers=outgoing.headers,
    )
    rendered = http.send(head) or b''
    if outgoing.body:
        body = typing.cast(bytes, outgoing.body)
        http.send_with_data_passthrough(h11.Data(data=body))
    http.send(h11.EndOfMessage())
    return rendered


async def connect(
    host: str,
    port: int,
    timeout_seconds: float,
    answer_memory: body_memory.BodyMemoryBudget,
) -> TargetConnection:
    """Open a connection.

    Raises:
        TargetError: If it does not open in time; nothing was sent.
    """
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(
                host, port, limit=stream_limits.READ_BYTES
            )
    except OSError as error:
        detail = f'{type(error).__name__}: {error}'
        raise errors.TargetError(codes.TARGET_UNREACHABLE, detail) from error
    stream_limits.limit_reads(writer)
    return TargetConnection(reader, writer, answer_memory)
