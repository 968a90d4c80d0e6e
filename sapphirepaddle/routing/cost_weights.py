"""Weights of the cost function for the selection of a target."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CostWeights:
    """Weights of the cost of a target.

    Attributes:
        objective_seconds: Latency objective; the unit of the other costs.
        failure: Cost of a failure.
        late: Cost of an answer that misses the objective.
        other_zone: Cost of a target in another availability zone.
        busy_slot: Cost of occupied slots, as a share of the typical answer
            time.
        exploration: Reduction of the cost of a target without results.
    """

    objective_seconds: float
    failure: float
    late: float = 0
    other_zone: float = 0.3
    busy_slot: float = 0.2
    exploration: float = 1.0
