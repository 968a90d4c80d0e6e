"""Validation of the platform's settings file."""

import typing

import pydantic

AddressText = typing.Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^[0-9.]+:[0-9]{1,5}$'),
]
MAX_PORT: typing.Final = 65535
PortNumber = typing.Annotated[int, pydantic.Field(ge=1, le=MAX_PORT)]
BoundText = typing.Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^\s*\w+\s*=\s*\S+\s*$'),
]


class ListenModel(pydantic.BaseModel):
    """Addresses to listen on."""

    front: AddressText
    ready: AddressText


class LimitsModel(pydantic.BaseModel):
    """What the process may use."""

    memory_mb: float = pydantic.Field(alias='memoryMb', gt=0)


class StoreModel(pydantic.BaseModel):
    """Where the platform's store is."""

    address: AddressText


class SettingsModel(pydantic.BaseModel):
    """The fields of the file that the product uses; others are ignored."""

    node: str
    ip: str
    zone: str
    inner_ports: tuple[PortNumber, PortNumber] = pydantic.Field(
        alias='internalPorts'
    )
    seeds: list[AddressText] = []
    bounds: list[BoundText] = []
    listen: ListenModel
    limits: LimitsModel
    store: StoreModel = pydantic.Field(alias='platformStore')
