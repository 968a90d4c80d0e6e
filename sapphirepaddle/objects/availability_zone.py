"""Availability zones."""

import dataclasses
import typing

import pydantic

from sapphirepaddle.objects import kinds


@kinds.register('availability_zone')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AvailabilityZone:
    """An availability zone.

    Attributes:
        name: Unique name.
        region: Name of its region.
        state: Whether its targets take new work.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid')

    name: kinds.Name
    region: kinds.Name
    state: typing.Literal['active', 'emptied'] = 'active'
