"""The target object, an instance that runs requests."""

import dataclasses
import typing

import pydantic

from sapphirepaddle.objects import kinds

MAX_PORT: typing.Final = 65535


@kinds.register('target')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One instance of a service.

    Attributes:
        name: Unique name.
        service: Name of its service.
        zone: Name of its availability zone.
        address: IP address.
        port: TCP port.
        state: 'active', or 'draining' if it gets no new requests.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid')

    name: kinds.Name
    service: kinds.Name
    zone: kinds.Name
    address: str
    port: typing.Annotated[int, pydantic.Field(ge=1, le=MAX_PORT)]
    state: typing.Literal['active', 'draining'] = 'active'
