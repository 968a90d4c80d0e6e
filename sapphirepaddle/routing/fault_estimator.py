"""How likely a target is faulty, from the results seen of it."""

import dataclasses
import math
import typing

PRIOR_FAULTY_RATIO: typing.Final = 0.2
"""Share of targets that are faulty at a time, before anything is seen."""
PRIOR_PATH_FAULT_RATIO: typing.Final = 0.03
"""Share of ways to a target that are broken at a time, likewise."""
DECAY_SECONDS: typing.Final = 5.0
"""Time constant with which a seen state loses its weight; faults last for
several seconds."""
FAULTY_FAILURE_RATIO: typing.Final = 0.7
"""Share of its requests that a faulty target fails."""
HEALTHY_FAILURE_RATIO: typing.Final = 0.02
"""Share of its requests that a sound target fails."""


@dataclasses.dataclass(slots=True)
class FaultEstimator:
    """Filter of a hidden Markov chain with the states sound and faulty.

    Attributes:
        prior: Share that is faulty before anything is seen.
        probability: Probability of the faulty state at the last update.
        updated: Time of the last update, on the monotonic clock.
    """

    prior: float = PRIOR_FAULTY_RATIO
    probability: float = 0
    updated: float = -math.inf

    def fault_probability(self, now: float) -> float:
        """Return the probability of the faulty state now."""
        age = max(0, now - self.updated)
        kept = math.exp(-age / DECAY_SECONDS)
        return self.prior + (self.probability - self.prior) * kept

    def failure_probability(self, now: float) -> float:
        """Return the probability that the next request fails."""
        faulty = self.fault_probability(now)
        return (
            faulty * FAULTY_FAILURE_RATIO + (1 - faulty) * HEALTHY_FAILURE_RATIO
        )

    def record_result(self, is_good: bool, now: float) -> None:
        """Take in the result of one request."""
        faulty = self.fault_probability(now)
        if is_good:
            seen_faulty = 1 - FAULTY_FAILURE_RATIO
            seen_sound = 1 - HEALTHY_FAILURE_RATIO
        else:
            seen_faulty = FAULTY_FAILURE_RATIO
            seen_sound = HEALTHY_FAILURE_RATIO
        joint = faulty * seen_faulty
        self.probability = joint / (joint + (1 - faulty) * seen_sound)
        self.updated = now
