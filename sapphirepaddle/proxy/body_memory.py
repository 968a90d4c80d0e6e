"""Memory for the bodies of requests that a daemon holds."""

import typing

BODY_MEMORY_RATIO: typing.Final = 0.25
"""Part of the process's memory that bodies may take; the rest is for the
program, answers and connections."""


class BodyMemoryBudget:
    """Counts the bytes of bodies that are held.

    Attributes:
        limit: Most bytes.
        held: Bytes held now.
    """

    def __init__(self, limit: float) -> None:
        """Start with nothing held."""
        self.limit = limit
        self.held = 0

    def try_acquire(self, size: int) -> bool:
        """Take memory for a part of a body, if there is enough."""
        if self.held + size > self.limit:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Give back the memory of a body."""
        self.held -= size
