"""One shard of a client account's quota, as kept by its owner.

The available and the leased tokens of a shard together never exceed its
burst. So the number of requests admitted in any window, by any daemon, is at
most the window's length times the rate, plus the burst: each token spent in
the window was available or leased at its start, or accrued within it.
"""

import collections
import dataclasses
import math
import typing


@dataclasses.dataclass(slots=True)
class Lease:
    """Tokens leased to one daemon.

    Attributes:
        amount: Tokens not yet reported as spent.
        expires_at: Time by which the tokens have expired at the daemon.
    """

    amount: float
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The result of a token request.

    Attributes:
        amount: Number of tokens leased.
        wait_seconds: Seconds until a token is available; 0 if some were
            leased.
    """

    amount: float
    wait_seconds: float


class QuotaShard:
    """Token bucket of one shard; the current time is always passed in.

    Attributes:
        rate: Tokens accrued per second.
        burst: Upper limit of available and leased tokens together.
        available: Tokens that can be leased.
        updated_at: Time up to which tokens have been accrued.
        leases: Leases by borrowing VM, oldest first.
    """

    def __init__(self, rate: float, burst: float, accrues_from: float) -> None:
        """Initialize an empty shard.

        Args:
            rate: Tokens accrued per second.
            burst: Upper limit of available and leased tokens together.
            accrues_from: Time from which the owner may lease tokens.
        """
        self.rate = rate
        self.burst = burst
        self.available: float = 0
        self.updated_at = accrues_from
        self.leases: dict[str, collections.deque[Lease]] = {}

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst; time before the change uses the old rate."""
        if (rate, burst) == (self.rate, self.burst):
            return
        self.accrue(now)
        self.rate = rate
        self.burst = burst
        self.accrue(now)

    def accrue(self, now: float) -> None:
        """Accrue tokens up to now, limited by the burst."""
        self.expire_leases(now)
        if now > self.updated_at:
            self.available += (now - self.updated_at) * self.rate
            self.updated_at = now
        capacity = max(0, self.burst - self.leased())
        self.available = min(self.available, capacity)

    def expire_leases(self, now: float) -> None:
        """Remove expired leases; their tokens count as spent."""
        for borrower, leases in list(self.leases.items()):
            while leases and leases[0].expires_at <= now:
                leases.popleft()
            if not leases:
                self.leases.pop(borrower)

    def leased(self) -> float:
        """Return the number of leased tokens."""
        return math.fsum(
            lease.amount for leases in self.leases.values() for lease in leases
        )

    def record_spent(self, borrower: str, spent: float) -> None:
        """Subtract spent tokens from a borrower's leases, oldest first."""
        leases = self.leases.get(borrower)
        while leases and spent > 0:
            deducted = min(spent, leases[0].amount)
            leases[0].amount -= deducted
            spent -= deducted
            if leases[0].amount <= 0:
                leases.popleft()

    def lease(
        self,
        borrower: str,
        requested: float,
        lease_seconds: float,
        now: float,
    ) -> Grant:
        """Lease whole tokens to a daemon.

        Fractions are not leased, as they could not be spent before they
        expire.

        Args:
            borrower: Name of the borrowing VM.
            requested: Number of tokens requested.
            lease_seconds: Seconds until the lease expires at the owner.
            now: Seconds on the monotonic clock.
        """
        self.accrue(now)
        amount = math.floor(min(requested, self.available) + TOKEN_EPSILON)
        if amount > 0:
            self.available = max(0, self.available - amount)
            leases = self.leases.setdefault(borrower, collections.deque())
            leases.append(Lease(amount, now + lease_seconds))
        missing = 0 if amount else max(0, 1 - self.available)
        return Grant(amount, missing / self.rate)

    def is_idle(self, now: float) -> bool:
        """Return whether the shard is full and has no leases.

        Such a shard can be dropped and created again later.
        """
        self.accrue(now)
        return not self.leases and self.available >= self.burst


TOKEN_EPSILON: typing.Final = 1e-9
"""Tolerance for rounding errors in amounts of tokens."""
