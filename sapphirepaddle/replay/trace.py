"""Recorded traces: JSON lines of requests, faults and stated outcomes.

The first line is the head; every other line is a request or a fault. Times
are in seconds from the start of the trace.
"""

import pathlib
import typing

import pydantic

from sapphirepaddle import codes, errors
from sapphirepaddle.settings import base

Json = dict[str, typing.Any]


class Head(base.Settings):
    """First line of a trace, with its scores and stated outcomes.

    Attributes:
        trace: Name of the trace.
        deployment: Directory of the sample configuration of the trace.
        seconds: Duration of the trace.
        read_score: Units for each read served.
        order_score: Units for each non-idempotent request executed exactly
            once.
        outcomes: Bounds of the stated outcomes by name.
    """

    trace: str
    deployment: str = ''
    seconds: float = pydantic.Field(gt=0)
    read_score: float = 1
    order_score: float = 2
    outcomes: dict[str, float] = pydantic.Field(default_factory=dict)


class Request(base.Settings):
    """A request of a trace.

    Attributes:
        at: Time of sending.
        account: Client account whose key the request carries.
        method: HTTP method.
        path: Path and query.
        size: Size of the body in bytes.
        order: Idempotency key; empty for none.
        daemon: Index of the daemon to send to, modulo the number of daemons;
            round robin if None.
    """

    at: float = pydantic.Field(ge=0)
    account: str
    method: str = 'GET'
    path: str
    size: int = pydantic.Field(0, ge=0)
    order: str = ''
    daemon: int | None = None


class Fault(base.Settings):
    """A change of the faults in force.

    Attributes:
        at: Time of the change.
        target: Target whose modes are replaced.
        platform: Whether the faults of the platform are replaced instead.
        modes: New modes or faults; empty to end them.
    """

    at: float = pydantic.Field(ge=0)
    target: str = ''
    platform: bool = False
    modes: Json = pydantic.Field(default_factory=dict)


LINE_ADAPTER: typing.Final[pydantic.TypeAdapter[Request | Fault]] = (
    pydantic.TypeAdapter(Request | Fault)
)


class Trace:
    """A trace in memory.

    Attributes:
        head: First line of the file.
        requests: Requests sorted by time.
        faults: Faults sorted by time.
    """

    def __init__(
        self,
        head: Head,
        lines: typing.Iterable[Request | Fault],
    ) -> None:
        """Initialize a trace from its lines, in any order."""
        self.head = head
        sorted_lines = sorted(lines, key=lambda line: line.at)
        self.requests = [
            line for line in sorted_lines if isinstance(line, Request)
        ]
        self.faults = [line for line in sorted_lines if isinstance(line, Fault)]


def read(path: pathlib.Path) -> Trace:
    """Read a trace from a file.

    Raises:
        TraceError: If the file cannot be read or is empty, or if a line is
            malformed; for a line, the detail names the file and its number.
    """
    try:
        lines = path.read_text(encoding='utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.TraceError(codes.TRACE_INVALID, str(error)) from error
    if not lines:
        raise errors.TraceError(
            codes.TRACE_INVALID,
            f'{path}: the file is empty; a head line is required',
        )
    head = parse(Head.model_validate_json, lines[0], f'{path}:1')
    return Trace(
        head,
        [
            parse(LINE_ADAPTER.validate_json, line, f'{path}:{number}')
            for number, line in enumerate(lines[1:], 2)
            if line.strip()
        ],
    )


def parse(
    validate: typing.Callable[[str], typing.Any],
    line: str,
    location: str,
) -> typing.Any:
    """Parse one line.

    Args:
        validate: Parser and validator of the line.
        line: JSON text.
        location: File and line number, for the error message.

    Raises:
        TraceError: If the line is malformed.
    """
    try:
        return validate(line)
    except pydantic.ValidationError as error:
        first_error = error.errors(include_input=False, include_url=False)[0]
        raise errors.TraceError(
            codes.TRACE_INVALID,
            f'{location}: {first_error["loc"]}: {first_error["msg"]}',
        ) from error
