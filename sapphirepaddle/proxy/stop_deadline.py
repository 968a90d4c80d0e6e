"""The time at which a stopping daemon ends the requests that still run."""

import asyncio
import contextlib
import math
from collections import abc

from sapphirepaddle import clock


class StopDeadline:
    """Limits what runs to the time that a stopping daemon has left.

    Attributes:
        ends_at: Monotonic time of the end; infinity until the daemon stops.
        timeouts: Timeouts of what runs now.
    """

    def __init__(self) -> None:
        """Initialize without an end."""
        self.ends_at = math.inf
        self.timeouts: set[asyncio.Timeout] = set()

    def begin(self, ends_at: float) -> None:
        """Set the end, also for what runs already.

        Args:
            ends_at: Seconds on the monotonic clock.
        """
        self.ends_at = ends_at
        for timeout in self.timeouts:
            timeout.reschedule(ends_at)

    @property
    def remaining_seconds(self) -> float:
        """Return the seconds until the end; infinity if there is none."""
        return self.ends_at - clock.monotonic()

    @contextlib.asynccontextmanager
    async def limit(self) -> abc.AsyncIterator[None]:
        """Cancel the body of the context at the end.

        Raises:
            TimeoutError: If the body was cancelled.
        """
        when = None if math.isinf(self.ends_at) else self.ends_at
        async with asyncio.timeout_at(when) as timeout:
            self.timeouts.add(timeout)
            try:
                yield
            finally:
                self.timeouts.discard(timeout)
