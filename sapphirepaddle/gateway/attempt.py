"""State and failures of one attempt to run a request at a target."""

import contextvars
import dataclasses
import enum
import typing
from collections import abc


class Fault(enum.Enum):
    """Why an attempt yielded no complete answer.

    Attributes:
        UNREACHABLE: No byte of the request was sent.
        REFUSED: The target states that it did not run the request.
        TIMEOUT: No complete answer arrived in time.
        BROKEN: The answer is malformed or truncated, or the connection
            failed.
        CROSSED: The answer carries the identifier of another request, or
            none although the service requires it.
    """

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    TIMEOUT = 'timeout'
    BROKEN = 'broken'
    CROSSED = 'crossed'


NOT_RUN_FAULTS: typing.Final = frozenset((Fault.UNREACHABLE, Fault.REFUSED))
"""Faults that prove that the target did not run the request."""


DRAINING_DETAIL: typing.Final = 'draining'
"""Error detail when a draining target refuses a request."""


class AttemptFailedError(Exception):
    """An attempt yielded no complete answer.

    Attributes:
        fault: Kind of the failure.
        detail: Description of the failure, for logs.
    """

    def __init__(self, fault: Fault, detail: str = '') -> None:
        """Initialize the error."""
        super().__init__(f'{fault.value}: {detail}')
        self.fault = fault
        self.detail = detail

    @property
    def not_run(self) -> bool:
        """Return whether the request provably did not run."""
        return self.fault in NOT_RUN_FAULTS


@dataclasses.dataclass(slots=True)
class Attempt:
    """State of one attempt in progress.

    Attributes:
        identifier: Identifier sent to the target; an answer with another
            one is rejected.
        body_seconds: Time limit of a streamed body, from the start of the
            attempt; None for that of the attempt. Unlike the attempt, a body
            that is passed on already cannot be retried.
        has_written: Whether any byte of the request may have been sent.
        is_reading_head: Whether the head of the answer is being read.
        head_bytes: Bytes of the answer's head read so far.
        drain: Waits until the send buffer of the connection has space;
            None before the first write.
        close_unowned: Closes the connection unless a request owns it; None
            before the first write.
    """

    identifier: str
    body_seconds: float | None = None
    has_written: bool = False
    is_reading_head: bool = False
    head_bytes: int = 0
    drain: abc.Callable[[], abc.Awaitable[None]] | None = None
    close_unowned: abc.Callable[[], None] | None = None


CURRENT: contextvars.ContextVar[Attempt | None] = contextvars.ContextVar(
    'attempt',
    default=None,
)
"""The attempt that the current task is making."""
