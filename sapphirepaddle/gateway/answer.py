"""Answers to requests of callers."""

import dataclasses
from collections import abc

from sapphirepaddle.gateway import head
from sapphirepaddle.proxy import body_memory


@dataclasses.dataclass(slots=True)
class Answer:
    """A complete answer, or the head of one whose body is streamed.

    Attributes:
        status: HTTP status code.
        headers: Headers for the caller.
        body: The complete body; empty if the body is streamed.
        stream: Chunks of the body if it is too large to be buffered.
        memory: Memory that is reserved for it; None if it is not counted.
    """

    status: int
    headers: list[head.Header]
    body: bytes = b''
    stream: abc.AsyncGenerator[bytes, None] | None = None
    memory: body_memory.Reservation | None = None
