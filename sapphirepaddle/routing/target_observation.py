"""Observations that daemons report to the outlier detector of a target."""

import dataclasses

from sapphirepaddle.routing import result_counts


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetObservation:
    """Results of one target at one daemon since its last report.

    Attributes:
        target: Name of the target.
        reporter: Name of the VM that reports them.
        zone: Availability zone of the reporter.
        counts: Good, slow and bad results.
        service: Name of the target's service.
    """

    target: str
    service: str
    reporter: str
    zone: str
    counts: result_counts.ResultCounts
