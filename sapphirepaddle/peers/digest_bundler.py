"""Bundling of the digests that a hub forwards."""

import typing
from collections import abc

from sapphirepaddle.peers import digest

MAX_DIGESTS_PER_BUNDLE: typing.Final = 12
"""Keeps a bundle of digests close to the size of one packet."""


class DigestBundler:
    """Collects digests until the next batch is sent.

    Attributes:
        pending: Digests to be forwarded.
    """

    def __init__(self) -> None:
        """Initialize without digests."""
        self.pending: list[digest.Digest] = []

    def add(self, body: digest.Digest) -> None:
        """Add a digest to the next batch."""
        self.pending.append(body)

    def drain_bundles(self) -> abc.Iterator[digest.Bundle]:
        """Remove all pending digests and yield them in bundles."""
        pending = self.pending
        self.pending = []
        for start in range(0, len(pending), MAX_DIGESTS_PER_BUNDLE):
            yield digest.Bundle(
                tuple(pending[start : start + MAX_DIGESTS_PER_BUNDLE])
            )
