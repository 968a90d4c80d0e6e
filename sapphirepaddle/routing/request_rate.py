"""Request rate, estimated from counts that are reported at intervals."""

import math
import typing

AVERAGING_SECONDS: typing.Final = 6.0
"""Time constant of the average. Other zones report every one to two seconds, so
several reports fall into it."""


class RequestRate:
    """Exponentially weighted average of a request rate.

    Attributes:
        per_second: Requests per second at the last update.
        updated_at: Time of the last update, on the monotonic clock.
    """

    def __init__(self, now: float) -> None:
        """Initialize without requests."""
        self.per_second: float = 0
        self.updated_at = now

    def record(self, count: int, now: float) -> None:
        """Record a number of requests."""
        self.per_second = self.read(now) + count / AVERAGING_SECONDS
        self.updated_at = now

    def read(self, now: float) -> float:
        """Return the requests per second."""
        age = now - self.updated_at
        return self.per_second * math.exp(-age / AVERAGING_SECONDS)
