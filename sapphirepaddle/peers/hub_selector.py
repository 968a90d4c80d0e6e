"""Selection of the hub that forwards local digests in a large zone."""

import bisect
import math
import typing
from collections import abc

from sapphirepaddle.peers import unsent_changes
from sapphirepaddle.telemetry import logs

MAX_DIRECT_PEERS: typing.Final = 12
"""Up to this number of peers in a zone, daemons send to each other directly.
In larger zones the number of datagrams would grow quadratically, so hubs
bundle them."""
MIN_HUBS: typing.Final = 3
"""Least number of hubs of a zone; each serves a part of the others."""
DAEMONS_PER_HUB: typing.Final = 6
"""Daemons whose digests one hub forwards in a larger zone. What a hub sends
grows with their number and with the size of the zone."""
MAX_BUNDLE_FACTOR: typing.Final = 2
"""Most by which the interval between the bundles of a hub grows where there are
more hubs, as each sends bundles to all."""
ECHO_TIMEOUT_SECONDS: typing.Final = 0.4
"""Time within which a local digest must return in a bundle of the hub. Covers
two batch intervals and the delays of a busy VM."""
DIRECT_FALLBACK_SECONDS: typing.Final = 2.0
"""Time for which digests go to all peers after one was not echoed."""


def hub_count(zone_size: int) -> int:
    """Return the number of hubs of a zone with some daemons."""
    return max(MIN_HUBS, math.ceil(zone_size / DAEMONS_PER_HUB))


def bundle_factor(zone_size: int) -> float:
    """Return by how much the interval between bundles is longer."""
    return min(MAX_BUNDLE_FACTOR, hub_count(zone_size) / MIN_HUBS)


class HubSelector:
    """Chooses a hub and detects its failure.

    A hub sends bundles to the whole zone, so the echo of a local digest
    confirms that the hub works. Times are on the monotonic clock.

    Attributes:
        local_hash: Hash of the name of this daemon.
        failed_hub_count: Number of hubs abandoned so far.
        direct_until: Time until which digests go to all peers directly.
        oldest_unconfirmed_at: Time of the oldest digest without an echo;
            None if there is none.
        unconfirmed: Changes in the digests without an echo.
        logger: Logs abandoned hubs.
    """

    def __init__(self, local_hash: int) -> None:
        """Initialize without failed hubs or unconfirmed digests."""
        self.local_hash = local_hash
        self.failed_hub_count = 0
        self.direct_until = -math.inf
        self.oldest_unconfirmed_at: float | None = None
        self.unconfirmed = unsent_changes.UnsentChanges()
        self.logger = logs.get_logger('uplink')

    def choose(self, hashes: abc.Iterable[int]) -> int:
        """Return the hash of the hub that this daemon sends to.

        The hubs are the daemons with the lowest hashes. The rank among all
        spreads the daemons over them; each failure moves this daemon to the
        next one.

        Args:
            hashes: Hashes of all daemons of the zone.
        """
        sorted_hashes = sorted(hashes)
        hubs = sorted_hashes[: hub_count(len(sorted_hashes))]
        rank = bisect.bisect_left(sorted_hashes, self.local_hash)
        return hubs[(rank + self.failed_hub_count) % len(hubs)]

    def record_sent(
        self, changes: unsent_changes.UnsentChanges, now: float
    ) -> None:
        """Record the changes that are about to be sent to the hub."""
        if self.oldest_unconfirmed_at is None:
            self.oldest_unconfirmed_at = now
        self.unconfirmed.add(changes)

    def record_echo(self) -> None:
        """Record the echo of a local digest, which confirms all changes."""
        self.oldest_unconfirmed_at = None
        self.unconfirmed = unsent_changes.UnsentChanges()

    def check_hub(
        self, changes: unsent_changes.UnsentChanges, now: float
    ) -> bool:
        """Return whether to send through the hub.

        If the echo timed out, the hub is abandoned and the unconfirmed
        changes are added to `changes` again.
        """
        if (
            self.oldest_unconfirmed_at is not None
            and now - self.oldest_unconfirmed_at > ECHO_TIMEOUT_SECONDS
        ):
            self.logger.warning(
                'hub abandoned',
                silent=round(now - self.oldest_unconfirmed_at, 2),
                targets=len(self.unconfirmed.targets),
                direct_seconds=DIRECT_FALLBACK_SECONDS,
            )
            changes.add(self.unconfirmed)
            self.record_echo()
            self.failed_hub_count += 1
            self.direct_until = now + DIRECT_FALLBACK_SECONDS
        return now >= self.direct_until
