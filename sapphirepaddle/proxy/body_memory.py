"""Memory budgets for the bodies of requests and for answers."""

import contextlib
import dataclasses
import typing
import weakref
from collections import abc

from sapphirepaddle import clock

BODY_MEMORY_RATIO: typing.Final = 0.25
"""Part of the process memory available to request bodies, and as much to
answers; the rest is for the program and connections."""
STALLED_SECONDS: typing.Final = 1.0
"""Time after which a caller that takes nothing of its answer loses it if the
memory is needed for others."""


class BodyMemoryBudget:
    """Counts the bytes of buffered bodies against a limit.

    Attributes:
        limit_bytes: Maximum number of reserved bytes.
        reserved_bytes: Number of bytes reserved at present.
        waiting: Reservations of answers that are being sent to callers.
        reclaimed_count: Number of answers that were dropped for others.
    """

    def __init__(self, limit_bytes: float) -> None:
        """Initialize with no bytes reserved."""
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self.waiting: set[Reservation] = set()
        self.reclaimed_count = 0

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

    def try_reclaim(self) -> bool:
        """Drop the answer whose caller has taken nothing for the longest time.

        Returns:
            Whether there was one whose caller is stalled.
        """
        longest_waiting = min(
            self.waiting,
            key=lambda reservation: reservation.progress_at,
            default=None,
        )
        if longest_waiting is None:
            return False
        if clock.monotonic() - longest_waiting.progress_at < STALLED_SECONDS:
            return False
        self.reclaimed_count += 1
        longest_waiting.reclaim()
        return True


@dataclasses.dataclass(slots=True)
class HeldBytes:
    """Bytes that are reserved of a budget.

    Attributes:
        budget: The budget.
        size: Number of bytes.
    """

    budget: BodyMemoryBudget
    size: int = 0

    def release(self) -> None:
        """Release the bytes; they may be released already."""
        self.budget.release(self.size)
        self.size = 0


class Reservation:
    """Memory of one answer, reserved for as long as the answer is held.

    It is released when its answer has been sent, and at the latest when
    nothing refers to the reservation any more.

    Attributes:
        held: The reserved bytes.
        progress_at: When its caller last took a part of the answer, on the
            monotonic clock.
        on_reclaim: Ends the sending of the answer.
    """

    def __init__(self, budget: BodyMemoryBudget) -> None:
        """Initialize without reserved bytes."""
        self.held = HeldBytes(budget)
        self.progress_at = clock.monotonic()
        self.on_reclaim: abc.Callable[[], None] = self.held.release
        weakref.finalize(self, self.held.release).atexit = False

    def try_extend(self, size: int) -> bool:
        """Reserve `size` bytes more; return whether they fit.

        If they do not, answers of stalled callers are dropped.
        """
        budget = self.held.budget
        while not budget.try_extend(self.held.size, size):
            if not budget.try_reclaim():
                return False
        self.held.size += size
        return True

    @contextlib.contextmanager
    def wait_for_caller(
        self, on_reclaim: abc.Callable[[], None]
    ) -> abc.Iterator[None]:
        """Release the memory at the end of the context, or when others need it.

        Args:
            on_reclaim: Ends the sending of the answer.
        """
        self.on_reclaim = on_reclaim
        self.record_progress()
        self.held.budget.waiting.add(self)
        try:
            yield
        finally:
            self.held.budget.waiting.discard(self)
            self.held.release()

    def record_progress(self) -> None:
        """Record that the caller has taken a part of the answer."""
        self.progress_at = clock.monotonic()

    def reclaim(self) -> None:
        """End the sending of the answer and release its memory."""
        self.held.budget.waiting.discard(self)
        self.on_reclaim()
        self.held.release()
