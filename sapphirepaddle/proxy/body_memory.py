"""Memory budgets for the bodies of requests and of answers."""

import typing

BODY_MEMORY_RATIO: typing.Final = 0.25
"""Part of the process memory available to request bodies, and as much to the
bodies of answers; the rest is for the program and connections."""


class BodyMemoryBudget:
    """Counts the bytes of buffered bodies against a limit.

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

    def try_extend(self, held_size: int, size: int) -> bool:
        """Reserve `size` bytes more for a body that holds `held_size`.

        A body may not hold more than is left to the others, so that a few
        large bodies do not use up the budget.

        Returns:
            Whether the bytes are reserved.
        """
        remaining = self.limit_bytes - self.reserved_bytes - size
        if held_size + size > remaining:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release `size` bytes."""
        self.reserved_bytes -= size
