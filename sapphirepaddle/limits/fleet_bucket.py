"""Rate and burst of one client account over the whole fleet of edge daemons."""

import dataclasses
import math
import typing

from sapphirepaddle.directory import account
from sapphirepaddle.limits import quota_order, unreported_admissions

START_SECONDS: typing.Final = 0.5
"""Least time from the end of a process to the start of its successor, which has
to load its modules before it is started as a daemon."""
MIN_START_TOKENS: typing.Final = 1
"""Tokens of an account at the start at least, so that one with a low rate does
not wait for its first request."""


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
        unreported: Estimates the admissions that peers have not reported yet.
        order: Order of the requests by urgency.
        has_adopted: Whether the tokens were taken over from another daemon.
        settled_at: Fleet time from which a refusal shows that the account asks
            for more than its quota.
    """

    rate: float = 0
    burst: float = 0
    tokens: float = 0
    updated_at: float = -math.inf
    admitted: int = 0
    unreported: unreported_admissions.UnreportedAdmissions = dataclasses.field(
        default_factory=unreported_admissions.UnreportedAdmissions
    )
    order: quota_order.QuotaOrder = dataclasses.field(
        default_factory=quota_order.QuotaOrder
    )
    has_adopted: bool = False
    settled_at: float = -math.inf

    def configure(
        self,
        client_account: account.Account,
        fleet_time: float,
        *,
        starts_full: bool = False,
    ) -> None:
        """Set rate and burst, keeping the tokens already used.

        What was admitted before this daemon started is not known to it, nor to
        anybody if all daemons were killed. So its bucket starts empty with
        the daemon, as if the burst had just been used, and refills since then.

        Args:
            client_account: The account with its new rate and burst.
            fleet_time: Seconds of fleet time since the start of the daemon.
            starts_full: Whether nothing was admitted before the start.
        """
        if math.isinf(self.updated_at):
            self.tokens = client_account.burst
            if not starts_full:
                self.start_empty(client_account, fleet_time)
            self.updated_at = fleet_time
        else:
            self.refill(fleet_time)
            self.tokens += min(0, client_account.burst - self.burst)
        self.rate = client_account.rate
        self.burst = client_account.burst

    def start_empty(
        self, client_account: account.Account, fleet_time: float
    ) -> None:
        """Set the tokens that have accrued since the last admission.

        It was START_SECONDS before the start of this daemon, or longer. Until
        a used burst would be refilled, a refusal does not show that the
        account asks for more than its quota.
        """
        rate = client_account.rate
        accrued = max(MIN_START_TOKENS, (START_SECONDS + fleet_time) * rate)
        self.tokens = min(client_account.burst, accrued)
        if rate:
            self.settled_at = client_account.burst / rate

    def adopt(self, tokens: float, fleet_time: float) -> None:
        """Take over the tokens that another daemon knows to be left.

        Of several daemons the one that knows of most admissions is right. None
        may know those of this daemon yet.

        Args:
            tokens: Tokens left.
            fleet_time: Seconds of fleet time.
        """
        self.refill(fleet_time)
        limit = self.tokens if self.has_adopted else self.burst
        self.tokens = min(tokens - self.admitted, limit)
        self.has_adopted = True
        self.settled_at = -math.inf

    def refill(self, fleet_time: float) -> None:
        """Add the tokens accrued since the last update.

        Args:
            fleet_time: Seconds of fleet time.
        """
        new_tokens = max(0, fleet_time - self.updated_at) * self.rate
        self.tokens = min(self.burst, self.tokens + new_tokens)
        self.updated_at = fleet_time

    def admit(
        self,
        fleet_time: float,
        reachable_share: float,
        report_delay_seconds: float = 0,
        kept_tokens: float = 0,
    ) -> bool:
        """Take a token for one request, if one is available.

        Args:
            fleet_time: Seconds of fleet time.
            reachable_share: Fraction of the fleet's daemons in contact with
                this one. The burst share of the others is reserved for them.
            report_delay_seconds: Time within which the other daemons report
                admissions; 0 if it is short enough to be ignored.
            kept_tokens: Tokens to leave to more urgent requests while the
                account asks for more than its rate.

        Returns:
            Whether the request is admitted.
        """
        if not self.rate:
            return True
        self.refill(fleet_time)
        reserved = self.burst * (1 - reachable_share)
        expected = self.unreported.expected_count(
            fleet_time, self.rate, self.burst, report_delay_seconds
        )
        available = self.tokens - max(reserved, expected)
        if available < 1:
            self.unreported.record_refusal(fleet_time)
            self.order.is_needed = fleet_time >= self.settled_at
            return False
        if self.tokens >= self.burst * quota_order.RECOVERED_SHARE:
            self.order.is_needed = False
        if self.order.is_needed and available - kept_tokens < 1:
            return False
        self.tokens -= 1
        self.admitted += 1
        return True

    def record_peer_admissions(self, count: int, fleet_time: float) -> None:
        """Subtract tokens that other daemons used.

        The debt is limited to the burst plus one second of the rate.
        """
        self.unreported.record_report(count, fleet_time)
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
