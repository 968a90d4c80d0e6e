"""The routing set of a service and its floor."""

import dataclasses
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCapacity:
    """A target as the floor sees it.

    Attributes:
        name: Name of the target.
        slots: Its slots.
        gone: Whether it leaves, drains or sits in an emptied zone.
        ejected: Whether evidence speaks for taking it out.
        badness: Order of evidence; the least bad comes back first.
    """

    name: str
    slots: int
    is_unavailable: bool
    ejected: bool
    fault_score: float


def select_routing_set(
    candidates: abc.Sequence[TargetCapacity],
    floor: float,
) -> frozenset[str]:
    """Return the targets that take new work.

    Ejected targets are left out, worst first, only while the slots that
    stay are at least the floor's share of all slots. Targets that are gone
    count as lost and never come back here.

    Args:
        candidates: All targets of the service.
        floor: Share of all slots that must stay.

    Returns:
        The names of the targets in the routing set.
    """
    needed = floor * sum(candidate.slots for candidate in candidates)
    present = [
        candidate for candidate in candidates if not candidate.is_unavailable
    ]
    kept = [candidate for candidate in present if not candidate.ejected]
    slots = sum(candidate.slots for candidate in kept)
    ejected = sorted(
        (candidate for candidate in present if candidate.ejected),
        key=lambda candidate: (candidate.fault_score, candidate.name),
    )
    for candidate in ejected:
        if slots >= needed and kept:
            break
        kept.append(candidate)
        slots += candidate.slots
    return frozenset(candidate.name for candidate in kept)
