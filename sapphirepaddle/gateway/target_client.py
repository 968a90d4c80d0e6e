"""HTTP client of one target."""

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
    headers,
    target_connection,
)

MILLISECONDS_PER_SECOND: typing.Final = 1000
HTTP_OK: typing.Final = 200
STATUSES_WITHOUT_BODY: typing.Final = frozenset((204, 304))
SHED_STATUS: typing.Final = 503
MAX_BUFFERED_BYTES: typing.Final = 262144
METHODS_WITHOUT_BODY: typing.Final = frozenset(('GET', 'HEAD'))

EXCHANGE_ERRORS: typing.Final = (
    exceptions.AiosonicError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    OSError,
    ValueError,
    cookies.CookieError,
)
"""Errors that aiosonic raises if no valid answer is received."""

Fault = attempt.Fault
AttemptFailedError = attempt.AttemptFailedError
Body = bytes | abc.AsyncIterator[bytes]


class TargetClient:
    """Sends requests to one target and checks its answers.

    Attributes:
        base_url: Base URL of the target.
        timeouts: Timeout for opening a connection.
        client: aiosonic client with its own connection pool.
        requires_echo: Whether answers must carry the request identifier.
    """

    def __init__(
        self,
        base_url: str,
        connect_seconds: float,
        max_connections: int,
        requires_echo: bool,
    ) -> None:
        """Create a client with a limited number of connections."""
        self.base_url = base_url
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

    async def send(self, request: 'OutgoingRequest') -> answer.Answer:
        """Run a request at the target.

        Args:
            request: The request; the state of its attempt is updated.

        Returns:
            The complete answer, or its head and a stream if it is large.

        Raises:
            AttemptFailedError: If there is no valid answer to this request
                before its timeout.
        """
        current_attempt = request.attempt
        attempt.CURRENT.set(current_attempt)
        try:
            async with asyncio.timeout(request.timeout_seconds):
                return await self.exchange_messages(request)
        except TimeoutError:
            raise AttemptFailedError(
                classify_fault(current_attempt, Fault.TIMEOUT)
            ) from None
        except EXCHANGE_ERRORS as error:
            fault = classify_fault(current_attempt, Fault.BROKEN)
            detail = type(error).__name__
            raise AttemptFailedError(fault, detail) from error

    async def exchange_messages(
        self, request: 'OutgoingRequest'
    ) -> answer.Answer:
        """Send the request and read the answer without a timeout."""
        body_seconds = request.attempt.body_seconds or request.timeout_seconds
        deadline = asyncio.get_running_loop().time() + body_seconds
        request.headers['X-Request-Id'] = request.attempt.identifier
        request.headers['X-Deadline-Ms'] = str(
            int(request.timeout_seconds * MILLISECONDS_PER_SECOND),
        )
        response = await self.client.request(
            self.base_url + request.url,
            request.method,
            headers=request.headers,
            data=outgoing_body(request),
            timeouts=self.timeouts,
            stream=True,
        )
        try:
            return await self.read_answer(response, request, deadline)
        except BaseException:
            if request.attempt.close_unowned is not None:
                request.attempt.close_unowned()
            await response.aclose()
            raise

    async def read_answer(
        self,
        response: client.HttpResponse,
        request: 'OutgoingRequest',
        deadline: float,
    ) -> answer.Answer:
        """Check the head of the answer and read or stream its body.

        Args:
            response: The answer whose head was read.
            request: The request.
            deadline: Time on the clock of the event loop at which the body
                must be complete.
        """
        self.check_answer(response, request)
        target_answer = answer.Answer(
            response.status_code,
            headers.filter_answer_headers(response.raw_headers),
        )
        if response.body or not has_body(response, request.method):
            target_answer.body = response.body
        else:
            await read_body(response.read_chunks(), target_answer, deadline)
        if target_answer.stream is not None and not request.accepts_stream:
            raise AttemptFailedError(Fault.BROKEN, 'body too large')
        return target_answer

    def check_answer(
        self, response: client.HttpResponse, request: 'OutgoingRequest'
    ) -> None:
        """Check that the answer belongs to this request and is valid.

        Raises:
            AttemptFailedError: If it belongs to another request, states
                that the request did not run or has no definite length.
        """
        echoed_identifier = response.headers.get('x-request-id')
        if echoed_identifier is None and self.requires_echo:
            raise AttemptFailedError(
                Fault.CROSSED, 'answer has no request identifier'
            )
        if (
            echoed_identifier is not None
            and echoed_identifier != request.attempt.identifier
        ):
            raise AttemptFailedError(
                Fault.CROSSED, 'answer has the identifier of another request'
            )
        if (
            response.status_code == SHED_STATUS
            and response.headers.get('x-not-run') == '1'
        ):
            is_draining = 'x-draining' in response.headers
            detail = attempt.DRAINING_DETAIL if is_draining else 'shed'
            raise AttemptFailedError(Fault.REFUSED, detail)
        check_answer_length(response, request.method)

    async def close(self) -> None:
        """Close the connections."""
        await self.client.aclose()


