"""What a replay runs against."""

import pathlib
import typing

import pydantic

from sapphirepaddle import codes, errors
from sapphirepaddle.settings import base


class Account(base.Settings):
    """A client account of the replay.

    Attributes:
        key: A key of the account.
        rate: Its rate, to tell requests within it.
        burst: Its burst.
    """

    key: str
    rate: float
    burst: float


class Environment(base.Settings):
    """Running daemons and stand-ins.

    Attributes:
        callers: URLs of the daemons' callers' listeners.
        operators: URLs of the daemons' operators' listeners.
        operator_token: Token of an operator who may read.
        platform: Control URL of the platform stand-in.
        targets: Control URL of each target stand-in by name.
        accounts: Client accounts by name.
        orders: Path prefixes of routes that must not run twice.
    """

    callers: tuple[str, ...] = pydantic.Field(min_length=1)
    operators: tuple[str, ...] = ()
    operator_token: str = ''
    platform: str = ''
    targets: dict[str, str] = pydantic.Field(default_factory=dict)
    accounts: dict[str, Account]
    orders: tuple[str, ...] = ()


def read(path: pathlib.Path) -> Environment:
    """Read what a replay runs against.

    Raises:
        TraceError: If the file is malformed.
    """
    try:
        return Environment.model_validate_json(path.read_bytes())
    except (OSError, ValueError) as error:
        detail: typing.Any = f'{path}: {error}'
        raise errors.TraceError(codes.TRACE_INVALID, detail) from error
