"""Counts of what must never happen in a replay; pure."""

import itertools
import math
from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.replay import plan, sent


def excess(times: abc.Sequence[float], rate: float, burst: float) -> float:
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


def is_order(result: sent.Sent, bench: plan.Bench) -> bool:
    """Tell whether a request must not run twice."""
    return result.request.path.startswith(bench.orders or ('\0',))


def count_twice(
    bench: plan.Bench,
    results: abc.Sequence[sent.Sent],
    counts: abc.Mapping[str, int],
) -> int:
    """Return the orders that ran more than once."""
    orders = {
        result.identifier for result in results if is_order(result, bench)
    }
    return sum(counts.get(order, 0) > 1 for order in orders)


def count_untrue(
    results: abc.Iterable[sent.Sent],
    runs: abc.Iterable[sent.Run],
) -> int:
    """Return the sendings refused as "not run" that ran."""
    ran = {run.sending for run in runs}
    return sum(
        result.run == codes.NOT_RUN and result.sending in ran
        for result in results
    )


def over_rate(
    bench: plan.Bench,
    runs: abc.Iterable[sent.Run],
) -> float:
    """Return the largest excess of an account's sendings that ran.

    A read that was tried again counts once, at its first run.
    """
    first: dict[tuple[str, str], float] = {}
    for run in runs:
        if run.account in bench.accounts:
            first.setdefault((run.account, run.sending), run.at)
    admitted = sorted((account, at) for (account, _), at in first.items())
    found = [
        excess(
            [at for _, at in group],
            bench.accounts[name].rate,
            bench.accounts[name].burst,
        )
        for name, group in itertools.groupby(admitted, lambda pair: pair[0])
    ]
    return round(max(found), 2) if found else 0
