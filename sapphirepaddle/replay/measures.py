"""Measures of a replay as its callers see it; no I/O."""

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
MEDIAN_PERCENT: typing.Final = 50
P99_PERCENT: typing.Final = 99


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """All measures of a replay.

    Attributes:
        sent: Number of requests sent.
        served: Number of requests served.
        refusals: Number of refusals by result code.
        unanswered: Number of requests without a complete response.
        median_ms: Median latency of served requests in milliseconds.
        most_ms: Latency that 99 in 100 served requests do not exceed.
        worst_ratio: Lowest served ratio of an account.
        best_ratio: Highest served ratio of an account.
        refused_within: Number of requests refused as over rate although
            within it.
        score: Units for reads served and non-idempotent requests executed
            exactly once.
        possible_score: Score if every request within its rate were served.
        runs_twice: Number of non-idempotent requests executed more than once.
        not_run_false: Number of refusals as "not run" of executed requests.
        crossed: Number of responses that belong to another request.
        keys_seen: Number of executions at which a target saw a key.
        over_rate: Largest excess of executed requests over the rate and burst
            of their account.
        detection_median: Median seconds from a fault to the ejection.
        detection_most: Maximum seconds from a fault to the ejection.
        undetected: Number of faulty targets that were not ejected.
        false_ejections: Number of ejections of targets without a fault.
        fared: Measures of each client account.
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
    """Return a percentile by nearest rank; 0 if there are no numbers."""
    if not numbers:
        return 0
    ordered = sorted(numbers)
    rank = math.ceil(len(ordered) * percent / PERCENT) - 1
    return ordered[max(0, rank)]


def measure(
    recorded_trace: trace.Trace,
    replay_environment: environment.Environment,
    results: abc.Sequence[records.RequestResult],
    executions: abc.Sequence[records.Execution],
    ejections: abc.Sequence[records.Ejection],
) -> Measures:
    """Compute the measures of a replay.

    Args:
        recorded_trace: Replayed trace.
        replay_environment: Environment that the trace was replayed against.
        results: Results of all requests.
        executions: Execution logs of all targets.
        ejections: Ejections from the audit log.
    """
    account_measures = [
        accounts.measure_account(name, group, replay_environment.accounts[name])
        for name, group in sorted(accounts.group_by_account(results).items())
        if name in replay_environment.accounts
    ]
    execution_counts = collections.Counter(
        execution.identifier for execution in executions
    )
    served = [result for result in results if accounts.is_served(result)]
    latencies_ms = [
        result.seconds * MILLISECONDS_PER_SECOND for result in served
    ]
    ratios = [entry.ratio for entry in account_measures]
    detected = detection.measure(recorded_trace, ejections)
    refusals = collections.Counter(
        result.code for result in results if result.code
    )
    return Measures(
        sent=len(results),
        served=len(served),
        refusals=dict(sorted(refusals.items())),
        unanswered=sum(result.status == 0 for result in results),
        median_ms=round(percentile(latencies_ms, MEDIAN_PERCENT), 1),
        most_ms=round(percentile(latencies_ms, P99_PERCENT), 1),
        worst_ratio=min(ratios, default=1),
        best_ratio=max(ratios, default=1),
        refused_within=sum(entry.refused_within for entry in account_measures),
        score=score(
            recorded_trace, replay_environment, served, execution_counts
        ),
        possible_score=possible_score(
            recorded_trace, replay_environment, results, account_measures
        ),
        runs_twice=checks.count_run_twice(
            replay_environment, results, execution_counts
        ),
        not_run_false=checks.count_false_not_run(results, executions),
        crossed=sum(not result.is_echoed for result in served),
        keys_seen=sum(execution.saw_key for execution in executions),
        over_rate=checks.max_account_excess(replay_environment, executions),
        detection_median=detected.median_seconds,
        detection_most=detected.max_seconds,
        undetected=detected.undetected,
        false_ejections=detection.count_false_ejections(
            recorded_trace, ejections
        ),
        fared=tuple(account_measures),
    )


def score(
    recorded_trace: trace.Trace,
    replay_environment: environment.Environment,
    served: abc.Sequence[records.RequestResult],
    execution_counts: abc.Mapping[str, int],
) -> float:
    """Return the score of a replay.

    Served reads count `read_score`, served non-idempotent requests that were
    executed exactly once count `order_score`.
    """
    reads = sum(
        not checks.is_at_most_once(result, replay_environment)
        for result in served
    )
    identifiers = {
        result.identifier
        for result in served
        if checks.is_at_most_once(result, replay_environment)
        and execution_counts.get(result.identifier, 0) == 1
    }
    head = recorded_trace.head
    return reads * head.read_score + len(identifiers) * head.order_score


def possible_score(
    recorded_trace: trace.Trace,
    replay_environment: environment.Environment,
    results: abc.Sequence[records.RequestResult],
    account_measures: abc.Sequence[accounts.AccountMeasure],
) -> float:
    """Return the score if every request within its rate were served.

    Requests over the rate are subtracted at the lower of the two scores.
    """
    head = recorded_trace.head
    identifiers = {
        result.identifier
        for result in results
        if checks.is_at_most_once(result, replay_environment)
    }
    reads = sum(
        not checks.is_at_most_once(result, replay_environment)
        for result in results
    )
    excess_requests = sum(
        entry.sent - entry.within for entry in account_measures
    )
    excess_units = excess_requests * min(head.read_score, head.order_score)
    return (
        reads * head.read_score
        + len(identifiers) * head.order_score
        - excess_units
    )
