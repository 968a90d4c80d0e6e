"""Detection of faulty targets in a replay; pure."""

import dataclasses
import math
import statistics
from collections import abc

from sapphirepaddle.replay import records, trace


def detection_seconds(
    recorded: trace.Trace,
    ejections: abc.Sequence[records.Ejection],
) -> dict[str, float]:
    """Return the seconds from each target's first fault to its ejection.

    A target that was not ejected gets infinity.
    """
    found: dict[str, float] = {}
    for fault in recorded.faults:
        if fault.target and fault.modes and fault.target not in found:
            later = [
                ejection.at - fault.at
                for ejection in ejections
                if ejection.target == fault.target and ejection.at >= fault.at
            ]
            found[fault.target] = min(later, default=math.inf)
    return found


def count_false_ejections(
    recorded: trace.Trace,
    ejections: abc.Iterable[records.Ejection],
) -> int:
    """Return the ejections of targets that had no fault before."""
    return sum(
        not any(
            fault.target == ejection.target
            and fault.modes
            and fault.at <= ejection.at
            for fault in recorded.faults
        )
        for ejection in ejections
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Detection:
    """How soon faulty targets were ejected.

    Attributes:
        median: Seconds at the median.
        most: Seconds at worst.
        undetected: Faulty targets that were not ejected.
    """

    median_seconds: float
    max_seconds: float
    undetected: int


def measure(
    recorded: trace.Trace,
    ejections: abc.Sequence[records.Ejection],
) -> Detection:
    """Measure how soon faulty targets were ejected."""
    detected = detection_seconds(recorded, ejections)
    seconds = [found for found in detected.values() if found < math.inf]
    return Detection(
        median_seconds=round(statistics.median(seconds), 2) if seconds else 0,
        max_seconds=round(max(seconds, default=0), 2),
        undetected=len(detected) - len(seconds),
    )
