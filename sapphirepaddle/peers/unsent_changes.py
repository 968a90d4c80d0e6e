"""What a daemon has not told the others yet."""

import typing

MAX_COUNTS_PER_KIND: typing.Final = 60
"""Counts of one kind in a datagram, which stays below a packet's size."""

OrderedNames = dict[str, None]


class UnsentChanges:
    """What changed since the last datagram to a part of the fleet.

    Attributes:
        targets: Names of targets.
        accounts: Names of accounts.
        services: Names of services.
        is_urgent: Whether a bad result is among it.
        is_pressing: Whether others may soon decide wrongly without it.
        sent: When the last datagram was sent.
    """

    def __init__(self) -> None:
        """Start without changes."""
        self.targets: OrderedNames = {}
        self.accounts: OrderedNames = {}
        self.services: OrderedNames = {}
        self.must_send_immediately = False
        self.use_short_interval = False
        self.sent: float = 0

    def is_due(self, now: float, gather: float, beat: float) -> bool:
        """Tell whether a datagram is to be sent now."""
        age = now - self.sent
        if age >= beat or self.must_send_immediately:
            return True
        return age >= gather and bool(
            self.targets or self.accounts or self.services,
        )

    def add(self, other: 'UnsentChanges') -> None:
        """Add what changed elsewhere."""
        self.targets.update(other.targets)
        self.accounts.update(other.accounts)
        self.services.update(other.services)


def pop_first(names: OrderedNames) -> list[str]:
    """Take the first names out of a set that keeps its order."""
    taken = list(names)[:MAX_COUNTS_PER_KIND]
    for name in taken:
        names.pop(name)
    return taken
