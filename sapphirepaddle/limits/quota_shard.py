"""One part of a client account's quota, at its owner.

What the part holds and what it has leased out never exceed the part's
burst together. So the requests admitted in any window, whichever daemon
admits them, are at most the window times the rate, plus the burst: what was
admitted in the window was held or leased at its start, or accrued in it.
"""

import collections
import dataclasses
import math
import typing


@dataclasses.dataclass(slots=True)
class Lease:
    """Tokens leased to one daemon.

    Attributes:
        amount: Tokens not yet known to be spent.
        until: When they lapse at the daemon at the latest.
    """

    amount: float
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What a daemon gets for its question.

    Attributes:
        amount: Tokens leased.
        wait: Seconds until there is one more token.
    """

    amount: float
    wait_seconds: float


class QuotaShard:
    """Rate and burst of one part; pure, the time is passed in.

    Attributes:
        rate: Tokens that accrue a second.
        burst: Tokens held and leased out at most.
        level: Tokens held.
        at: When the level was brought up to date.
        leases: Tokens leased out, oldest first, by daemon.
    """

    def __init__(self, rate: float, burst: float, since: float) -> None:
        """Start empty at the time from which the owner owns the part."""
        self.rate = rate
        self.burst = burst
        self.available: float = 0
        self.updated_at = since
        self.leases: dict[str, collections.deque[Lease]] = {}

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst; what was accrued before is kept."""
        if (rate, burst) == (self.rate, self.burst):
            return
        self.accrue(now)
        self.rate = rate
        self.burst = burst
        self.accrue(now)

    def accrue(self, now: float) -> None:
        """Bring the level up to date."""
        self.expire_leases(now)
        if now > self.updated_at:
            self.available += (now - self.updated_at) * self.rate
            self.updated_at = now
        room = max(0, self.burst - self.leased())
        self.available = min(self.available, room)

    def expire_leases(self, now: float) -> None:
        """Forget leases that lapsed; their tokens count as spent."""
        for name, held in list(self.leases.items()):
            while held and held[0].expires_at <= now:
                held.popleft()
            if not held:
                self.leases.pop(name)

    def leased(self) -> float:
        """Return the tokens leased out."""
        return math.fsum(
            lease.amount for held in self.leases.values() for lease in held
        )

    def record_spent(self, borrower: str, spent: float) -> None:
        """Take off tokens that a daemon spent or gave up."""
        held = self.leases.get(borrower)
        while held and spent > 0:
            taken = min(spent, held[0].amount)
            held[0].amount -= taken
            spent -= taken
            if held[0].amount <= 0:
                held.popleft()

    def lease(
        self,
        borrower: str,
        wanted: float,
        seconds: float,
        now: float,
    ) -> Grant:
        """Lease whole tokens to a daemon.

        A part of a token could not be spent before it lapses.

        Args:
            borrower: Name of the VM.
            wanted: Tokens wanted.
            seconds: How long the tokens are good at the daemon.
            now: Seconds on the monotonic clock.
        """
        self.accrue(now)
        amount = math.floor(min(wanted, self.available) + TOKEN_EPSILON)
        if amount > 0:
            self.available = max(0, self.available - amount)
            held = self.leases.setdefault(borrower, collections.deque())
            held.append(Lease(amount, now + seconds))
        missing = 0 if amount else max(0, 1 - self.available)
        return Grant(amount, missing / self.rate)

    def is_idle(self, now: float) -> bool:
        """Tell whether the part can be forgotten and built again."""
        self.accrue(now)
        return not self.leases and self.available >= self.burst


TOKEN_EPSILON: typing.Final = 1e-9
