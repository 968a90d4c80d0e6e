"""How client accounts fared in a replay; pure."""

import collections
import dataclasses
import typing
from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.replay import environment, records

HTTP_ERROR: typing.Final = 400


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AccountMeasure:
    """How one client account fared.

    Attributes:
        account: Its name.
        sent: Requests sent.
        within: Requests within its rate and burst.
        served: Requests served.
        refused_within: Requests refused as over rate beyond those that
            were over it.
        ratio: Served of those within its rate.
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
    """Return how many requests one exact token bucket admits."""
    level = burst
    before: float = 0
    admitted = 0
    for at in times:
        level = min(burst, level + (at - before) * rate)
        before = at
        if level >= 1:
            level -= 1
            admitted += 1
    return admitted


def measure_account(
    name: str,
    results: abc.Sequence[records.RequestResult],
    held: environment.Account,
) -> AccountMeasure:
    """Measure how one client account fared."""
    times = sorted(result.at for result in results)
    within = count_within_rate(times, held.rate, held.burst)
    served = sum(map(is_served, results))
    refused = sum(result.code == codes.OVER_RATE.number for result in results)
    over = len(results) - within
    return AccountMeasure(
        account=name,
        sent=len(results),
        within=within,
        served=served,
        refused_within=max(0, refused - over),
        ratio=round(min(1, served / within), 4) if within else 1,
    )


def group_by_account(
    results: abc.Iterable[records.RequestResult],
) -> dict[str, list[records.RequestResult]]:
    """Group results by client account."""
    groups: dict[str, list[records.RequestResult]] = collections.defaultdict(
        list
    )
    for result in results:
        groups[result.request.account].append(result)
    return groups


def is_served(result: records.RequestResult) -> bool:
    """Tell whether a request was served."""
    return 0 < result.status < HTTP_ERROR
