"""The client account object, with its quota."""

import dataclasses
import typing

import pydantic

from sapphirepaddle.objects import kinds


@kinds.register('client_account')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """A client account and its quota over the whole fleet.

    Attributes:
        name: Unique name.
        rate: Requests per second over all VMs together.
        burst: Burst in requests over all VMs together.
        weight: Share of an overloaded service relative to other accounts.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid')

    name: kinds.Name
    rate: typing.Annotated[float, pydantic.Field(gt=0)]
    burst: typing.Annotated[float, pydantic.Field(ge=1)]
    weight: typing.Annotated[float, pydantic.Field(gt=0, le=1000)] = 1
