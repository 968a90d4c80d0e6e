"""Names whose changed counts have not been sent to other daemons."""

import typing

MAX_COUNTS_PER_KIND: typing.Final = 60
"""Maximum number of counts of one kind in a digest, so that its datagram fits
into one packet."""

OrderedNames = dict[str, None]


class UnsentChanges:
    """Changes since the last datagram to a part of the fleet.

    Attributes:
        targets: Names of targets with changed counts.
        accounts: Names of accounts with changed counts.
        services: Names of services with changed counts.
        must_send_immediately: Whether to send without waiting for the batch
            interval, as after a bad result.
        use_short_interval: Whether other daemons may soon make wrong
            decisions without these changes.
        last_sent_at: Monotonic time of the last datagram; 0 before the first.
        repeated_at: Monotonic time at which unchanged counts were last sent
            again.
    """

    def __init__(self) -> None:
        """Initialize without changes."""
        self.targets: OrderedNames = {}
        self.accounts: OrderedNames = {}
        self.services: OrderedNames = {}
        self.must_send_immediately = False
        self.use_short_interval = False
        self.last_sent_at: float = 0
        self.repeated_at: float = 0

    def is_due(
        self, now: float, batch_seconds: float, heartbeat_seconds: float
    ) -> bool:
        """Return whether a datagram is due.

        Args:
            now: Monotonic time.
            batch_seconds: Time over which changes are batched.
            heartbeat_seconds: Longest time without a datagram.
        """
        age = now - self.last_sent_at
        if age >= heartbeat_seconds or self.must_send_immediately:
            return True
        return age >= batch_seconds and bool(
            self.targets or self.accounts or self.services,
        )

    def add(self, other: 'UnsentChanges') -> None:
        """Add the names in another set of changes, but not its urgency."""
        self.targets.update(other.targets)
        self.accounts.update(other.accounts)
        self.services.update(other.services)


def pop_first(names: OrderedNames) -> list[str]:
    """Remove and return the oldest names, up to MAX_COUNTS_PER_KIND."""
    first_names = list(names)[:MAX_COUNTS_PER_KIND]
    for name in first_names:
        names.pop(name)
    return first_names
