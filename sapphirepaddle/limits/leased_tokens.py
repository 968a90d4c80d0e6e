"""Tokens that a daemon has leased for one client account."""

import collections
import dataclasses
import math
import typing


@dataclasses.dataclass(slots=True)
class TokenLease:
    """The unspent tokens of one lease.

    Attributes:
        partition: The partition that granted the lease.
        amount: Tokens left.
        expires_at: Expiry time on the monotonic clock.
    """

    partition: int
    amount: float
    expires_at: float


class LeasedTokens:
    """Leases of one account; the current time is always passed in.

    Attributes:
        leases: Leases with tokens left, oldest first.
        spent: Tokens spent but not yet reported to the owner, by partition.
    """

    def __init__(self) -> None:
        """Initialize without leases."""
        self.leases: collections.deque[TokenLease] = collections.deque()
        self.spent: collections.Counter[int] = collections.Counter()

    def add(self, partition: int, amount: float, expires_at: float) -> None:
        """Add a lease, unless it is empty."""
        if amount > 0:
            self.leases.append(TokenLease(partition, amount, expires_at))

    def drop_expired(self, now: float) -> None:
        """Remove expired leases."""
        unexpired = [lease for lease in self.leases if lease.expires_at > now]
        if len(unexpired) != len(self.leases):
            self.leases = collections.deque(unexpired)

    def available(self, now: float) -> float:
        """Return the number of tokens in leases that have not expired."""
        self.drop_expired(now)
        return math.fsum(lease.amount for lease in self.leases)

    def try_acquire(self, now: float) -> bool:
        """Spend one token, oldest leases first, if a whole one is available."""
        if self.available(now) < 1 - TOKEN_EPSILON:
            return False
        missing: float = 1
        while missing > TOKEN_EPSILON and self.leases:
            lease = self.leases[0]
            used = min(missing, lease.amount)
            lease.amount -= used
            missing -= used
            self.spent[lease.partition] += used  # type: ignore[assignment]
            if lease.amount <= TOKEN_EPSILON:
                self.leases.popleft()
        return True

    def pop_spent(self, partition: int) -> float:
        """Return and reset the unreported spent tokens of a partition."""
        return float(self.spent.pop(partition, 0))


TOKEN_EPSILON: typing.Final = 1e-9
"""Tolerance for rounding errors in amounts of tokens."""
