"""Quota of all client accounts at one daemon."""

import dataclasses
import typing
from collections import abc

from sapphirepaddle.directory import account
from sapphirepaddle.limits import fleet_bucket
from sapphirepaddle.settings import edge

TOLERANCE_RATIO: typing.Final = 0.5
"""Part of the operators' tolerance that is admitted, so that the error of
counting over a fleet does not refuse what is within the quota; the rest
covers admissions that are not heard of yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The decision on one request.

    Attributes:
        is_admitted: Whether it is within the quota.
        tokens: Tokens left.
        share: Part of the fleet that is heard.
        wait: Seconds until there is a token again.
    """

    is_admitted: bool
    tokens: float
    reachable_share: float
    wait_seconds: float


class AccountQuotas:
    """Buckets by client account.

    Attributes:
        excess: Share of the rate that is admitted beyond it.
        slack: Requests that are admitted beyond the burst.
        buckets: Buckets by name.
        read_elapsed: Returns the fleet time in seconds.
        read_share: Returns the part of the fleet's daemons in touch with
            this one, itself included.
        noted: Called with the account after an admission that its quota
            counts.
    """

    def __init__(
        self,
        bounds: edge.Bounds,
        read_elapsed: abc.Callable[[], float],
        read_share: abc.Callable[[], float],
        noted: abc.Callable[[str], None],
    ) -> None:
        """Start without accounts."""
        self.excess = bounds.quota_excess * TOLERANCE_RATIO
        self.slack = bounds.quota_slack * TOLERANCE_RATIO
        self.buckets: dict[str, fleet_bucket.FleetBucket] = {}
        self.read_fleet_time = read_elapsed
        self.read_reachable_share = read_share
        self.on_admitted = noted

    def configure(self, accounts: abc.Iterable[account.Account]) -> None:
        """Take up the accounts of a configuration."""
        elapsed = self.read_fleet_time()
        for held in accounts:
            bucket = self.buckets.setdefault(
                held.name,
                fleet_bucket.FleetBucket(),
            )
            bucket.configure(self.with_tolerance(held), elapsed)

    def with_tolerance(self, held: account.Account) -> account.Account:
        """Return an account with the tolerance that is admitted."""
        if not held.rate:
            return held
        return dataclasses.replace(
            held,
            rate=held.rate * (1 + self.excess),
            burst=held.burst + self.slack,
        )

    def admit(self, name: str) -> Admission:
        """Decide on one request of an account."""
        bucket = self.buckets[name]
        share = self.read_reachable_share()
        is_admitted = bucket.admit(self.read_fleet_time(), share)
        if is_admitted and bucket.rate:
            self.on_admitted(name)
        return Admission(
            is_admitted, bucket.tokens, share, bucket.wait_seconds()
        )

    def record_peer_admissions(self, name: str, count: int) -> None:
        """Take in what another daemon admitted."""
        bucket = self.buckets.get(name)
        if bucket is not None:
            bucket.refill(self.read_fleet_time())
            bucket.record_peer_admissions(count)
