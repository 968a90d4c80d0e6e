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
class LeaseRequest:
    """A request for tokens.

    Attributes:
        borrower: Name of the borrowing VM.
        requested: Number of tokens requested.
        spent: Tokens that the borrower has spent since its last request.
    """

    borrower: str
    requested: float
    spent: float = 0


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
        expired_amounts: Tokens of expired leases that may still be reported
            as spent, by borrowing VM.
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
        self.expired_amounts: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst; time before the change uses the old rate."""
        if (rate, burst) == (self.rate, self.burst):
            return
        self.accrue(now)
        self.rate = rate
        self.burst = burst
        self.accrue(now)

    def accrue(self, now: float) -> None:
        """Accrue tokens up to now, limited by the burst.

        A lease counts up to the moment at which it expires, as its tokens may
        be spent until then.
        """
        leased = self.leased()
        for expires_at, amount in self.expire_leases(now):
            self.accrue_until(expires_at, self.burst - leased)
            leased -= amount
        self.accrue_until(now, self.burst - leased)

    def accrue_until(self, end: float, capacity: float) -> None:
        """Accrue tokens up to a time, limited by a constant capacity."""
        if end > self.updated_at:
            self.available += (end - self.updated_at) * self.rate
            self.updated_at = end
        self.available = min(self.available, max(0, capacity))

    def expire_leases(self, now: float) -> list[tuple[float, float]]:
        """Remove expired leases; their tokens count as spent.

        Returns:
            Expiry time and amount of each, in order of expiry.
        """
        expired = []
        for borrower, leases in list(self.leases.items()):
            while leases and leases[0].expires_at <= now:
                lease = leases.popleft()
                expired.append((lease.expires_at, lease.amount))
                self.expired_amounts[borrower] += lease.amount
            if not leases:
                self.leases.pop(borrower)
        return sorted(expired)

    def leased(self) -> float:
        """Return the number of leased tokens."""
        return math.fsum(
            lease.amount for leases in self.leases.values() for lease in leases
        )

    def record_spent(self, borrower: str, spent: float) -> None:
        """Subtract spent tokens from a borrower's leases, oldest first.

        A report contains all tokens that the borrower has spent since the
        last one, so those of leases that have expired here come first.
        """
        spent -= min(spent, self.expired_amounts.pop(borrower, 0))
        leases = self.leases.get(borrower)
        while leases and spent > 0:
            deducted = min(spent, leases[0].amount)
            leases[0].amount -= deducted
            spent -= deducted
            if leases[0].amount <= 0:
                leases.popleft()

    def lease(
        self,
        request: LeaseRequest,
        lease_seconds: float,
        now: float,
    ) -> Grant:
        """Lease whole tokens to a daemon.

        Fractions are not leased, as they could not be spent before they
        expire. Reported tokens make room from now on: when they were spent is
        unknown, so they counted as leased until now.

        Args:
            request: The request of the borrowing VM.
            lease_seconds: Seconds until the lease expires at the owner.
            now: Seconds on the monotonic clock.
        """
        self.accrue(now)
        self.record_spent(request.borrower, request.spent)
        amount = math.floor(
            min(request.requested, self.available) + TOKEN_EPSILON
        )
        if amount > 0:
            self.available = max(0, self.available - amount)
            leases = self.leases.setdefault(
                request.borrower, collections.deque()
            )
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
