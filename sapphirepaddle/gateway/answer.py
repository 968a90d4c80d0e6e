"""Answers of targets."""

import dataclasses
from collections import abc

from sapphirepaddle.gateway import head


@dataclasses.dataclass(slots=True)
class Answer:
    """A whole answer, or the head of one whose body is still coming.

    Attributes:
        status: HTTP status.
        headers: Headers for the caller.
        body: The whole body, or the empty string while it streams.
        stream: Chunks of the body, if it is too large to be held.
    """

    status: int
    headers: list[head.Header]
    body: bytes = b''
    stream: abc.AsyncGenerator[bytes, None] | None = None
