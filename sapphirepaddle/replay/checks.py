"""Counts of what must never happen in a replay; pure."""

import itertools
import math
from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.replay import environment, records


def max_excess(times: abc.Sequence[float], rate: float, burst: float) -> float:
    """Return the largest excess of any window over rate and burst.

    The bound holds for every window if it holds for every pair of events:
    count(i..j) <= burst + rate * (t_j - t_i).

    Args:
        times: Times of admitted requests in order.
        rate: Requests a second.
        burst: Requests at once.
    """
    most = -math.inf
    lowest = math.inf
    for index, at in enumerate(times):
        lowest = min(lowest, index - rate * at)
        most = max(most, index + 1 - rate * at - lowest - burst)
    return most


def is_at_most_once(
    result: records.RequestResult, bench: environment.Environment
) -> bool:
    """Tell whether a request must not run twice."""
    return result.request.path.startswith(bench.orders or ('\0',))


def count_run_twice(
    bench: environment.Environment,
    results: abc.Sequence[records.RequestResult],
    counts: abc.Mapping[str, int],
) -> int:
    """Return the orders that ran more than once."""
    orders = {
        result.identifier
        for result in results
        if is_at_most_once(result, bench)
    }
    return sum(counts.get(order, 0) > 1 for order in orders)


def count_false_not_run(
    results: abc.Iterable[records.RequestResult],
    runs: abc.Iterable[records.Execution],
) -> int:
    """Return the sendings refused as "not run" that ran."""
    ran = {run.sending_id for run in runs}
    return sum(
        result.run_state == codes.NOT_RUN and result.sending_id in ran
        for result in results
    )


def max_account_excess(
    bench: environment.Environment,
    runs: abc.Iterable[records.Execution],
) -> float:
    """Return the largest excess of an account's sendings that ran.

    A read that was tried again counts once, at its first run.
    """
    first: dict[tuple[str, str], float] = {}
    for run in runs:
        if run.account in bench.accounts:
            first.setdefault((run.account, run.sending_id), run.at)
    admitted = sorted((account, at) for (account, _), at in first.items())
    found = [
        max_excess(
            [at for _, at in group],
            bench.accounts[name].rate,
            bench.accounts[name].burst,
        )
        for name, group in itertools.groupby(admitted, lambda pair: pair[0])
    ]
    return round(max(found), 2) if found else 0
