"""Memory budget for request bodies."""

import typing

BODY_MEMORY_RATIO: typing.Final = 0.25
"""Part of the process memory available to request bodies; the rest is for the
program, answers and connections."""


class BodyMemoryBudget:
    """Counts the bytes of buffered request bodies against a limit.

    Attributes:
        limit_bytes: Maximum number of reserved bytes.
        reserved_bytes: Number of bytes reserved at present.
    """

    def __init__(self, limit_bytes: float) -> None:
        """Initialize with no bytes reserved."""
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def try_acquire(self, size: int) -> bool:
        """Reserve `size` bytes if they fit; return whether they do."""
        if self.reserved_bytes + size > self.limit_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release `size` bytes."""
        self.reserved_bytes -= size
