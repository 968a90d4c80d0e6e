"""Rate and burst of one client account over the whole fleet."""

import dataclasses
import math

from sapphirepaddle.directory import account


@dataclasses.dataclass(slots=True)
class FleetBucket:
    """Token bucket that other daemons' admissions drain as well.

    Each daemon keeps the whole bucket and hears what the others admit. It
    may go below zero by what was admitted unheard, and pays that back
    before it admits again. It refills by the fleet time, in which the part
    of a daemon that is not heard stands still.

    Attributes:
        rate: Tokens per second.
        burst: Most tokens.
        tokens: Tokens at the last update.
        updated: Fleet time of the last update.
        admitted: Own admissions since the start of the daemon.
    """

    rate: float = 0
    burst: float = 0
    tokens: float = 0
    updated: float = -math.inf
    admitted: int = 0

    def configure(self, held: account.Account, elapsed: float) -> None:
        """Take up rate and burst; what was admitted stays counted."""
        if math.isinf(self.updated):
            self.tokens = held.burst
            self.updated = elapsed
        else:
            self.refill(elapsed)
            self.tokens += min(0, held.burst - self.burst)
        self.rate = held.rate
        self.burst = held.burst

    def refill(self, elapsed: float) -> None:
        """Add the tokens of the time since the last update.

        Args:
            elapsed: Seconds of fleet time.
        """
        gained = max(0, elapsed - self.updated) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.updated = elapsed

    def admit(self, elapsed: float, share: float) -> bool:
        """Take a token for one request, if there is one.

        Args:
            elapsed: Seconds of fleet time.
            share: Part of the fleet that is heard; the others' part of the
                burst is left to them.
        """
        if not self.rate:
            return True
        self.refill(elapsed)
        if self.tokens - self.burst * (1 - share) < 1:
            return False
        self.tokens -= 1
        self.admitted += 1
        return True

    def record_peer_admissions(self, count: int) -> None:
        """Take the tokens that other daemons used."""
        self.tokens = max(self.tokens - count, -self.burst - self.rate)

    def used_share(self) -> float:
        """Return the part of the burst that is used; over 1 in debt."""
        if not self.burst:
            return 1
        return 1 - self.tokens / self.burst

    def wait_seconds(self) -> float:
        """Return the seconds until there is a token again."""
        if not self.rate:
            return 0
        return max(0, 1 - self.tokens) / self.rate
