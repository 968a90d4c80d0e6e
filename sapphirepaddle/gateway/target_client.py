"""Sending one request to one target and reading its whole answer."""

import asyncio
import contextlib
import typing
from collections import abc
from http import cookies

import aiosonic
from aiosonic import client, connectors, exceptions, pools, timeout

from sapphirepaddle.gateway import (
    answer,
    attempt,
    target_connection,
    headers,
)

MILLISECONDS_PER_SECOND: typing.Final = 1000
HTTP_OK: typing.Final = 200
STATUSES_WITHOUT_BODY: typing.Final = frozenset((204, 304))
SHED_STATUS: typing.Final = 503
MAX_BUFFERED_BYTES: typing.Final = 262144
METHODS_WITHOUT_BODY: typing.Final = frozenset(('GET', 'HEAD'))

FAILURES: typing.Final = (
    exceptions.AiosonicError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    OSError,
    ValueError,
    cookies.CookieError,
)
Fault = attempt.Fault
AttemptFailedError = attempt.AttemptFailedError
Body = bytes | abc.AsyncIterator[bytes]


class TargetClient:
    """HTTP client of one target.

    Attributes:
        base: Start of its URLs.
        timeouts: Limit of opening a connection.
        client: The library's client, with connections of this target only.
        echo: Whether answers must carry the request identifier.
    """

    def __init__(
        self,
        base: str,
        connect_seconds: float,
        max_connections: int,
        requires_echo: bool,
    ) -> None:
        """Create a client with a bound on its connections."""
        self.base_url = base
        self.timeouts = timeout.Timeouts(connect_seconds, None, None, None)
        pool = pools.PoolConfig(size=max_connections, max_conn_requests=None)
        self.client = aiosonic.HTTPClient(
            connectors.TCPConnector(
                pool_configs={':default': pool},
                timeouts=self.timeouts,
                connection_cls=target_connection.TargetConnection,
            ),
        )
        self.requires_echo = requires_echo

    async def send(self, sending: 'OutgoingRequest') -> answer.Answer:
        """Run a request at the target.

        Args:
            sending: The request; its attempt is filled in.

        Returns:
            The whole answer, or its head and a stream if it is large.

        Raises:
            AttemptFailedError: If there is no whole answer to this request.
        """
        running = sending.attempt
        attempt.CURRENT.set(running)
        try:
            async with asyncio.timeout(sending.timeout_seconds):
                return await self.exchange_messages(sending)
        except TimeoutError:
            raise AttemptFailedError(
                classify_fault(running, Fault.TIMEOUT)
            ) from None
        except FAILURES as error:
            fault = classify_fault(running, Fault.BROKEN)
            detail = type(error).__name__
            raise AttemptFailedError(fault, detail) from error

    async def exchange_messages(
        self, sending: 'OutgoingRequest'
    ) -> answer.Answer:
        """Send the request and read the answer without a limit of time."""
        sending.headers['X-Request-Id'] = sending.attempt.identifier
        sending.headers['X-Deadline-Ms'] = str(
            int(sending.timeout_seconds * MILLISECONDS_PER_SECOND),
        )
        reply = await self.client.request(
            self.base_url + sending.url,
            sending.method,
            headers=sending.headers,
            data=outgoing_body(sending),
            timeouts=self.timeouts,
            stream=True,
        )
        try:
            return await self.read_answer(reply, sending)
        except BaseException:
            await reply.aclose()
            raise

    async def read_answer(
        self,
        reply: client.HttpResponse,
        sending: 'OutgoingRequest',
    ) -> answer.Answer:
        """Check the head of the answer and read its body."""
        self.check_answer(reply, sending)
        received = answer.Answer(
            reply.status_code,
            headers.filter_answer_headers(reply.raw_headers),
        )
        if reply.body or not has_body(reply, sending.method):
            received.body = reply.body
        else:
            await read_body(reply.read_chunks(), received)
        return received

    def check_answer(
        self, reply: client.HttpResponse, sending: 'OutgoingRequest'
    ) -> None:
        """Refuse an answer that is not a whole answer to this request.

        Raises:
            AttemptFailedError: If it states "not run", belongs to another
                request or has no certain length.
        """
        echoed = reply.headers.get('x-request-id')
        if echoed is None and self.requires_echo:
            raise AttemptFailedError(Fault.CROSSED, 'no identifier')
        if echoed is not None and echoed != sending.attempt.identifier:
            raise AttemptFailedError(Fault.CROSSED, 'other identifier')
        if (
            reply.status_code == SHED_STATUS
            and reply.headers.get('x-not-run') == '1'
        ):
            draining = 'x-draining' in reply.headers
            detail = attempt.DRAINING_DETAIL if draining else 'shed'
            raise AttemptFailedError(Fault.REFUSED, detail)
        check_answer_length(reply, sending.method)

    async def close(self) -> None:
        """Close the connections."""
        await self.client.aclose()


