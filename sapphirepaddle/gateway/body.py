"""Reading of request bodies from callers."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.gateway import (
    caller_connection,
    head,
    header_names,
    target_client,
)
from sapphirepaddle.settings import entry

Receive = abc.Callable[
    [], abc.Awaitable[typing.MutableMapping[str, typing.Any]]
]
TOO_LARGE: typing.Final = codes.BODY_TOO_LARGE


async def read(
    request_head: head.Head,
    receive: Receive,
    limits: entry.CallerLimits,
) -> target_client.Body:
    """Return a small body as bytes, or a large one as a stream.

    Args:
        request_head: Head of the request.
        receive: The ASGI receive function.
        limits: Size and time limits of bodies.

    Raises:
        RefusedError: If the body is too large, comes with a GET or HEAD, has
            a transfer coding other than chunked, does not arrive in time or
            the caller disconnected.
    """
    if not request_head.has_body():
        return b''
    check_coding(request_head)
    check_declared_length(request_head, limits)
    buffer = bytearray()
    while len(buffer) <= limits.buffer_bytes:
        message = await receive_in_time(receive, limits.body_seconds)
        buffer += extract_chunk(message)
        if not message.get('more_body', False):
            return bytes(buffer)
    return stream(bytes(buffer), receive, limits.body_bytes)


async def receive_in_time(
    receive: Receive,
    timeout_seconds: float,
) -> abc.Mapping[str, typing.Any]:
    """Return the next ASGI message.

    Raises:
        RefusedError: If no message arrives within the timeout.
    """
    try:
        async with asyncio.timeout(timeout_seconds):
            return await receive()
    except TimeoutError:
        raise errors.RefusedError(codes.BODY_TIMEOUT) from None


def check_coding(request_head: head.Head) -> None:
    """Check that a body has no transfer coding besides chunked.

    Raises:
        RefusedError: If it has; the target could not decode it, as only the
            body is passed on.
    """
    if caller_connection.has_unknown_coding(request_head.headers):
        raise errors.RefusedError(codes.TRANSFER_CODING_UNKNOWN)


def check_declared_length(
    request_head: head.Head, limits: entry.CallerLimits
) -> None:
    """Check the method and the declared length of a request with a body.

    Raises:
        RefusedError: If the method takes no body or the declared length
            is over the limit.
    """
    if request_head.method in target_client.METHODS_WITHOUT_BODY:
        raise errors.RefusedError(
            codes.REQUEST_MALFORMED,
            f'{request_head.method} request with a body',
        )
    length = request_head.first_values.get(header_names.CONTENT_LENGTH, b'0')
    if int(length) > limits.body_bytes:
        raise errors.RefusedError(TOO_LARGE)


def extract_chunk(message: abc.Mapping[str, typing.Any]) -> bytes:
    """Return the body bytes of one ASGI message.

    Raises:
        RefusedError: If the caller disconnected.
    """
    if message['type'] == 'http.disconnect':
        raise errors.RefusedError(codes.CALLER_GONE)
    return message.get('body', b'')


async def stream(
    buffered: bytes,
    receive: Receive,
    max_bytes: int,
) -> abc.AsyncIterator[bytes]:
    """Yield the buffered bytes, then the rest of the body as it arrives.

    Raises:
        RefusedError: If the body exceeds the limit or the caller
            disconnected.
    """
    total_bytes = len(buffered)
    yield buffered
    has_more = True
    while has_more:
        message = await receive()
        chunk = extract_chunk(message)
        total_bytes += len(chunk)
        if total_bytes > max_bytes:
            raise errors.RefusedError(codes.BODY_TOO_LARGE_SENT)
        if chunk:
            yield chunk
        has_more = message.get('more_body', False)
