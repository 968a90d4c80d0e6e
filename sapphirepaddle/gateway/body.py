"""Reading the body of a caller's request."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.gateway import head, header_names, target_client
from sapphirepaddle.settings import entry

Receive = abc.Callable[
    [], abc.Awaitable[typing.MutableMapping[str, typing.Any]]
]
TOO_LARGE: typing.Final = codes.BODY_TOO_LARGE


async def read(
    request: head.Head,
    receive: Receive,
    limits: entry.CallerLimits,
) -> target_client.Body:
    """Read a small body whole, or return a stream of a large one.

    Args:
        request: The request head.
        receive: ASGI's receive function.
        limits: Bounds on bodies.

    Raises:
        RefusedError: If the body is over the limit or the caller left.
    """
    if not request.has_body():
        return b''
    check_declared_length(request, limits)
    held = bytearray()
    while len(held) <= limits.buffer_bytes:
        message = await receive_in_time(receive, limits.body_seconds)
        held += extract_chunk(message)
        if not message.get('more_body', False):
            return bytes(held)
    return stream(bytes(held), receive, limits.body_bytes)


async def receive_in_time(
    receive: Receive,
    seconds: float,
) -> abc.Mapping[str, typing.Any]:
    """Return the next ASGI message.

    Raises:
        RefusedError: If it does not come in time.
    """
    try:
        async with asyncio.timeout(seconds):
            return await receive()
    except TimeoutError:
        raise errors.RefusedError(codes.BODY_TIMEOUT) from None


def check_declared_length(
    request: head.Head, limits: entry.CallerLimits
) -> None:
    """Refuse a stated length over the limit, and a body on a GET.

    Raises:
        RefusedError: If it is.
    """
    if request.method in target_client.METHODS_WITHOUT_BODY:
        raise errors.RefusedError(codes.REQUEST_MALFORMED, 'GET with a body')
    length = request.first_values.get(header_names.CONTENT_LENGTH, b'0')
    if int(length) > limits.body_bytes:
        raise errors.RefusedError(TOO_LARGE)


def extract_chunk(message: abc.Mapping[str, typing.Any]) -> bytes:
    """Return the bytes of one ASGI message.

    Raises:
        RefusedError: If the caller left.
    """
    if message['type'] == 'http.disconnect':
        raise errors.RefusedError(codes.CALLER_GONE)
    return message.get('body', b'')


async def stream(
    held: bytes,
    receive: Receive,
    limit: int,
) -> abc.AsyncIterator[bytes]:
    """Yield a body part by part, as the target takes it.

    Raises:
        RefusedError: If the body grows over the limit or the caller left.
    """
    total = len(held)
    yield held
    more = True
    while more:
        message = await receive()
        chunk = extract_chunk(message)
        total += len(chunk)
        if total > limit:
            raise errors.RefusedError(codes.BODY_TOO_LARGE_SENT)
        if chunk:
            yield chunk
        more = message.get('more_body', False)
