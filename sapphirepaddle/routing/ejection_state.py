"""Verdicts on targets that hold for the whole fleet."""

import dataclasses
import enum

import orjson
import pydantic


class Standing(enum.Enum):
    """How the fleet treats a target."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    RETURNING = 'returning'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EjectionState:
    """A verdict on one target.

    Attributes:
        target: Name of the target.
        epoch: Rises with each verdict on this target.
        standing: How the target is treated.
        relapses: Ejections in a row without lasting health.
        reason: What was seen.
        judge: Name of the VM that judged.
    """

    target: str
    epoch: int
    standing: Standing
    relapses: int = 0
    reason: str = ''
    judge: str = ''

    def encode(self) -> bytes:
        """Return the verdict as JSON."""
        return orjson.dumps(self)


ADAPTER = pydantic.TypeAdapter(EjectionState)
