"""Memory budget for request bodies."""

import typing

BODY_MEMORY_RATIO: typing.Final = 0.25
"""Part of the process memory available to request bodies; the rest is for the
program, answers and connections."""


class BodyMemoryBudget:
    """Counts the bytes of buffered request bodies against a limit.

    Attributes:
        limit: Maximum number of buffered bytes.
        held_bytes: Number of bytes buffered at present.
    """

    def __init__(self, limit: float) -> None:
        """Initialize with no bytes in use."""
        self.limit = limit
        self.held_bytes = 0

    def try_acquire(self, size: int) -> bool:
        """Reserve `size` bytes and return whether they fit the limit."""
        if self.held_bytes + size > self.limit:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release `size` bytes."""
        self.held_bytes -= size
