"""Returns of the store from an older copy, for the soak test."""

import asyncio
import dataclasses
import random
import time
import typing

from sapphirepaddle.directory import source
from soak import checker

if typing.TYPE_CHECKING:
    from soak import testbed

MEAN_RETURN_PAUSE_SECONDS = 6
OUTAGE_SECONDS = (0.1, 0.8)
COPY_SECONDS = (0.5, 5.0)
TARGETS_AGAIN_SECONDS = (0.1, 1.5)
"""Range of the time after a return in which targets write their entries again;
operators promise about two seconds."""
SAMPLE_SECONDS = 0.1
OPERATORS_KINDS = ('config', 'evacuations')
TARGET_KIND = 'servers'
Objects = dict[str, dict[str, source.Content]]


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Revision number of the store at a time."""

    at: float
    number: int


class ReturnedStore:
    """Lets the store return from copies, and writes again what was lost.

    Operators and targets write again what they wrote; the entries of daemons
    are theirs to write.

    Attributes:
        system: The system under test.
        rng: Random number generator.
        samples: Revision numbers since the start.
    """

    def __init__(self, system: 'testbed.Testbed', rng: random.Random) -> None:
        """Initialize without samples."""
        self.system = system
        self.rng = rng
        self.samples: list[Sample] = []

    async def run(self, until: float) -> None:
        """Return from copies repeatedly until a time."""
        self.system.source.served_era = 1
        next_at = self.draw_next()
        while time.monotonic() < until - 1:
            self.samples.append(
                Sample(time.monotonic(), self.system.source.number)
            )
            if time.monotonic() > next_at:
                await self.return_once()
                next_at = self.draw_next()
            await asyncio.sleep(SAMPLE_SECONDS)

    def draw_next(self) -> float:
        """Return the monotonic time of the next return."""
        pause = self.rng.expovariate(1 / MEAN_RETURN_PAUSE_SECONDS)
        return time.monotonic() + pause

    async def return_once(self) -> None:
        """Be away for a moment, and return from a copy."""
        start = time.monotonic()
        memory = self.system.source
        faults = self.system.store.faults
        faults.is_refusing = True
        for store_relay in self.system.store_relays.values():
            store_relay.reset()
        await asyncio.sleep(self.rng.uniform(*OUTAGE_SECONDS))
        copied_at = time.monotonic() - self.rng.uniform(*COPY_SECONDS)
        number = max(
            (one.number for one in self.samples if one.at <= copied_at),
            default=self.samples[0].number,
        )
        # A later copy has lost what an earlier one had, too.
        self.samples = [one for one in self.samples if one.number <= number]
        written = copy_objects(memory.objects)
        await memory.return_from_copy(number)
        copy = copy_objects(memory.objects)
        faults.is_refusing = False
        for kind in OPERATORS_KINDS:
            await self.write_again(kind, written, copy)
        await asyncio.sleep(self.rng.uniform(*TARGETS_AGAIN_SECONDS))
        await self.write_again(TARGET_KIND, written, copy)
        self.system.record_disturbance('return', checker.STORE, start)

    async def write_again(
        self, kind: str, written: Objects, copy: Objects
    ) -> None:
        """Write the objects of a kind that the copy has lost.

        Those that were changed since the return are left as they are.

        Args:
            kind: Kind of the objects.
            written: All objects before the return.
            copy: All objects at the return.
        """
        before, after = written.get(kind, {}), copy.get(kind, {})
        for name in before.keys() | after.keys():
            current = self.system.source.objects.get(kind, {}).get(name)
            is_lost = before.get(name) != after.get(name)
            if is_lost and current == after.get(name):
                entry = source.Entry(name, before.get(name))
                await self.system.source.apply_change(kind, entry)


def copy_objects(objects: Objects) -> Objects:
    """Return a copy of all objects by kind and name."""
    return {kind: dict(by_name) for kind, by_name in objects.items()}
