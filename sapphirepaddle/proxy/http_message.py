"""A request as a target gets it, and its whole answer."""

import dataclasses
import typing
from collections import abc

from sapphirepaddle.proxy import header_codec

MatchFunction = abc.Callable[[int, header_codec.Headers], bool]


def match_any(_status: int, _headers: header_codec.Headers) -> bool:
    """Take every answer for an answer to this request."""
    return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingRequest:
    """A request to send.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers, with those that frame the body.
        body: The whole body.
        matches: Tells whether the head of an answer answers this request.
    """

    method: bytes
    target: bytes
    headers: header_codec.Headers
    body: bytes = b''
    matches: MatchFunction = match_any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedAnswer:
    """A whole answer.

    Attributes:
        status: HTTP status.
        headers: Headers in order.
        body: The whole body.
        is_reusable: Whether the connection takes another request.
    """

    status: int
    headers: header_codec.Headers
    body: bytes
    is_reusable: bool


MAX_HEAD_BYTES: typing.Final = 65536
"""Largest head of an answer."""
MAX_BODY_BYTES: typing.Final = 16777216
"""Largest body of an answer, which is held whole."""
