"""Estimates the admissions of other daemons that were not reported yet; no I/O.

Load pattern: one account asks at several times its rate at all daemons of a
large fleet. Each of them learns of the admissions of the others with a delay,
and all of them spend the last tokens of the bucket in that delay.
"""

import math
import typing

AVERAGING_SECONDS: typing.Final = 0.4
"""Time constant of the rate of the reports. A flood at several times the rate
shows in it before it has used up a burst of one second."""
FLOOD_SECONDS: typing.Final = 1.0
"""Time after a refusal for which an account counts as over its quota."""
MAX_BURST_SHARE: typing.Final = 0.8
"""Part of the burst that may be kept for unreported admissions, so that a part
is always left to daemons whose peers are idle."""


class UnreportedAdmissions:
    """Rate at which other daemons report admissions of an account.

    Attributes:
        per_second: Reported admissions per second at the last update.
        updated_at: Time of the last update in seconds.
        refused_at: Time of the last refusal of this daemon.
    """

    def __init__(self) -> None:
        """Initialize without reports."""
        self.per_second: float = 0
        self.updated_at = -math.inf
        self.refused_at = -math.inf

    def record_report(self, count: int, now: float) -> None:
        """Record admissions that other daemons reported."""
        self.per_second = self.read_rate(now) + count / AVERAGING_SECONDS
        self.updated_at = now

    def read_rate(self, now: float) -> float:
        """Return the reported admissions per second."""
        if math.isinf(self.updated_at):
            return 0
        age = max(0, now - self.updated_at)
        return self.per_second * math.exp(-age / AVERAGING_SECONDS)

    def record_refusal(self, now: float) -> None:
        """Record that a request over the quota was refused."""
        self.refused_at = now

    def expected_count(
        self, now: float, rate: float, burst: float, delay_seconds: float
    ) -> float:
        """Return the number of tokens to keep for unreported admissions.

        While an account keeps to its rate these are refilled as fast as they
        are spent, and nothing is kept.

        Args:
            now: Time in seconds.
            rate: Tokens per second of the account.
            burst: Capacity of its bucket in tokens.
            delay_seconds: Time within which admissions are reported.
        """
        is_flooding = now - self.refused_at < FLOOD_SECONDS
        refilled_rate = 0 if is_flooding else rate
        excess_rate = max(0, self.read_rate(now) - refilled_rate)
        return min(excess_rate * delay_seconds, burst * MAX_BURST_SHARE)
