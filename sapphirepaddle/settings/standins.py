"""Settings of the stand-ins."""

import pydantic

from sapphirepaddle.settings import base


class PlatformStandin(base.Settings):
    """Settings of the platform stand-in.

    Attributes:
        listener: Where the object API listens.
        list_lag_seconds: Delay of the list of VMs.
    """

    listener: base.Listener
    list_lag_seconds: float = pydantic.Field(0, ge=0)


class TargetStandin(base.Settings):
    """Settings of one process of target stand-ins.

    Attributes:
        instances: The instances that this process plays.
    """

    instances: tuple['TargetInstance', ...] = pydantic.Field(min_length=1)


class TargetInstance(base.Settings):
    """One target stand-in.

    Attributes:
        name: Name of the target.
        listener: Where it listens.
        slots: Requests that it runs at a time.
        queue: Requests that it holds beyond its slots before it sheds.
        service_ms: Time to run one request.
        cold_ms: Extra time to run a request just after the start.
        cold_seconds: Time over which the extra time shrinks to nothing.
        probe_ms: Time that a health probe takes from a slot.
    """

    name: str
    listener: base.Listener
    slots: base.Count = 2
    queue: int = pydantic.Field(4, ge=0)
    service_ms: float = pydantic.Field(20, ge=0)
    cold_ms: float = pydantic.Field(0, ge=0)
    cold_seconds: float = pydantic.Field(0, ge=0)
    probe_ms: float = pydantic.Field(25, ge=0)
