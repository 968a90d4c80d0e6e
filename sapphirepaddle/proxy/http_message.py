"""A request to a target and its complete answer."""

import dataclasses
import typing
from collections import abc

from sapphirepaddle.proxy import body_memory, header_codec

MatchFunction = abc.Callable[[int, header_codec.Headers, bool], bool]


def match_any(
    _status: int, _headers: header_codec.Headers, _is_first: bool
) -> bool:
    """Accept every answer as the answer to the request."""
    return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingRequest:
    """A request to send.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers, including those that frame the body.
        body: The complete body.
        matches: Returns whether an answer belongs to this request, from its
            status, its headers and whether it is the first one on its
            connection.
    """

    method: bytes
    target: bytes
    headers: header_codec.Headers
    body: bytes | bytearray = b''
    matches: MatchFunction = match_any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedAnswer:
    """A complete answer.

    Attributes:
        status: HTTP status.
        headers: Headers in order.
        body: The complete body.
        is_reusable: Whether the connection accepts another request.
        memory: Memory that is reserved for it; None if it is not counted.
        skipped_count: Number of answers to other requests that arrived on the
            connection before it, since the request was sent.
    """

    status: int
    headers: header_codec.Headers
    body: bytes | bytearray
    is_reusable: bool
    memory: body_memory.Reservation | None = None
    skipped_count: int = 0


MAX_HEAD_BYTES: typing.Final = 65536
"""Maximum size of the head of an answer."""
MAX_BODY_BYTES: typing.Final = 16777216
"""Maximum size of the body of an answer, which is buffered whole."""
