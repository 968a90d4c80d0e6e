"""The route object, which maps a path prefix to a service."""

import dataclasses
import typing

import pydantic

from sapphirepaddle.objects import kinds


@kinds.register('route')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Service and rules for the requests below a path prefix.

    Attributes:
        name: Unique name.
        prefix: Path prefix; the longest matching prefix is used.
        service: Name of the service.
        access: 'keyed' if requests need an API key, else 'open'.
        idempotent: Whether a request may run more than once.
        patience_ms: Milliseconds that a request waits for a free slot.
        deadline_ms: Milliseconds that a target may take to answer.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid')

    name: kinds.Name
    prefix: typing.Annotated[str, pydantic.Field(pattern='^/')]
    service: kinds.Name
    access: typing.Literal['keyed', 'open'] = 'keyed'
    idempotent: bool = True
    patience_ms: typing.Annotated[int, pydantic.Field(ge=0)] = 1000
    deadline_ms: typing.Annotated[int, pydantic.Field(ge=1)] = 5000
