"""Assignment of quota partitions to their owning VMs."""

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
    """Owners of all partitions, stored as one object in the platform.

    Attributes:
        owners: Names of the owning VMs by partition number.
    """

    owners: dict[int, str] = dataclasses.field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the object as JSON."""
        return orjson.dumps(self, option=orjson.OPT_NON_STR_KEYS)

    def partitions_of(self, vm: str) -> frozenset[int]:
        """Return the partitions that a VM owns."""
        return frozenset(
            partition for partition, name in self.owners.items() if name == vm
        )

    def partition_counts(
        self, live_vms: abc.Iterable[str]
    ) -> collections.Counter[str]:
        """Return the number of partitions that each live VM owns."""
        counts = collections.Counter(dict.fromkeys(live_vms, 0))
        counts.update(name for name in self.owners.values() if name in counts)
        return counts

    def with_moves(self, moves: dict[int, str]) -> 'Ownership':
        """Return a copy with new owners for some partitions."""
        return Ownership(self.owners | moves)


ADAPTER: typing.Final = pydantic.TypeAdapter(Ownership)


def find_orphans(
    current: Ownership,
    partition_count: int,
    missing_vms: abc.Set[str],
) -> list[int]:
    """Return the partitions that need a new owner.

    Args:
        current: The current ownership.
        partition_count: Total number of partitions.
        missing_vms: VMs that have been missing long enough to lose their
            partitions.
    """
    return [
        partition
        for partition in range(partition_count)
        if current.owners.get(partition, '') in missing_vms | {''}
    ]


def assign(
    current: Ownership,
    free_partitions: abc.Iterable[int],
    live_vms: abc.Collection[str],
) -> dict[int, str]:
    """Assign free partitions to the VMs that own the fewest.

    Args:
        current: The current ownership.
        free_partitions: Partitions to assign.
        live_vms: VMs that can own partitions; not empty.

    Returns:
        The new owners by partition.
    """
    counts = current.partition_counts(live_vms)
    moves: dict[int, str] = {}
    for partition in free_partitions:
        lowest_count = min(counts.values())
        candidates = (name for name in counts if counts[name] == lowest_count)
        new_owner = rendezvous.first(str(partition), candidates)
        counts[new_owner] += 1
        moves[partition] = new_owner
    return moves


def plan_surplus_moves(
    current: Ownership,
    local_vm: str,
    partition_count: int,
    live_vms: abc.Collection[str],
) -> dict[int, str]:
    """Plan moves from a VM with too many partitions to VMs with too few.

    Args:
        current: The current ownership.
        local_vm: The VM that hands over its surplus.
        partition_count: Total number of partitions.
        live_vms: VMs that can own partitions.

    Returns:
        The new owners by partition.
    """
    fair_count = partition_count / max(1, len(live_vms))
    counts = current.partition_counts(live_vms)
    surplus = counts[local_vm] - int(fair_count + 1)
    receivers = sorted(
        name
        for name in live_vms
        if counts[name] < int(fair_count) and name != local_vm
    )
    moved = sorted(current.partitions_of(local_vm))[: max(0, surplus)]
    return dict(zip(moved, itertools.cycle(receivers))) if receivers else {}
