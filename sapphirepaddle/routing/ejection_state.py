"""Ejection states of targets, which apply to the whole fleet."""

import dataclasses
import enum

import orjson
import pydantic


class Standing(enum.Enum):
    """How the fleet treats a target.

    Attributes:
        HEALTHY: It takes all of its requests.
        EJECTED: It takes none, unless the capacity floor requires it.
        RETURNING: It takes a growing share of its requests after an ejection.
    """

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    RETURNING = 'returning'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EjectionState:
    """Ejection state of one target.

    Attributes:
        target: Name of the target.
        epoch: Sequence number, increased by each new state of this target.
        standing: How the fleet treats the target.
        relapses: Repeated ejections since the target last stayed healthy
            long enough.
        reason: Reason of the state.
        judge: Name of the VM whose outlier detector set the state.
    """

    target: str
    epoch: int
    standing: Standing
    relapses: int = 0
    reason: str = ''
    judge: str = ''

    def encode(self) -> bytes:
        """Return the state as JSON."""
        return orjson.dumps(self)


ADAPTER = pydantic.TypeAdapter(EjectionState)
