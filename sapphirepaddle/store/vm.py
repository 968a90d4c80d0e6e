"""Entries of the platform's list of VMs."""

import dataclasses
import typing

import pydantic


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """A VM of the fleet as listed by the platform.

    Attributes:
        name: Unique name of the VM.
        zone: Name of its availability zone.
        address: IP address of its peer listener.
        port: TCP port of its peer listener.
        state: Whether the VM is running or leaving the fleet.
    """

    name: str
    zone: str
    address: str
    port: int
    state: typing.Literal['live', 'leaving'] = 'live'


LIST_ADAPTER: typing.Final = pydantic.TypeAdapter(list[Vm])
