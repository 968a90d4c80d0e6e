"""Rendezvous hashing: equal choices on all daemons without coordination."""

import heapq
from collections import abc

import xxhash


def weight(key: str, name: str) -> int:
    """Return the weight of a name for a key; the highest wins."""
    return xxhash.xxh3_64_intdigest(f'{key}\n{name}'.encode())


def rank(key: str, names: abc.Iterable[str], count: int) -> list[str]:
    """Return the names with the highest weights for a key, best first.

    Args:
        key: Key to place.
        names: Names among which it can be placed.
        count: Number of names to return.
    """
    return heapq.nlargest(count, names, key=lambda name: weight(key, name))


def first(key: str, names: abc.Iterable[str]) -> str:
    """Return the name with the highest weight; empty if there is none."""
    return max(names, key=lambda name: weight(key, name), default='')
