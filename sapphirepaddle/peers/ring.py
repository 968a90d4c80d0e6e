"""Topology of the peer connections.

All daemons form a ring, ordered by a hash of their names. Each connects to the
daemons 1, 2, 4, 8, … positions further along the ring. A message then reaches
all of n daemons in at most log2(n) hops, each daemon has about 2 log2(n)
connections, and many other paths remain when some daemons fail.
"""

import itertools
from collections import abc

from sapphirepaddle.routing import rendezvous

SEED = 'ring'
"""Seed of the hash that orders the ring; the same at all daemons."""


def order(names: abc.Iterable[str]) -> list[str]:
    """Return the names in ring order."""
    return sorted(names, key=lambda name: rendezvous.weight(SEED, name))


def successors(local_name: str, names: abc.Collection[str]) -> list[str]:
    """Return the daemons that a daemon opens connections to.

    Args:
        local_name: Name of the connecting daemon.
        names: Names of all daemons.
    """
    ring = order({local_name, *names})
    position = ring.index(local_name)
    size = len(ring)
    offsets = itertools.takewhile(
        lambda offset: offset < size,
        (2**power for power in itertools.count()),
    )
    connected = (ring[(position + offset) % size] for offset in offsets)
    return [name for name in dict.fromkeys(connected) if name != local_name]


def neighbours(local_name: str, names: abc.Collection[str]) -> frozenset[str]:
    """Return the daemons connected with a daemon in either direction.

    Args:
        local_name: Name of the daemon.
        names: Names of all daemons.
    """
    ring = order({local_name, *names})
    position = ring.index(local_name)
    size = len(ring)
    offsets = [2**power for power in range(size.bit_length())]
    steps = (
        step
        for offset in offsets
        if offset < size
        for step in (offset, -offset)
    )
    connected = (ring[(position + step) % size] for step in steps)
    return frozenset(connected) - {local_name}
