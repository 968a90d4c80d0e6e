"""Tokens of one client account that a daemon has leased."""

import collections
import dataclasses
import math
import typing


@dataclasses.dataclass(slots=True)
class TokenLease:
    """Tokens of one lease.

    Attributes:
        partition: The partition that leased them.
        amount: Tokens left.
        until: When they lapse.
    """

    partition: int
    amount: float
    expires_at: float


class LeasedTokens:
    """Leased tokens; pure, the time is passed in.

    Attributes:
        held: Leases, oldest first.
        spent: Tokens spent and not yet reported, by partition.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.leases: collections.deque[TokenLease] = collections.deque()
        self.spent: collections.Counter[int] = collections.Counter()

    def add(self, partition: int, amount: float, until: float) -> None:
        """Add leased tokens."""
        if amount > 0:
            self.leases.append(TokenLease(partition, amount, until))

    def drop_expired(self, now: float) -> None:
        """Drop tokens that lapsed."""
        fresh = [lease for lease in self.leases if lease.expires_at > now]
        if len(fresh) != len(self.leases):
            self.leases = collections.deque(fresh)

    def available(self, now: float) -> float:
        """Return the tokens that are good now."""
        self.drop_expired(now)
        return math.fsum(lease.amount for lease in self.leases)

    def try_acquire(self, now: float) -> bool:
        """Spend one token, if there is one."""
        if self.available(now) < 1 - TOKEN_EPSILON:
            return False
        missing: float = 1
        while missing > TOKEN_EPSILON and self.leases:
            lease = self.leases[0]
            taken = min(missing, lease.amount)
            lease.amount -= taken
            missing -= taken
            self.spent[lease.partition] += taken  # type: ignore[assignment]
            if lease.amount <= TOKEN_EPSILON:
                self.leases.popleft()
        return True

    def pop_spent(self, partition: int) -> float:
        """Return the spent tokens of a partition, once."""
        return float(self.spent.pop(partition, 0))


TOKEN_EPSILON: typing.Final = 1e-9
