"""Settings of the stand-ins for the platform and targets."""

import pydantic

from sapphirepaddle.settings import base


class PlatformStandin(base.Settings):
    """Settings of the platform stand-in.

    Attributes:
        listener: Listener of the object API.
        list_lag_seconds: Delay in seconds of changes to the list of VMs.
    """

    listener: base.Listener
    list_lag_seconds: float = pydantic.Field(0, ge=0)


class TargetStandin(base.Settings):
    """Settings of one process of target stand-ins.

    Attributes:
        instances: Target instances served by this process.
    """

    instances: tuple['TargetInstance', ...] = pydantic.Field(min_length=1)


class TargetInstance(base.Settings):
    """Settings of one target stand-in.

    Attributes:
        name: Name of the target.
        listener: Listener for requests.
        slots: Requests that it runs concurrently.
        queue: Requests queued beyond the slots before it sheds load.
        service_ms: Milliseconds to run one request.
        cold_ms: Extra milliseconds to run a request right after the start.
        cold_seconds: Time over which the extra time decreases to zero.
        probe_ms: Milliseconds that a health probe occupies a slot.
    """

    name: str
    listener: base.Listener
    slots: base.Count = 2
    queue: int = pydantic.Field(4, ge=0)
    service_ms: float = pydantic.Field(20, ge=0)
    cold_ms: float = pydantic.Field(0, ge=0)
    cold_seconds: float = pydantic.Field(0, ge=0)
    probe_ms: float = pydantic.Field(25, ge=0)
