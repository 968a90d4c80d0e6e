"""Which VM owns which partition of the quota."""

import collections
import dataclasses
import itertools
import typing
from collections import abc

import orjson
import pydantic

from sapphirepaddle.routing import rendezvous

OBJECT_KEY: typing.Final = 'fleet/owners'
TOPIC: typing.Final = 'owners'


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Owners of all partitions, as one object of the platform.

    Attributes:
        owners: Name of the owning VM by partition.
    """

    owners: dict[int, str] = dataclasses.field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the object as JSON."""
        return orjson.dumps(self, option=orjson.OPT_NON_STR_KEYS)

    def partitions_of(self, vm: str) -> frozenset[int]:
        """Return the partitions of a VM."""
        return frozenset(
            partition for partition, name in self.owners.items() if name == vm
        )

    def partition_counts(
        self, live: abc.Iterable[str]
    ) -> collections.Counter[str]:
        """Return the number of partitions of each live VM."""
        loads = collections.Counter(dict.fromkeys(live, 0))
        loads.update(name for name in self.owners.values() if name in loads)
        return loads

    def with_moves(self, moves: dict[int, str]) -> 'Ownership':
        """Return the ownership after some partitions moved."""
        return Ownership(self.owners | moves)


ADAPTER: typing.Final = pydantic.TypeAdapter(Ownership)


def orphans(
    held: Ownership,
    partitions: int,
    gone: abc.Set[str],
) -> list[int]:
    """Return the partitions without an owner that may be given away.

    Args:
        held: The ownership.
        partitions: Number of partitions.
        gone: VMs that are gone for long enough.
    """
    return [
        partition
        for partition in range(partitions)
        if held.owners.get(partition, '') in gone | {''}
    ]


def assign(
    held: Ownership,
    free: abc.Iterable[int],
    live: abc.Collection[str],
) -> dict[int, str]:
    """Give free partitions to the VMs that own the fewest.

    Args:
        held: The ownership.
        free: Partitions to give.
        live: VMs that can own partitions.
    """
    loads = held.partition_counts(live)
    moves: dict[int, str] = {}
    for partition in free:
        least = min(loads.values())
        lightest = (name for name in loads if loads[name] == least)
        chosen = rendezvous.first(str(partition), lightest)
        loads[chosen] += 1
        moves[partition] = chosen
    return moves


def plan_surplus_moves(
    held: Ownership,
    own: str,
    partitions: int,
    live: abc.Collection[str],
) -> dict[int, str]:
    """Return the partitions that a VM gives to VMs that own too few.

    Args:
        held: The ownership.
        own: The giving VM.
        partitions: Number of partitions.
        live: VMs that can own partitions.
    """
    fair = partitions / max(1, len(live))
    loads = held.partition_counts(live)
    excess = loads[own] - int(fair + 1)
    needy = sorted(
        name for name in live if loads[name] < int(fair) and name != own
    )
    mine = sorted(held.partitions_of(own))[: max(0, excess)]
    return dict(zip(mine, itertools.cycle(needy))) if needy else {}
