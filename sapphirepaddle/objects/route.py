"""Routes: from a path prefix to a service."""

import dataclasses
import typing

import pydantic

from sapphirepaddle.objects import kinds


@kinds.register('route')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """What holds for the requests below a path prefix.

    Attributes:
        name: Unique name.
        prefix: Path prefix; the longest that matches wins.
        service: Name of the service.
        access: Whether a key is needed.
        idempotent: Whether a request may run more than once.
        patience_ms: How long a request waits for room, in milliseconds.
        deadline_ms: How long a target may take, in milliseconds.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid')

    name: kinds.Name
    prefix: typing.Annotated[str, pydantic.Field(pattern='^/')]
    service: kinds.Name
    access: typing.Literal['keyed', 'open'] = 'keyed'
    idempotent: bool = True
    patience_ms: typing.Annotated[int, pydantic.Field(ge=0)] = 1000
    deadline_ms: typing.Annotated[int, pydantic.Field(ge=1)] = 5000
