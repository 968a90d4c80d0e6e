"""Reports of evidence from daemons to the judge of a target."""

import dataclasses

from sapphirepaddle.routing import tally


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
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
    observer: str
    zone: str
    counts: tally.Tally
