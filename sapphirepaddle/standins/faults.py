"""Faults that the platform stand-in can inject."""

import asyncio
import dataclasses
import random


@dataclasses.dataclass(slots=True, kw_only=True)
class PlatformFaults:
    """Faults to inject, replaced through the control endpoint.

    Attributes:
        down: Whether the platform answers no call.
        hang: Whether unanswered calls hang; otherwise their connection is
            closed at once.
        delay_ms: Added latency of each call in milliseconds.
        lose_share: Share (0 to 1) of writes that take effect but whose
            response is lost.
        blocked: Names of VMs whose calls get no response.
    """

    down: bool = False
    hang: bool = False
    delay_ms: float = 0
    lose_share: float = 0
    blocked: tuple[str, ...] = ()

    def is_answer_lost(self, rng: random.Random) -> bool:
        """Return whether the response to this write is lost, at random."""
        return rng.random() < self.lose_share

    async def delay(self) -> None:
        """Sleep for the added latency of one call."""
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)  # noqa: WPS432
