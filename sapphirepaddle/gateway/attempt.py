"""One attempt to run a request at a target."""

import contextvars
import dataclasses
import enum
import typing
from collections import abc


class Fault(enum.Enum):
    """Why an attempt gave no whole answer."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    TIMEOUT = 'timeout'
    BROKEN = 'broken'
    CROSSED = 'crossed'


NOT_RUN_FAULTS: typing.Final = frozenset((Fault.UNREACHABLE, Fault.REFUSED))
"""Faults after which the request provably did not run."""


DRAINING_DETAIL: typing.Final = 'draining'
"""Detail of a refusal by a target that drains."""


class AttemptFailedError(Exception):
    """An attempt gave no whole answer.

    Attributes:
        fault: Why.
        detail: What was met.
    """

    def __init__(self, fault: Fault, detail: str = '') -> None:
        """Store the fault and the detail."""
        super().__init__(f'{fault.value}: {detail}')
        self.fault = fault
        self.detail = detail

    @property
    def not_run(self) -> bool:
        """Tell whether the request provably did not run."""
        return self.fault in NOT_RUN_FAULTS


@dataclasses.dataclass(slots=True)
class Attempt:
    """What is known of one attempt while it runs.

    Attributes:
        identifier: Identifier sent to the target and compared on return.
        written: Whether a byte of the request may have left.
        in_head: Whether the head of the answer is being read.
        head_bytes: Bytes of the answer's head read so far.
        drain: Waits until the send buffer of the connection has room.
    """

    identifier: str
    has_written: bool = False
    is_reading_head: bool = False
    head_bytes: int = 0
    drain: abc.Callable[[], abc.Awaitable[None]] | None = None


CURRENT: contextvars.ContextVar[Attempt | None] = contextvars.ContextVar(
    'attempt',
    default=None,
)
"""The attempt that the running task makes."""
