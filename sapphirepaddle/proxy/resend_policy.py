"""Decides when a request that targets turned away is sent again; no I/O.

Load pattern: targets whose queues are full for a moment, or that turn away part
of their requests, turn the request away at each target that its route allows,
within milliseconds and long before its deadline.
"""

import random
import typing

FIRST_PAUSE_SECONDS: typing.Final = 0.1
"""Pause before a request is sent again for the first time. Each further pause
is twice as long."""
MIN_JITTER_RATIO: typing.Final = 0.5
"""Least part of a pause that remains after jitter, so that requests turned away
at the same time do not come back together."""
MAX_RESENDS: typing.Final = 3
"""Number of times that a request is sent again after a pause."""


def resend_pause(
    resend_count: int,
    remaining_seconds: float,
    typical_seconds: float,
    objective_seconds: float,
    room_seconds: float,
    rng: random.Random,
) -> float | None:
    """Return the pause before a request is sent again.

    Args:
        resend_count: Number of times it was sent again after a pause.
        remaining_seconds: Seconds until its deadline.
        typical_seconds: Typical time of an answer.
        objective_seconds: Latency objective; no pause is longer.
        room_seconds: Seconds until a target accepts requests again; 0 if one
            does.
        rng: Random number generator for the jitter.

    Returns:
        Seconds, or None if the pause would be too long or leave too little time
        for an answer, or if the request was sent again too often.
    """
    if resend_count >= MAX_RESENDS:
        return None
    pause_seconds = FIRST_PAUSE_SECONDS * 2**resend_count
    jitter = pause_seconds * rng.uniform(MIN_JITTER_RATIO, 1)
    pause_seconds = room_seconds + jitter
    longest_seconds = min(
        objective_seconds, remaining_seconds - typical_seconds
    )
    return pause_seconds if pause_seconds <= longest_seconds else None
