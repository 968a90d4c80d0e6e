"""The availability zone object."""

import dataclasses
import typing

import pydantic

from sapphirepaddle.objects import kinds


@kinds.register('availability_zone')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AvailabilityZone:
    """An availability zone, whose targets can be emptied together.

    Attributes:
        name: Unique name.
        region: Name of its region.
        state: 'active', or 'emptied' if its targets get no new requests.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid')

    name: kinds.Name
    region: kinds.Name
    state: typing.Literal['active', 'emptied'] = 'active'
