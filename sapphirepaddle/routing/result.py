"""Results of attempts as evidence about a target."""

import enum
import typing


class Result(enum.Enum):
    """Result of one attempt, as evidence about its target.

    Attributes:
        GOOD: A complete answer in time.
        SLOW: A complete answer that exceeded the slow threshold.
        ERROR: An answer with an error status.
        STALL: No complete answer by the deadline for stalls or the timeout.
        BROKEN: An answer that was broken off or belongs to another request.
        UNREACHABLE: No connection to the target, or a failed probe.
        SHED: A refusal of the target because of its load.
    """

    GOOD = 'good'
    SLOW = 'slow'
    ERROR = 'error'
    STALL = 'stall'
    BROKEN = 'broken'
    UNREACHABLE = 'unreachable'
    SHED = 'shed'

    @property
    def is_suspect(self) -> bool:
        """Return whether the result is evidence of a fault."""
        return self in SUSPECT_RESULTS


SUSPECT_RESULTS: typing.Final = frozenset(
    (
        Result.SLOW,
        Result.ERROR,
        Result.STALL,
        Result.BROKEN,
        Result.UNREACHABLE,
    ),
)
"""Results that are evidence of a fault; shedding indicates load only."""
