"""Clocks used by the decision logic."""

import time


def monotonic() -> float:
    """Return seconds since boot, including the time the VM was suspended.

    Returns:
        Seconds; only differences between values are meaningful.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return seconds since the Unix epoch."""
    return time.time()
