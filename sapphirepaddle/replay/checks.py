"""Counts of violated guarantees in a replay; no I/O."""

import itertools
import math
from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.replay import environment, records


def max_excess(times: abc.Sequence[float], rate: float, burst: float) -> float:
    """Return the largest excess over rate and burst in any time window.

    The bound holds for every window if it holds for every pair of events:
    count(i..j) <= burst + rate * (t_j - t_i).

    Args:
        times: Times of admitted requests in seconds, ascending.
        rate: Requests per second.
        burst: Requests that may come at once.
    """
    largest = -math.inf
    lowest = math.inf
    for index, at in enumerate(times):
        lowest = min(lowest, index - rate * at)
        largest = max(largest, index + 1 - rate * at - lowest - burst)
    return largest


def is_at_most_once(
    result: records.RequestResult, replay_environment: environment.Environment
) -> bool:
    """Return whether a request must not be executed twice."""
    return result.request.path.startswith(replay_environment.orders or ('\0',))


def count_run_twice(
    replay_environment: environment.Environment,
    results: abc.Sequence[records.RequestResult],
    execution_counts: abc.Mapping[str, int],
) -> int:
    """Return how many non-idempotent requests were executed repeatedly.

    Args:
        replay_environment: Environment that tells which routes are
            non-idempotent.
        results: Results of all requests.
        execution_counts: Number of executions by request identifier.
    """
    identifiers = {
        result.identifier
        for result in results
        if is_at_most_once(result, replay_environment)
    }
    return sum(
        execution_counts.get(identifier, 0) > 1 for identifier in identifiers
    )


def count_false_not_run(
    results: abc.Iterable[records.RequestResult],
    executions: abc.Iterable[records.Execution],
) -> int:
    """Return how many requests refused as "not run" were executed."""
    executed_ids = {execution.sending_id for execution in executions}
    return sum(
        result.run_state == codes.NOT_RUN and result.sending_id in executed_ids
        for result in results
    )


def max_account_excess(
    replay_environment: environment.Environment,
    executions: abc.Iterable[records.Execution],
) -> float:
    """Return the largest excess of any account over its rate and burst.

    Only executed requests count. A read that was retried counts once, at
    its first execution.
    """
    first_times: dict[tuple[str, str], float] = {}
    for execution in executions:
        if execution.account in replay_environment.accounts:
            first_times.setdefault(
                (execution.account, execution.sending_id), execution.at
            )
    account_times = sorted(
        (account, at) for (account, _), at in first_times.items()
    )
    excesses = [
        max_excess(
            [at for _, at in group],
            replay_environment.accounts[name].rate,
            replay_environment.accounts[name].burst,
        )
        for name, group in itertools.groupby(
            account_times, lambda pair: pair[0]
        )
    ]
    return round(max(excesses), 2) if excesses else 0
