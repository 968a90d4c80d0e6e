"""Quotas of all client accounts, as enforced by one edge daemon."""

import dataclasses
import random
import typing
from collections import abc

from sapphirepaddle.directory import account
from sapphirepaddle.limits import fleet_bucket
from sapphirepaddle.settings import edge

TOLERANCE_RATIO: typing.Final = 0.5
"""Fraction of the operators' tolerance that is added to each quota.

It keeps the counting error of a distributed limiter from refusing requests
that are within the quota. The rest of the tolerance covers admissions of
other daemons that have not been reported yet.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The result of a quota check for one request.

    Attributes:
        is_admitted: Whether the request is within the quota.
        tokens: Tokens left in the account's bucket; negative in debt.
        reachable_share: Fraction of the fleet's daemons in contact with
            this one, from 0 to 1.
        wait_seconds: Seconds until the next token is available.
    """

    is_admitted: bool
    tokens: float
    reachable_share: float
    wait_seconds: float


class AccountQuotas:
    """Token buckets of all client accounts.

    Attributes:
        rate_tolerance: Fraction of the rate that is admitted on top of it.
        burst_tolerance: Requests that are admitted on top of the burst.
        buckets: Buckets by account name.
        used_accounts: Names of accounts with local admissions whose bucket
            has not been full since.
        read_fleet_time: Returns the fleet time in seconds.
        read_reachable_share: Returns the fraction of the fleet's daemons in
            contact with this one, itself included.
        on_admitted: Called with the account name after each admission that
            counts against a quota.
        rng: Random number generator.
        read_report_delay: Returns the time in seconds within which the other
            daemons report their admissions; 0 if it can be ignored.
        starts_full: Whether nothing was admitted before this daemon started,
            as no daemon of the fleet had run.
    """

    def __init__(
        self,
        bounds: edge.Bounds,
        read_fleet_time: abc.Callable[[], float],
        read_reachable_share: abc.Callable[[], float],
        on_admitted: abc.Callable[[str], None],
    ) -> None:
        """Initialize without buckets."""
        self.rate_tolerance = bounds.quota_excess * TOLERANCE_RATIO
        self.burst_tolerance = bounds.quota_slack * TOLERANCE_RATIO
        self.buckets: dict[str, fleet_bucket.FleetBucket] = {}
        self.used_accounts: set[str] = set()
        self.read_fleet_time = read_fleet_time
        self.read_reachable_share = read_reachable_share
        self.on_admitted = on_admitted
        self.rng = random.Random()
        self.read_report_delay: abc.Callable[[], float] = no_delay
        self.starts_full = False

    def configure(self, accounts: abc.Iterable[account.Account]) -> None:
        """Create or update the buckets of a configuration's accounts."""
        fleet_time = self.read_fleet_time()
        for client_account in accounts:
            bucket = self.buckets.setdefault(
                client_account.name,
                fleet_bucket.FleetBucket(),
            )
            bucket.configure(
                self.with_tolerance(client_account),
                fleet_time,
                starts_full=self.starts_full,
            )

    def with_tolerance(
        self, client_account: account.Account
    ) -> account.Account:
        """Return a copy with the tolerance added to rate and burst.

        An account without a rate is unlimited and returned unchanged.
        """
        if not client_account.rate:
            return client_account
        return dataclasses.replace(
            client_account,
            rate=client_account.rate * (1 + self.rate_tolerance),
            burst=client_account.burst + self.burst_tolerance,
        )

    def admit(self, name: str, rank: float = 0) -> Admission:
        """Check one request against its account's quota.

        Args:
            name: Name of the account.
            rank: Rank of the request by urgency, from 0 (most urgent) to 1.

        Raises:
            KeyError: If no account of that name is configured.
        """
        bucket = self.buckets[name]
        reachable_share = self.read_reachable_share()
        is_admitted = bucket.admit(
            self.read_fleet_time(),
            reachable_share,
            self.read_report_delay(),
            self.kept_tokens(bucket, rank),
        )
        if is_admitted and bucket.rate:
            self.used_accounts.add(name)
            self.on_admitted(name)
        return Admission(
            is_admitted, bucket.tokens, reachable_share, bucket.wait_seconds()
        )

    def kept_tokens(
        self, bucket: fleet_bucket.FleetBucket, rank: float
    ) -> float:
        """Return the tokens that a request leaves to more urgent ones."""
        if not bucket.rate:
            return 0
        return bucket.order.kept_tokens(
            bucket.burst, rank, self.read_fleet_time(), self.rng
        )

    def record_peer_admissions(self, name: str, count: int) -> None:
        """Subtract admissions that another daemon reported.

        Reports for accounts that are not configured here are ignored.
        """
        bucket = self.buckets.get(name)
        if bucket is not None:
            fleet_time = self.read_fleet_time()
            bucket.refill(fleet_time)
            bucket.record_peer_admissions(count, fleet_time)

    def adopt(self, name: str, tokens: float) -> None:
        """Take over the tokens of an account from another daemon."""
        self.buckets[name].adopt(tokens, self.read_fleet_time())

    def read_tokens(self, name: str) -> float:
        """Return the tokens left of an account."""
        bucket = self.buckets[name]
        bucket.refill(self.read_fleet_time())
        return bucket.tokens

    def read_used_accounts(self) -> set[str]:
        """Update and return the names of the used accounts."""
        fleet_time = self.read_fleet_time()
        for name in tuple(self.used_accounts):
            bucket = self.buckets[name]
            bucket.refill(fleet_time)
            if bucket.is_full():
                self.used_accounts.remove(name)
        return self.used_accounts


def no_delay() -> float:
    """Return 0: by default admissions count as reported at once."""
    return 0
