"""Estimation of whether an answer misses the latency objective."""

import typing

CERTAINLY_IN_TIME_RATIO: typing.Final = 0.5
"""Expected answer time, in latency objectives, up to which an answer is in
time."""
CERTAINLY_LATE_RATIO: typing.Final = 1.3
"""Expected answer time, in latency objectives, from which an answer is late."""


def late_probability(
    expected_seconds: float, objective_seconds: float
) -> float:
    """Return the probability that an answer misses its latency objective.

    Answer times scatter around the expected one, so the probability rises
    gradually.

    Args:
        expected_seconds: Expected answer time with the wait for a slot.
        objective_seconds: Latency objective.
    """
    ratio = expected_seconds / objective_seconds
    span = CERTAINLY_LATE_RATIO - CERTAINLY_IN_TIME_RATIO
    return min(1, max(0, (ratio - CERTAINLY_IN_TIME_RATIO) / span))
