"""Results of attempts as evidence about a target."""

import enum
import typing


class Result(enum.Enum):
    """What one attempt says about its target."""

    GOOD = 'good'
    SLOW = 'slow'
    ERROR = 'error'
    STALL = 'stall'
    BROKEN = 'broken'
    UNREACHABLE = 'unreachable'
    SHED = 'shed'

    @property
    def is_bad(self) -> bool:
        """Return whether the result is evidence of a fault."""
        return self in BAD


BAD: typing.Final = frozenset(
    (
        Result.SLOW,
        Result.ERROR,
        Result.STALL,
        Result.BROKEN,
        Result.UNREACHABLE,
    ),
)
"""Results that are evidence of a fault; shedding indicates load only."""
