"""Detection of faulty targets in a replay; no I/O."""

import dataclasses
import math
import statistics
from collections import abc

from sapphirepaddle.replay import records, trace


def detection_seconds(
    recorded_trace: trace.Trace,
    ejections: abc.Sequence[records.Ejection],
) -> dict[str, float]:
    """Return the seconds from each target's first fault to its ejection.

    The value is infinity for a target that was not ejected.
    """
    seconds_by_target: dict[str, float] = {}
    for fault in recorded_trace.faults:
        if (
            fault.target
            and fault.modes
            and fault.target not in seconds_by_target
        ):
            delays = [
                ejection.at - fault.at
                for ejection in ejections
                if ejection.target == fault.target and ejection.at >= fault.at
            ]
            seconds_by_target[fault.target] = min(delays, default=math.inf)
    return seconds_by_target


def count_false_ejections(
    recorded_trace: trace.Trace,
    ejections: abc.Iterable[records.Ejection],
) -> int:
    """Return how many ejections hit a target without an earlier fault."""
    return sum(
        not any(
            fault.target == ejection.target
            and fault.modes
            and fault.at <= ejection.at
            for fault in recorded_trace.faults
        )
        for ejection in ejections
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Detection:
    """Times from the fault of a target to its ejection.

    Attributes:
        median_seconds: Median over the ejected targets.
        max_seconds: Maximum over the ejected targets.
        undetected: Number of faulty targets that were not ejected.
    """

    median_seconds: float
    max_seconds: float
    undetected: int


def measure(
    recorded_trace: trace.Trace,
    ejections: abc.Sequence[records.Ejection],
) -> Detection:
    """Compute how soon faulty targets were ejected."""
    seconds_by_target = detection_seconds(recorded_trace, ejections)
    delays = [delay for delay in seconds_by_target.values() if delay < math.inf]
    return Detection(
        median_seconds=round(statistics.median(delays), 2) if delays else 0,
        max_seconds=round(max(delays, default=0), 2),
        undetected=len(seconds_by_target) - len(delays),
    )
