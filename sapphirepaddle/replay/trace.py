"""Recorded traces: JSON lines of requests, faults and stated outcomes.

The first line is the head; each other line is a request or a fault. Times
are seconds from the start of the trace.
"""

import pathlib
import typing

import pydantic

from sapphirepaddle import codes, errors
from sapphirepaddle.settings import base

Json = dict[str, typing.Any]


class Head(base.Settings):
    """First line of a trace.

    Attributes:
        trace: Name of the trace.
        deployment: Folder of the sample configuration it was recorded for.
        seconds: Length of the trace.
        read_score: Units counted for each read served.
        order_score: Units counted for each order run exactly once.
        outcomes: Stated outcomes: bounds by name of the outcome.
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
        at: When it is sent.
        account: Client account whose key it carries.
        method: HTTP method.
        path: Path and query.
        size: Bytes of its body.
        order: Idempotency key; empty for none.
        daemon: Which daemon gets it, counted round; by turn if not given.
    """

    at: float = pydantic.Field(ge=0)
    account: str
    method: str = 'GET'
    path: str
    size: int = pydantic.Field(0, ge=0)
    order: str = ''
    daemon: int | None = None


class Fault(base.Settings):
    """A fault of a trace.

    Attributes:
        at: When it starts or ends.
        target: Target whose modes are replaced.
        platform: Whether the platform's faults are replaced.
        modes: The new modes or faults.
    """

    at: float = pydantic.Field(ge=0)
    target: str = ''
    platform: bool = False
    modes: Json = pydantic.Field(default_factory=dict)


LINE: typing.Final[pydantic.TypeAdapter[Request | Fault]] = (
    pydantic.TypeAdapter(Request | Fault)
)


class Trace:
    """A whole trace.

    Attributes:
        head: Its first line.
        requests: Its requests by time.
        faults: Its faults by time.
    """

    def __init__(
        self,
        head: Head,
        lines: typing.Iterable[Request | Fault],
    ) -> None:
        """Sort the lines by time."""
        self.head = head
        ordered = sorted(lines, key=lambda line: line.at)
        self.requests = [line for line in ordered if isinstance(line, Request)]
        self.faults = [line for line in ordered if isinstance(line, Fault)]


def read(path: pathlib.Path) -> Trace:
    """Read a trace.

    Raises:
        TraceError: If a line cannot be read; the detail names it.
    """
    try:
        lines = path.read_text(encoding='utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.TraceError(codes.TRACE_INVALID, str(error)) from error
    if not lines:
        raise errors.TraceError(codes.TRACE_INVALID, f'{path}: empty')
    head = parse(Head.model_validate_json, lines[0], f'{path}:1')
    return Trace(
        head,
        [
            parse(LINE.validate_json, line, f'{path}:{number}')
            for number, line in enumerate(lines[1:], 2)
            if line.strip()
        ],
    )


def parse(
    validate: typing.Callable[[str], typing.Any],
    line: str,
    place: str,
) -> typing.Any:
    """Read one line.

    Raises:
        TraceError: If it is malformed.
    """
    try:
        return validate(line)
    except pydantic.ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        raise errors.TraceError(
            codes.TRACE_INVALID,
            f'{place}: {first["loc"]}: {first["msg"]}',
        ) from error
