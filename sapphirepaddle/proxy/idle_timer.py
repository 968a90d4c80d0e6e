"""A timer for idle connections."""

import asyncio
from collections import abc


class IdleTimer:
    """Calls a function unless it is stopped in time.

    Attributes:
        on_idle: Function to call.
        handle: Scheduled call, or None while the timer is stopped.
    """

    def __init__(self, on_idle: abc.Callable[[], None]) -> None:
        """Initialize in the stopped state."""
        self.on_idle = on_idle
        self.handle: asyncio.TimerHandle | None = None

    def start(self, seconds: float) -> None:
        """Start or restart the timer."""
        self.stop()
        loop = asyncio.get_running_loop()
        self.handle = loop.call_later(seconds, self.on_idle)

    def stop(self) -> None:
        """Cancel the scheduled call, if there is one."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
