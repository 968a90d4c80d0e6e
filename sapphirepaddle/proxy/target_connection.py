"""A connection to a target: one request at a time, complete answers only."""

import asyncio
import contextlib
import typing
from collections import abc

import h11

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.proxy import http_message

READ_BYTES: typing.Final = 65536
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
        http: Parser and serializer of the exchange.
        idle_since: When the last exchange ended, on the monotonic clock.
        idle_watch: Task that ends when data or a close arrives while the
            connection is idle.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Initialize with the streams of an open connection."""
        self.reader = reader
        self.writer = writer
        self.http = new_parser()
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
            return await self.send_and_read(outgoing)
        except CONNECTION_ERRORS as error:
            detail = f'{type(error).__name__}: {error}'
            raise errors.TargetError(codes.ANSWER_BROKEN, detail) from error

    async def send_and_read(
        self, outgoing: http_message.OutgoingRequest
    ) -> http_message.ReceivedAnswer:
        """Send a request and read answers until one matches it."""
        self.writer.write(render(self.http, outgoing))
        while True:
            answer = await self.read_answer()
            if outgoing.matches(answer.status, answer.headers):
                return answer
            if not answer.is_reusable:
                raise h11.RemoteProtocolError('answer to another request')
            self.reset_parser(outgoing)

    def reset_parser(self, outgoing: http_message.OutgoingRequest) -> None:
        """Prepare for a further answer to the request that was sent.

        The previous one was a late answer to another request. The request is
        serialized again only to bring the new parser into the right state.
        """
        leftover, _ = self.http.trailing_data
        self.http = new_parser()
        render(self.http, outgoing)
        if leftover:
            self.http.receive_data(bytes(leftover))

    async def read_answer(self) -> http_message.ReceivedAnswer:
        """Read one complete answer."""
        head = await self.next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self.next_event()
        if not isinstance(head, h11.Response):
            raise h11.RemoteProtocolError('closed without an answer')
        return self.build_answer(head, await self.read_body())

    async def read_body(self) -> bytes:
        """Read the body of an answer to its end."""
        parts: list[bytes] = []
        size = 0
        event = await self.next_event()
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > http_message.MAX_BODY_BYTES:
                raise h11.RemoteProtocolError('body too large')
            event = await self.next_event()
        return b''.join(parts)

    def build_answer(
        self, head: h11.Response, body: bytes
    ) -> http_message.ReceivedAnswer:
        """Return a complete answer."""
        states = (self.http.our_state, self.http.their_state)
        return http_message.ReceivedAnswer(
            status=head.status_code,
            headers=list(head.headers.raw_items()),
            body=body,
            is_reusable=states == (h11.DONE, h11.DONE),
        )

    async def next_event(self) -> typing.Any:
        """Return the next event of the parser."""
        event = self.http.next_event()
        while event is h11.NEED_DATA:
            self.http.receive_data(await self.reader.read(READ_BYTES))
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
        """Close the connection."""
        if self.idle_watch is not None:
            self.idle_watch.cancel()
        self.writer.close()


def new_parser() -> h11.Connection:
    """Return a parser for one exchange."""
    return h11.Connection(
        h11.CLIENT,
        max_incomplete_event_size=http_message.MAX_HEAD_BYTES,
    )


def render(
    http: h11.Connection, outgoing: http_message.OutgoingRequest
) -> bytes:
    """Return the serialized request."""
    head = h11.Request(
        method=outgoing.method,
        target=outgoing.target,
        headers=outgoing.headers,
    )
    parts = [http.send(head)]
    if outgoing.body:
        parts.append(http.send(h11.Data(data=outgoing.body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b''.join(filter(None, parts))


async def connect(
    host: str, port: int, timeout_seconds: float
) -> TargetConnection:
    """Open a connection.

    Raises:
        TargetError: If it does not open in time; nothing was sent.
    """
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(host, port)
    except OSError as error:
        detail = f'{type(error).__name__}: {error}'
        raise errors.TargetError(codes.TARGET_UNREACHABLE, detail) from error
    return TargetConnection(reader, writer)
