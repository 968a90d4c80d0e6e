"""Estimation of the probability that a target is faulty."""

import dataclasses
import math
import typing

PRIOR_FAULTY_RATIO: typing.Final = 0.2
"""Prior probability that a target is faulty at a given time."""
PRIOR_PATH_FAULT_RATIO: typing.Final = 0.03
"""Prior probability that the path to a target is faulty at a given time."""
DECAY_SECONDS: typing.Final = 5.0
"""Time constant with which an observed state decays to the prior; faults
last for several seconds."""
FAULTY_FAILURE_RATIO: typing.Final = 0.7
"""Share of its requests that a faulty target fails."""
HEALTHY_FAILURE_RATIO: typing.Final = 0.02
"""Share of its requests that a healthy target fails."""


@dataclasses.dataclass(slots=True)
class FaultEstimator:
    """Filter of a hidden Markov chain with the states healthy and faulty.

    Attributes:
        prior: Probability of the faulty state without any observation.
        probability: Probability of the faulty state at the last update.
        updated_at: Time of the last update, in seconds of the monotonic
            clock.
    """

    prior: float = PRIOR_FAULTY_RATIO
    probability: float = 0
    updated_at: float = -math.inf

    def fault_probability(self, now: float) -> float:
        """Return the current probability of the faulty state."""
        age = max(0, now - self.updated_at)
        weight = math.exp(-age / DECAY_SECONDS)
        return self.prior + (self.probability - self.prior) * weight

    def failure_probability(self, now: float) -> float:
        """Return the probability that the next request fails."""
        probability = self.fault_probability(now)
        return (
            probability * FAULTY_FAILURE_RATIO
            + (1 - probability) * HEALTHY_FAILURE_RATIO
        )

    def record_result(self, is_good: bool, now: float) -> None:
        """Update the probability with the result of one request."""
        prior = self.fault_probability(now)
        if is_good:
            likelihood_faulty = 1 - FAULTY_FAILURE_RATIO
            likelihood_healthy = 1 - HEALTHY_FAILURE_RATIO
        else:
            likelihood_faulty = FAULTY_FAILURE_RATIO
            likelihood_healthy = HEALTHY_FAILURE_RATIO
        joint_faulty = prior * likelihood_faulty
        self.probability = joint_faulty / (
            joint_faulty + (1 - prior) * likelihood_healthy
        )
        self.updated_at = now
