"""Selection of a service's routing set under its capacity floor."""

import dataclasses
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCapacity:
    """Capacity and availability of a target.

    Attributes:
        name: Name of the target.
        slots: Requests that it runs concurrently.
        is_unavailable: Whether it is leaving, draining or in an emptied
            availability zone.
        ejected: Whether the evidence calls for its ejection.
        fault_score: Strength of the evidence of a fault; ejected targets
            with the lowest score are kept first.
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

    Ejected targets are excluded, highest fault score first, only as long as
    the remaining slots are at least the floor's share of all slots. The
    slots of unavailable targets count in the total, but these targets are
    never selected. At least one available target is always selected.

    Args:
        candidates: All targets of the service.
        floor: Share of all slots that must remain, from 0 to 1.

    Returns:
        The names of the targets in the routing set.
    """
    min_slots = floor * sum(candidate.slots for candidate in candidates)
    available = [
        candidate for candidate in candidates if not candidate.is_unavailable
    ]
    selected = [candidate for candidate in available if not candidate.ejected]
    selected_slots = sum(candidate.slots for candidate in selected)
    ejected = sorted(
        (candidate for candidate in available if candidate.ejected),
        key=lambda candidate: (candidate.fault_score, candidate.name),
    )
    for candidate in ejected:
        if selected_slots >= min_slots and selected:
            break
        selected.append(candidate)
        selected_slots += candidate.slots
    return frozenset(candidate.name for candidate in selected)