class OutgoingRequest:
    """A request as it is sent to one target.

    Attributes:
        method: HTTP method.
        url: Path and query.
        headers: Headers; the client adds identifier and deadline.
        body: The complete body or a stream of it.
        timeout_seconds: Time limit of the attempt.
        attempt: State of the attempt, updated while it runs.
        accepts_stream: Whether a large body may be streamed; if not, it is a
            fault.
    """

    def __init__(
        self,
        method: str,
        url: str,
        request_headers: dict[str, str],
        body: Body,
        timeout_seconds: float,
        current_attempt: attempt.Attempt,
    ) -> None:
        """Initialize the request."""
        self.method = method
        self.url = url
        self.headers = request_headers
        self.body = body
        self.timeout_seconds = timeout_seconds
        self.attempt = current_attempt
        self.accepts_stream = True


def outgoing_body(request: OutgoingRequest) -> Body | None:
    """Return the body in the form that aiosonic expects."""
    if isinstance(request.body, bytes):
        return request.body or None
    return apply_backpressure(request.body, request.attempt)


async def apply_backpressure(
    body_stream: abc.AsyncIterator[bytes],
    current_attempt: attempt.Attempt,
) -> abc.AsyncIterator[bytes]:
    """Yield a body no faster than the target reads it.

    aiosonic writes chunks without waiting for the send buffer to drain,
    which would buffer a large body in memory.
    """
    async for chunk in body_stream:
        yield chunk
        if current_attempt.drain is not None:
            await current_attempt.drain()


def classify_fault(current_attempt: attempt.Attempt, fault: Fault) -> Fault:
    """Return the fault; UNREACHABLE if no byte of the request was sent."""
    return fault if current_attempt.has_written else Fault.UNREACHABLE


def has_body(response: client.HttpResponse, method: str) -> bool:
    """Return whether the answer has a body."""
    status = response.status_code
    return method != 'HEAD' and status not in STATUSES_WITHOUT_BODY


def check_answer_length(response: client.HttpResponse, method: str) -> None:
    """Check that the end of the answer can be detected.

    Raises:
        AttemptFailedError: If the answer is an interim one, has no length
            and is delimited only by the end of its connection, or states
            different lengths.
    """
    if response.status_code < HTTP_OK:
        raise AttemptFailedError(
            Fault.BROKEN, f'interim answer with status {response.status_code}'
        )
    lengths = {
        value
        for name, value in response.raw_headers
        if name.lower() == 'content-length'
    }
    if len(lengths) > 1:
        raise AttemptFailedError(
            Fault.BROKEN, 'answer states different lengths'
        )
    if not has_body(response, method) or response.chunked:
        return
    if not lengths or not next(iter(lengths)).isdecimal():
        raise AttemptFailedError(Fault.BROKEN, 'answer has no length')


async def read_body(
    chunks: abc.AsyncGenerator[bytes, None],
    target_answer: answer.Answer,
    deadline: float,
) -> None:
    """Buffer a small body; turn a large one into a stream."""
    buffer = bytearray()
    async for chunk in chunks:
        buffer += chunk
        if len(buffer) > MAX_BUFFERED_BYTES:
            target_answer.stream = stream_remaining(
                bytes(buffer), chunks, deadline
            )
            return
    target_answer.body = bytes(buffer)


async def stream_remaining(
    buffered: bytes,
    chunks: abc.AsyncGenerator[bytes, None],
    deadline: float,
) -> abc.AsyncGenerator[bytes, None]:
    """Yield the buffered bytes, then the rest of the body.

    The time for which the caller does not read does not count against the
    deadline. Closing this generator before its end closes the connection.

    Raises:
        AttemptFailedError: If the body ends before its declared length or is
            not complete at the deadline.
    """
    loop = asyncio.get_running_loop()
    async with contextlib.aclosing(chunks):
        chunk: bytes | None = buffered
        while chunk is not None:
            passed_on_at = loop.time()
            yield chunk
            deadline += loop.time() - passed_on_at
            chunk = await next_chunk(chunks, deadline)


async def next_chunk(
    chunks: abc.AsyncGenerator[bytes, None], deadline: float
) -> bytes | None:
    """Return the next chunk of a body, or None at its end.

    Raises:
        AttemptFailedError: If there is none before the deadline or the body
            ends before its declared length.
    """
    if asyncio.get_running_loop().time() >= deadline:
        raise AttemptFailedError(Fault.TIMEOUT, 'body not complete')
    try:
        async with asyncio.timeout_at(deadline):
            return await anext(chunks, None)
    except TimeoutError as error:
        raise AttemptFailedError(Fault.TIMEOUT, 'body not complete') from error
    except EXCHANGE_ERRORS as error:
        raise AttemptFailedError(Fault.BROKEN, 'body ended early') from error
