"""Types shared by the settings models."""

import ipaddress
import typing

import pydantic

MAX_PORT: typing.Final = 65535

Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86400)]
Ratio = typing.Annotated[float, pydantic.Field(ge=0, le=1)]
Count = typing.Annotated[int, pydantic.Field(ge=1)]


class Settings(pydantic.BaseModel):
    """Immutable base model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Listener(Settings):
    """An address to listen on.

    Attributes:
        host: IP address.
        port: TCP port; 0 for any free port.
    """

    host: str = '127.0.0.1'
    port: int = pydantic.Field(ge=0, le=MAX_PORT)

    @pydantic.field_validator('host')
    @classmethod
    def check_host(cls, host: str) -> str:
        """Check that the host is an IP address.

        Raises:
            ValueError: If it is not.
        """
        ipaddress.ip_address(host)
        return host


class Platform(Settings):
    """Connection to the platform.

    Attributes:
        url: Base URL of the object API.
        call_seconds: Timeout of one call in seconds.
    """

    url: str = pydantic.Field(pattern='^http://')
    call_seconds: Seconds = 2
