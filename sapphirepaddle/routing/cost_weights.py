"""What matters in the choice of a target."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CostWeights:
    """Weights of the cost of a target.

    Attributes:
        objective: Seconds within which an answer is wanted; the unit of
            the others.
        failure: Cost of a failure.
        distance: Cost of another availability zone.
        busy: Share of the usual time that a busy slot costs.
        curiosity: What is gained by a first result of a target.
    """

    objective_seconds: float
    failure: float
    other_zone: float = 0.3
    busy_slot: float = 0.2
    exploration: float = 1.0
