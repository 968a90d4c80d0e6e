"""A timer that runs while nothing happens on a connection."""

import asyncio
from collections import abc


class IdleTimer:
    """Calls a function after some time without a stop.

    Attributes:
        act: The function.
        handle: The planned call, if one is planned.
    """

    def __init__(self, act: abc.Callable[[], None]) -> None:
        """Start stopped."""
        self.on_idle = act
        self.handle: asyncio.TimerHandle | None = None

    def start(self, seconds: float) -> None:
        """Start, or start anew."""
        self.stop()
        loop = asyncio.get_running_loop()
        self.handle = loop.call_later(seconds, self.on_idle)

    def stop(self) -> None:
        """Stop."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
