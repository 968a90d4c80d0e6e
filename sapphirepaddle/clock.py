"""Clocks used by the decision logic."""

import time


def monotonic() -> float:
    """Return seconds since boot, counting the time a VM was suspended.

    Returns:
        Seconds as a float; only differences are meaningful.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return seconds since the Unix epoch."""
    return time.time()
