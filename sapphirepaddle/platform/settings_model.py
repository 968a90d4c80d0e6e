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
    """Addresses to listen on for callers and for readiness probes."""

    front: AddressText
    ready: AddressText


class LimitsModel(pydantic.BaseModel):
    """Resource limits of the process."""

    memory_mb: float = pydantic.Field(alias='memoryMb', gt=0)


class StoreModel(pydantic.BaseModel):
    """Location of the platform's object store."""

    address: AddressText


class SettingsModel(pydantic.BaseModel):
    """Fields of the settings file that are used; others are ignored."""

    node: str
    ip: str
    zone: str
    inner_ports: tuple[PortNumber, PortNumber] = pydantic.Field(
        alias='internalPorts'
    )
    seeds: list[AddressText] = []
    bootstrap: bool = False
    bounds: list[BoundText] = []
    zones: dict[str, str] = {}
    listen: ListenModel
    limits: LimitsModel
    store: StoreModel = pydantic.Field(alias='platformStore')
