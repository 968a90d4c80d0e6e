"""Reports of evidence from daemons to the judge of a target."""

import dataclasses

from sapphirepaddle.routing import result_counts


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetObservation:
    """What one daemon saw of one target since its last report.

    Attributes:
        target: Name of the target.
        observer: Name of the VM that saw it.
        zone: Availability zone of the observer.
        counts: Good, slow and bad results.
        service: Name of the target's service.
    """

    target: str
    service: str
    reporter: str
    zone: str
    counts: result_counts.ResultCounts
