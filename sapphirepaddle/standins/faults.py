"""Faults that the platform stand-in brings about."""

import asyncio
import dataclasses
import random


@dataclasses.dataclass(slots=True, kw_only=True)
class PlatformFaults:
    """Faults switched on by the control endpoint.

    Attributes:
        down: No call is answered.
        hang: Calls get no answer and no refusal while down.
        delay_ms: Extra time of each call.
        lose_share: Share of writes whose answer is lost after the effect.
        blocked: Names of VMs whose calls are not answered.
    """

    down: bool = False
    hang: bool = False
    delay_ms: float = 0
    lose_share: float = 0
    blocked: tuple[str, ...] = ()

    def is_answer_lost(self, chance: random.Random) -> bool:
        """Tell whether the answer of this write is lost."""
        return chance.random() < self.lose_share

    async def delay(self) -> None:
        """Wait the extra time of one call."""
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)  # noqa: WPS432
