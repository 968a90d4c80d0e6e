"""Digests of others that a hub sends on together."""

import typing
from collections import abc

from sapphirepaddle.peers import digest

MAX_DIGESTS_PER_BUNDLE: typing.Final = 12
"""Digests in one datagram, which stays near a packet's size."""


class DigestBundler:
    """Gathers digests until the next gathering is over.

    Attributes:
        waiting: Digests to be sent on.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: list[digest.Digest] = []

    def add(self, body: digest.Digest) -> None:
        """Take up a digest."""
        self.waiting.append(body)

    def drain_bundles(self) -> abc.Iterator[digest.Bundle]:
        """Take all out, in bundles."""
        waiting = self.waiting
        self.waiting = []
        for start in range(0, len(waiting), MAX_DIGESTS_PER_BUNDLE):
            yield digest.Bundle(
                tuple(waiting[start : start + MAX_DIGESTS_PER_BUNDLE])
            )
