"""Limits on the requests and connections of callers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on a caller's connection and its requests.

    The defaults apply until a configuration has been read.

    Attributes:
        head_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        head_seconds: Maximum time in which a caller sends a request head.
        idle_seconds: Maximum time that a connection is kept without a request.
    """

    head_bytes: int = 16384
    body_bytes: int = 67108864
    head_seconds: float = 3
    idle_seconds: float = 15
