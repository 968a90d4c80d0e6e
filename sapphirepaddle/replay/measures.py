"""The users' measures of a replay; pure."""

import collections
import dataclasses
import math
import typing
from collections import abc

from sapphirepaddle.replay import (
    accounts,
    checks,
    detection,
    environment,
    records,
    trace,
)

MILLISECONDS_PER_SECOND: typing.Final = 1000
PERCENT: typing.Final = 100
MEDIAN: typing.Final = 50
P99_PERCENT: typing.Final = 99


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """All measures of a replay.

    Attributes:
        sent: Requests sent.
        served: Requests served.
        refusals: Refusals by result code.
        unanswered: Requests without a whole answer.
        median_ms: Time to the answer, at the median.
        most_ms: Time to the answer, for 99 in 100.
        worst_ratio: Lowest ratio of an account.
        best_ratio: Highest ratio of an account.
        refused_within: Requests refused as over rate although within it.
        score: Units for reads served and orders run exactly once.
        possible_score: Units if every request within rate were served.
        runs_twice: Orders that ran more than once.
        not_run_false: Refusals that said "not run" of requests that ran.
        crossed: Served answers that name another request.
        keys_seen: Runs at which a target saw a key.
        over_rate: Largest excess of an account's runs over rate and burst.
        detection_median: Seconds to the ejection of a faulty target, median.
        detection_most: Seconds to the ejection at worst.
        undetected: Faulty targets that were not ejected.
        false_ejections: Ejections of targets without a fault.
        fared: By client account.
    """

    sent: int
    served: int
    refusals: dict[int, int]
    unanswered: int
    median_ms: float
    most_ms: float
    worst_ratio: float
    best_ratio: float
    refused_within: int
    score: float
    possible_score: float
    runs_twice: int
    not_run_false: int
    crossed: int
    keys_seen: int
    over_rate: float
    detection_median: float
    detection_most: float
    undetected: int
    false_ejections: int
    fared: tuple[accounts.AccountMeasure, ...]


def percentile(numbers: abc.Sequence[float], percent: float) -> float:
    """Return a percentile; 0 if there are none."""
    if not numbers:
        return 0
    ordered = sorted(numbers)
    place = math.ceil(len(ordered) * percent / PERCENT) - 1
    return ordered[max(0, place)]


def measure(
    recorded: trace.Trace,
    bench: environment.Environment,
    results: abc.Sequence[records.RequestResult],
    runs: abc.Sequence[records.Execution],
    ejections: abc.Sequence[records.Ejection],
) -> Measures:
    """Measure a replay.

    Args:
        recorded: The trace.
        bench: What it ran against.
        results: What became of the requests.
        runs: Execution logs of all targets.
        ejections: Ejections in the audit trail.
    """
    fared = [
        accounts.measure_account(name, group, bench.accounts[name])
        for name, group in sorted(accounts.group_by_account(results).items())
        if name in bench.accounts
    ]
    counts = collections.Counter(run.identifier for run in runs)
    served = [result for result in results if accounts.is_served(result)]
    times = [result.seconds * MILLISECONDS_PER_SECOND for result in served]
    ratios = [entry.ratio for entry in fared]
    found = detection.measure(recorded, ejections)
    refusals = collections.Counter(
        result.code for result in results if result.code
    )
    return Measures(
        sent=len(results),
        served=len(served),
        refusals=dict(sorted(refusals.items())),
        unanswered=sum(result.status == 0 for result in results),
        median_ms=round(percentile(times, MEDIAN), 1),
        most_ms=round(percentile(times, P99_PERCENT), 1),
        worst_ratio=min(ratios, default=1),
        best_ratio=max(ratios, default=1),
        refused_within=sum(entry.refused_within for entry in fared),
        score=score(recorded, bench, served, counts),
        possible_score=possible_score(recorded, bench, results, fared),
        runs_twice=checks.count_run_twice(bench, results, counts),
        not_run_false=checks.count_false_not_run(results, runs),
        crossed=sum(not result.is_echoed for result in served),
        keys_seen=sum(run.saw_key for run in runs),
        over_rate=checks.max_account_excess(bench, runs),
        detection_median=found.median_seconds,
        detection_most=found.max_seconds,
        undetected=found.undetected,
        false_ejections=detection.count_false_ejections(recorded, ejections),
        fared=tuple(fared),
    )


def score(
    recorded: trace.Trace,
    bench: environment.Environment,
    served: abc.Sequence[records.RequestResult],
    counts: abc.Mapping[str, int],
) -> float:
    """Return the units for reads served and orders run exactly once."""
    reads = sum(not checks.is_at_most_once(result, bench) for result in served)
    orders = {
        result.identifier
        for result in served
        if checks.is_at_most_once(result, bench)
        and counts.get(result.identifier, 0) == 1
    }
    head = recorded.head
    return reads * head.read_score + len(orders) * head.order_score


def possible_score(
    recorded: trace.Trace,
    bench: environment.Environment,
    results: abc.Sequence[records.RequestResult],
    fared: abc.Sequence[accounts.AccountMeasure],
) -> float:
    """Return the units if every request within rate were served.

    Requests beyond the rate are taken off at the lower score.
    """
    head = recorded.head
    orders = {
        result.identifier
        for result in results
        if checks.is_at_most_once(result, bench)
    }
    reads = sum(not checks.is_at_most_once(result, bench) for result in results)
    beyond = sum(entry.sent - entry.within for entry in fared)
    lost = beyond * min(head.read_score, head.order_score)
    return reads * head.read_score + len(orders) * head.order_score - lost