class OutgoingRequest:
    """A request as it is sent to one target.

    Attributes:
        method: HTTP method.
        url: Path and query.
        headers: Headers; the client adds identifier and deadline.
        body: The whole body or a stream of it.
        seconds: Time until the deadline.
        attempt: What is known of the attempt.
    """

    def __init__(
        self,
        method: str,
        url: str,
        sent_headers: dict[str, str],
        body: Body,
        seconds: float,
        running: attempt.Attempt,
    ) -> None:
        """Store the parts."""
        self.method = method
        self.url = url
        self.headers = sent_headers
        self.body = body
        self.timeout_seconds = seconds
        self.attempt = running


def outgoing_body(sending: OutgoingRequest) -> Body | None:
    """Return the body as the library takes it."""
    if isinstance(sending.body, bytes):
        return sending.body or None
    return apply_backpressure(sending.body, sending.attempt)


async def apply_backpressure(
    stream: abc.AsyncIterator[bytes],
    running: attempt.Attempt,
) -> abc.AsyncIterator[bytes]:
    """Yield a body no faster than its target takes it.

    The library writes without waiting, which would hold a large body in
    memory.
    """
    async for chunk in stream:
        yield chunk
        if running.drain is not None:
            await running.drain()


def classify_fault(running: attempt.Attempt, fault: Fault) -> Fault:
    """Return the fault, or "unreachable" if no byte left."""
    return fault if running.has_written else Fault.UNREACHABLE


def has_body(reply: client.HttpResponse, method: str) -> bool:
    """Tell whether the answer has a body to read."""
    status = reply.status_code
    return method != 'HEAD' and status not in STATUSES_WITHOUT_BODY


def check_answer_length(reply: client.HttpResponse, method: str) -> None:
    """Refuse an answer whose end cannot be known.

    Raises:
        AttemptFailedError: If it is an interim answer, ends only with its
            connection or states two lengths.
    """
    if reply.status_code < HTTP_OK:
        raise AttemptFailedError(Fault.BROKEN, 'interim answer')
    lengths = {
        value
        for name, value in reply.raw_headers
        if name.lower() == 'content-length'
    }
    if len(lengths) > 1:
        raise AttemptFailedError(Fault.BROKEN, 'two lengths')
    if not has_body(reply, method) or reply.chunked:
        return
    if not lengths or not next(iter(lengths)).isdecimal():
        raise AttemptFailedError(Fault.BROKEN, 'no length')


async def read_body(
    chunks: abc.AsyncGenerator[bytes, None],
    received: answer.Answer,
) -> None:
    """Read a body whole if it is small, else leave the rest as a stream."""
    held = bytearray()
    async for chunk in chunks:
        held += chunk
        if len(held) > MAX_BUFFERED_BYTES:
            received.stream = stream_remaining(bytes(held), chunks)
            return
    received.body = bytes(held)


async def stream_remaining(
    held: bytes,
    chunks: abc.AsyncGenerator[bytes, None],
) -> abc.AsyncGenerator[bytes, None]:
    """Yield what was held, then the rest of the body.

    Closing this generator before its end closes the connection.

    Raises:
        AttemptFailedError: If the body ends before its stated end.
    """
    async with contextlib.aclosing(chunks):
        yield held
        try:
            async for chunk in chunks:
                yield chunk
        except FAILURES as error:
            raise AttemptFailedError(Fault.BROKEN, 'cut short') from error
