"""Measures of client accounts in a replay; no I/O."""

import collections
import dataclasses
import typing
from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.replay import environment, records

MIN_ERROR_STATUS: typing.Final = 400


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AccountMeasure:
    """Measures of one client account.

    Attributes:
        account: Name of the client account.
        sent: Number of requests sent.
        within: Number of requests within rate and burst.
        served: Number of requests served.
        refused_within: Number of over-rate refusals beyond the number of
            requests that were over the rate.
        ratio: Served requests divided by requests within the rate, at
            most 1.
    """

    account: str
    sent: int
    within: int
    served: int
    refused_within: int
    ratio: float


def count_within_rate(
    times: abc.Iterable[float], rate: float, burst: float
) -> int:
    """Return how many requests an exact token bucket admits.

    Args:
        times: Times of the requests in seconds, ascending.
        rate: Requests per second.
        burst: Size of the bucket in requests.
    """
    tokens = burst
    previous_at: float = 0
    admitted = 0
    for at in times:
        tokens = min(burst, tokens + (at - previous_at) * rate)
        previous_at = at
        if tokens >= 1:
            tokens -= 1
            admitted += 1
    return admitted


def measure_account(
    name: str,
    results: abc.Sequence[records.RequestResult],
    account: environment.Account,
) -> AccountMeasure:
    """Compute the measures of one client account."""
    times = sorted(result.at for result in results)
    within_rate = count_within_rate(times, account.rate, account.burst)
    served = sum(map(is_served, results))
    refused = sum(result.code == codes.OVER_RATE.number for result in results)
    over_rate = len(results) - within_rate
    return AccountMeasure(
        account=name,
        sent=len(results),
        within=within_rate,
        served=served,
        refused_within=max(0, refused - over_rate),
        ratio=round(min(1, served / within_rate), 4) if within_rate else 1,
    )


def group_by_account(
    results: abc.Iterable[records.RequestResult],
) -> dict[str, list[records.RequestResult]]:
    """Group results by the name of the client account."""
    groups: dict[str, list[records.RequestResult]] = collections.defaultdict(
        list
    )
    for result in results:
        groups[result.request.account].append(result)
    return groups


def is_served(result: records.RequestResult) -> bool:
    """Return whether a request got a complete response without an error."""
    return 0 < result.status < MIN_ERROR_STATUS
