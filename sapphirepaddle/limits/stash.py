"""Tokens of one client account that a daemon has leased."""

import collections
import dataclasses
import math
import typing


@dataclasses.dataclass(slots=True)
class Held:
    """Tokens of one lease.

    Attributes:
        partition: The partition that leased them.
        amount: Tokens left.
        until: When they lapse.
    """

    partition: int
    amount: float
    until: float


class Stash:
    """Leased tokens; pure, the time is passed in.

    Attributes:
        held: Leases, oldest first.
        spent: Tokens spent and not yet reported, by partition.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.held: collections.deque[Held] = collections.deque()
        self.spent: collections.Counter[int] = collections.Counter()

    def add(self, partition: int, amount: float, until: float) -> None:
        """Add leased tokens."""
        if amount > 0:
            self.held.append(Held(partition, amount, until))

    def lapse(self, now: float) -> None:
        """Drop tokens that lapsed."""
        fresh = [lease for lease in self.held if lease.until > now]
        if len(fresh) != len(self.held):
            self.held = collections.deque(fresh)

    def level(self, now: float) -> float:
        """Return the tokens that are good now."""
        self.lapse(now)
        return math.fsum(lease.amount for lease in self.held)

    def take(self, now: float) -> bool:
        """Spend one token, if there is one."""
        if self.level(now) < 1 - ROUNDING:
            return False
        missing: float = 1
        while missing > ROUNDING and self.held:
            lease = self.held[0]
            taken = min(missing, lease.amount)
            lease.amount -= taken
            missing -= taken
            self.spent[lease.partition] += taken  # type: ignore[assignment]
            if lease.amount <= ROUNDING:
                self.held.popleft()
        return True

    def report(self, partition: int) -> float:
        """Return the spent tokens of a partition, once."""
        return float(self.spent.pop(partition, 0))


ROUNDING: typing.Final = 1e-9
