"""Which requests of an account get its last tokens; performs no I/O.

Load pattern: an account asks at several times its quota, for orders as well as
for lookups. Tokens that are spent in order of arrival go to the kind that asks
most, and the most urgent requests of the account are refused like any other.
"""

import math
import random
import typing

KEPT_BURST_SHARE: typing.Final = 0.6
"""Part of the burst that is kept for the most urgent requests while an account
asks for more than its quota. Less is kept from requests of medium urgency."""
GUARANTEED_SHARE: typing.Final = 0.25
"""Part of the quota that less urgent requests get at least, however many urgent
ones there are."""
RECOVERED_SHARE: typing.Final = 0.9
"""Part of the burst from which a bucket has recovered."""
MIN_UNRANKED_SHARE: typing.Final = 0.02
AVERAGING_SECONDS: typing.Final = 5.0
"""Time constant of the mix of requests. A daemon gets a few requests of an
account in a second."""


def rank_priorities(priorities: typing.Iterable[int]) -> dict[int, float]:
    """Return a rank from 0 (most urgent) to 1 for each priority.

    Args:
        priorities: Priorities of all routes; 0 is the highest.
    """
    ordered = sorted(set(priorities))
    steps = max(1, len(ordered) - 1)
    return {
        priority: position / steps for position, priority in enumerate(ordered)
    }


class QuotaOrder:
    """Order of the requests of one account by urgency.

    Attributes:
        urgent_count: Most urgent requests, decayed by age.
        other_count: Other requests, decayed by age.
        updated_at: Time of the last request in seconds.
        is_needed: Whether the account asks for more than its quota: a request
            was refused, and the bucket has not recovered since.
    """

    def __init__(self) -> None:
        """Initialize without requests."""
        self.urgent_count: float = 0
        self.other_count: float = 0
        self.updated_at = -math.inf
        self.is_needed = False

    def kept_tokens(
        self, burst: float, rank: float, now: float, rng: random.Random
    ) -> float:
        """Record a request; return the tokens to leave to more urgent ones.

        Nothing is kept from some of the less urgent requests, so many that
        they get their guaranteed part beside the urgent ones.

        Args:
            burst: Capacity of the bucket in tokens.
            rank: Rank of the request, from 0 (most urgent) to 1.
            now: Time in seconds.
            rng: Random number generator.
        """
        self.record(rank, now)
        if not rank or rng.random() < self.unranked_share():
            return 0
        return burst * KEPT_BURST_SHARE * rank

    def record(self, rank: float, now: float) -> None:
        """Count a request in the mix."""
        decay = math.exp(min(0, self.updated_at - now) / AVERAGING_SECONDS)
        self.urgent_count = self.urgent_count * decay + (not rank)
        self.other_count = self.other_count * decay + bool(rank)
        self.updated_at = now

    def unranked_share(self) -> float:
        """Return the part of the others for which nothing is kept back."""
        odds = GUARANTEED_SHARE / (1 - GUARANTEED_SHARE)
        share = odds * self.urgent_count / max(1, self.other_count)
        return min(1, max(MIN_UNRANKED_SHARE, share))
