"""Rate and burst of one client account over the whole fleet of edge daemons."""

import dataclasses
import math

from sapphirepaddle.directory import account


@dataclasses.dataclass(slots=True)
class FleetBucket:
    """Token bucket that is replicated on every daemon of the fleet.

    Each daemon keeps the whole bucket and subtracts the admissions that its
    peers report. Admissions that were not reported in time can take the
    bucket below zero; this debt is repaid before the daemon admits requests
    again. The bucket refills by the fleet time, which does not advance for
    the share of daemons that are unreachable.

    Attributes:
        rate: Tokens per second; 0 means unlimited.
        burst: Capacity in tokens.
        tokens: Tokens at the last update; negative in debt.
        updated_at: Fleet time of the last update in seconds.
        admitted: Requests admitted by this daemon since its start.
    """

    rate: float = 0
    burst: float = 0
    tokens: float = 0
    updated_at: float = -math.inf
    admitted: int = 0

    def configure(
        self, client_account: account.Account, fleet_time: float
    ) -> None:
        """Set rate and burst, keeping the tokens already used.

        Args:
            client_account: The account with its new rate and burst.
            fleet_time: Seconds of fleet time.
        """
        if math.isinf(self.updated_at):
            self.tokens = client_account.burst
            self.updated_at = fleet_time
        else:
            self.refill(fleet_time)
            self.tokens += min(0, client_account.burst - self.burst)
        self.rate = client_account.rate
        self.burst = client_account.burst

    def refill(self, fleet_time: float) -> None:
        """Add the tokens accrued since the last update.

        Args:
            fleet_time: Seconds of fleet time.
        """
        new_tokens = max(0, fleet_time - self.updated_at) * self.rate
        self.tokens = min(self.burst, self.tokens + new_tokens)
        self.updated_at = fleet_time

    def admit(self, fleet_time: float, reachable_share: float) -> bool:
        """Take a token for one request, if one is available.

        Args:
            fleet_time: Seconds of fleet time.
            reachable_share: Fraction of the fleet's daemons in contact with
                this one. The burst share of the others is reserved for them.

        Returns:
            Whether the request is admitted.
        """
        if not self.rate:
            return True
        self.refill(fleet_time)
        if self.tokens - self.burst * (1 - reachable_share) < 1:
            return False
        self.tokens -= 1
        self.admitted += 1
        return True

    def record_peer_admissions(self, count: int) -> None:
        """Subtract tokens that other daemons used.

        The debt is limited to the burst plus one second of the rate.
        """
        self.tokens = max(self.tokens - count, -self.burst - self.rate)

    def is_full(self) -> bool:
        """Return whether all used tokens were refilled, or none counts."""
        return not self.rate or self.tokens >= self.burst

    def used_share(self) -> float:
        """Return the used fraction of the burst; above 1 in debt."""
        if not self.burst:
            return 1
        return 1 - self.tokens / self.burst

    def wait_seconds(self) -> float:
        """Return the seconds until the next token is available."""
        if not self.rate:
            return 0
        return max(0, 1 - self.tokens) / self.rate
