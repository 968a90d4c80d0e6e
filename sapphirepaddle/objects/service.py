"""The service object, a group of interchangeable targets."""

import dataclasses
import typing

import pydantic

from sapphirepaddle.objects import kinds

MAX_SLOTS: typing.Final = 10000


@kinds.register('service')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service and the properties that its targets share.

    Attributes:
        name: Unique name.
        slots: Requests that one target runs concurrently.
        floor: Share of all slots that must stay in the routing set.
        connections: Connections that one target accepts from all VMs
            together.
        probe_path: Path of the health endpoint of a target.
        echo: Whether answers must carry the request identifier; an answer
            without it is rejected.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid')

    name: kinds.Name
    slots: typing.Annotated[int, pydantic.Field(ge=1, le=MAX_SLOTS)]
    floor: typing.Annotated[float, pydantic.Field(ge=0, le=1)] = 0.5
    connections: typing.Annotated[int, pydantic.Field(ge=1)] = 330
    probe_path: typing.Annotated[str, pydantic.Field(pattern='^/')] = '/health'
    echo: bool = False
