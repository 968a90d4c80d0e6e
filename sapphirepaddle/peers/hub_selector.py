"""The way of own digests to a large zone, by a daemon that bundles them."""

import math
import typing
from collections import abc

from sapphirepaddle.peers import unsent_changes
from sapphirepaddle.telemetry import logs

MAX_DIRECT_PEERS: typing.Final = 12
"""Other daemons of a zone up to which each tells each; in larger zones the
datagrams would grow with the square, and hubs bundle them."""
HUBS_PER_ZONE: typing.Final = 3
"""Daemons of a zone that bundle; each serves a part of the others."""
ECHO_TIMEOUT_SECONDS: typing.Final = 0.4
"""Time within which an own digest is back in a bundle: two gatherings of
digests, and delays of a busy VM."""
DIRECT_FALLBACK_SECONDS: typing.Final = 2.0
"""Time for which digests go to everybody after one did not come back."""


class HubSelector:
    """Chooses a hub and sees whether it does its work; time is passed in.

    Attributes:
        key: Hash of the own name.
        turns: Hubs given up so far.
        direct_until: Until when digests go to everybody.
        sent: Time of the oldest digest that is not back; None if all are.
        unconfirmed: What was in the digests that are not back.
        logger: Log of hubs given up.
    """

    def __init__(self, key: int) -> None:
        """Start with the first hub."""
        self.local_hash = key
        self.failed_hub_count = 0
        self.direct_until = -math.inf
        self.oldest_unconfirmed_at: float | None = None
        self.unconfirmed = unsent_changes.UnsentChanges()
        self.logger = logs.get_logger('uplink')

    def choose(self, keys: abc.Iterable[int]) -> int:
        """Return the hub among the daemons of the zone, by hash."""
        hubs = sorted(keys)[:HUBS_PER_ZONE]
        return hubs[(self.local_hash + self.failed_hub_count) % len(hubs)]

    def record_sent(
        self, given: unsent_changes.UnsentChanges, now: float
    ) -> None:
        """Take in what is about to be sent to the hub."""
        if self.oldest_unconfirmed_at is None:
            self.oldest_unconfirmed_at = now
        self.unconfirmed.add(given)

    def record_echo(self) -> None:
        """Take in that an own digest came back in a bundle."""
        self.oldest_unconfirmed_at = None
        self.unconfirmed = unsent_changes.UnsentChanges()

    def check_hub(self, near: unsent_changes.UnsentChanges, now: float) -> bool:
        """Tell whether the hub is to be used.

        If it fails, what was sent to it is put back among the changes.
        """
        if (
            self.oldest_unconfirmed_at is not None
            and now - self.oldest_unconfirmed_at > ECHO_TIMEOUT_SECONDS
        ):
            self.logger.warning(
                'hub given up',
                silent=round(now - self.oldest_unconfirmed_at, 2),
                targets=len(self.unconfirmed.targets),
                direct_seconds=DIRECT_FALLBACK_SECONDS,
            )
            near.add(self.unconfirmed)
            self.record_echo()
            self.failed_hub_count += 1
            self.direct_until = now + DIRECT_FALLBACK_SECONDS
        return now >= self.direct_until
