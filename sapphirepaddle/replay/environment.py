"""The environment that a replay runs against."""

import pathlib
import typing

import pydantic

from sapphirepaddle import codes, errors
from sapphirepaddle.settings import base


class Account(base.Settings):
    """A client account of the replay.

    Attributes:
        key: Secret key of the account.
        rate: Requests per second; determines which requests are within it.
        burst: Requests that may come at once.
    """

    key: str
    rate: float
    burst: float


class Environment(base.Settings):
    """URLs and accounts of the running daemons and stand-ins.

    Attributes:
        callers: Base URLs of the daemons' listeners for callers.
        operators: Base URLs of the daemons' listeners for operators.
        operator_token: Token of an operator with read access.
        platform: Base URL of the platform stand-in.
        targets: Base URL of each target stand-in by target name.
        accounts: Client accounts by name.
        orders: Path prefixes of the routes of non-idempotent requests.
    """

    callers: tuple[str, ...] = pydantic.Field(min_length=1)
    operators: tuple[str, ...] = ()
    operator_token: str = ''
    platform: str = ''
    targets: dict[str, str] = pydantic.Field(default_factory=dict)
    accounts: dict[str, Account]
    orders: tuple[str, ...] = ()


def read(path: pathlib.Path) -> Environment:
    """Read an environment from a JSON file.

    Raises:
        TraceError: If the file cannot be read or is malformed.
    """
    try:
        return Environment.model_validate_json(path.read_bytes())
    except (OSError, ValueError) as error:
        detail: typing.Any = f'{path}: {error}'
        raise errors.TraceError(codes.TRACE_INVALID, detail) from error
