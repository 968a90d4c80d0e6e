"""Which daemons keep connections with each other.

All daemons are ordered by a hash of their names. Each connects to those 1,
2, 4, 8, … places further on. News then reaches all of n daemons in at most
log2(n) steps, each daemon has about 2 log2(n) connections, and losing some
daemons leaves many other ways.
"""

import itertools
from collections import abc

from sapphirepaddle.routing import rendezvous

SEED = 'ring'


def order(names: abc.Iterable[str]) -> list[str]:
    """Return the names in the order of the ring."""
    return sorted(names, key=lambda name: rendezvous.weight(SEED, name))


def successors(own: str, names: abc.Collection[str]) -> list[str]:
    """Return the daemons that a daemon connects to.

    Args:
        own: Name of the connecting daemon.
        names: Names of all daemons.
    """
    ring = order({own, *names})
    place = ring.index(own)
    size = len(ring)
    offsets = itertools.takewhile(
        lambda offset: offset < size,
        (2**power for power in itertools.count()),
    )
    found = (ring[(place + offset) % size] for offset in offsets)
    return [name for name in dict.fromkeys(found) if name != own]


def neighbours(own: str, names: abc.Collection[str]) -> frozenset[str]:
    """Return the daemons that a daemon has connections with.

    Args:
        own: Name of the daemon.
        names: Names of all daemons.
    """
    ring = order({own, *names})
    place = ring.index(own)
    size = len(ring)
    offsets = [2**power for power in range(size.bit_length())]
    steps = (
        step
        for offset in offsets
        if offset < size
        for step in (offset, -offset)
    )
    found = (ring[(place + step) % size] for step in steps)
    return frozenset(found) - {own}
