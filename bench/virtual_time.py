"""Event loop on virtual time.

Waiting takes no real time, and runs with the same seed are identical.
"""

import asyncio
import selectors
import typing
from collections import abc

from sapphirepaddle import clock

START_SECONDS = 1000.0


class VirtualSelector(selectors.DefaultSelector):
    """Advances a virtual clock instead of waiting.

    Attributes:
        now: Virtual time in seconds.
    """

    now = START_SECONDS

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        """Advance the clock by the timeout and return the ready files."""
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that runs on virtual time.

    Attributes:
        virtual_selector: Selector that holds the virtual clock.
    """

    def __init__(self) -> None:
        """Create the loop with a virtual selector."""
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_selector.now


def run(
    create: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, typing.Any]],
) -> typing.Any:
    """Run a coroutine on virtual time, which the package's clocks return too.

    Args:
        create: Returns the coroutine.
    """
    original_clocks = (clock.monotonic, clock.wall)
    loop = VirtualLoop()
    clock.monotonic = loop.time
    clock.wall = loop.time
    try:
        return loop.run_until_complete(create())
    finally:
        clock.monotonic, clock.wall = original_clocks
        loop.close()
