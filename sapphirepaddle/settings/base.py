"""Parts shared by the settings models."""

import ipaddress
import typing

import pydantic

MAX_PORT: typing.Final = 65535

Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86400)]
Ratio = typing.Annotated[float, pydantic.Field(ge=0, le=1)]
Count = typing.Annotated[int, pydantic.Field(ge=1)]


class Settings(pydantic.BaseModel):
    """Base of all settings: unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Listener(Settings):
    """An address to listen on.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str = '127.0.0.1'
    port: int = pydantic.Field(ge=0, le=MAX_PORT)

    @pydantic.field_validator('host')
    @classmethod
    def check_host(cls, host: str) -> str:
        """Accept IP addresses only."""
        ipaddress.ip_address(host)
        return host


class Platform(Settings):
    """How the platform is reached.

    Attributes:
        url: Base URL of the object API.
        call_seconds: Limit of one call.
    """

    url: str = pydantic.Field(pattern='^http://')
    call_seconds: Seconds = 2
