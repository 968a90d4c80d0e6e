"""Bundling of the digests that a hub forwards."""

import math
import typing
from collections import abc

from sapphirepaddle.peers import digest

MAX_DIGESTS_PER_BUNDLE: typing.Final = 12
"""Keeps a bundle of digests close to the size of one packet."""


class DigestBundler:
    """Collects digests until the next batch is sent.

    Attributes:
        pending: Digests to be forwarded.
        sent_at: Monotonic time of the last batch; -inf before the first.
    """

    def __init__(self) -> None:
        """Initialize without digests."""
        self.pending: list[digest.Digest] = []
        self.sent_at = -math.inf

    def add(self, body: digest.Digest) -> None:
        """Add a digest to the next batch."""
        self.pending.append(body)

    def is_due(self, now: float, interval_seconds: float) -> bool:
        """Return whether a batch is due.

        Args:
            now: Monotonic time.
            interval_seconds: Least time between two batches.
        """
        return bool(self.pending) and now - self.sent_at >= interval_seconds

    def drain_bundles(self, now: float) -> abc.Iterator[digest.Bundle]:
        """Remove all pending digests and yield them in bundles."""
        pending = self.pending
        self.pending = []
        self.sent_at = now
        for start in range(0, len(pending), MAX_DIGESTS_PER_BUNDLE):
            yield digest.Bundle(
                tuple(pending[start : start + MAX_DIGESTS_PER_BUNDLE])
            )
