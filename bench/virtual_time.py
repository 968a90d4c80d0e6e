"""An event loop on virtual time: waiting costs nothing, and every run with
the same seed is the same."""

import asyncio
import selectors
import typing
from collections import abc

from sapphirepaddle import clock

START = 1000.0


class VirtualSelector(selectors.DefaultSelector):
    """Moves the clock instead of waiting.

    Attributes:
        now: Virtual time in seconds.
    """

    now = START

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        """Return ready files at once, after moving the clock."""
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is virtual."""

    def __init__(self) -> None:
        """Create the loop with its selector."""
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """Return virtual time."""
        return self.virtual.now


def run(
    work: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, typing.Any]],
) -> typing.Any:
    """Run a coroutine on virtual time, with the package's clocks on it."""
    kept = (clock.monotonic, clock.wall)
    loop = VirtualLoop()
    clock.monotonic = loop.time
    clock.wall = loop.time
    try:
        return loop.run_until_complete(work())
    finally:
        clock.monotonic, clock.wall = kept
        loop.close()
