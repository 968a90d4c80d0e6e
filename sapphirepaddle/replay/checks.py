"""Counts of what must never happen in a replay; pure."""

import collections
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
    counts: abc.Mapping[str, int],
) -> int:
    """Return the refusals that said "not run" of requests that ran.

    A key that was sent several times may have run for another sending of
    it, so only requests sent once are counted.
    """
    sendings = collections.Counter(result.identifier for result in results)
    return sum(
        result.run == codes.NOT_RUN
        and sendings[result.identifier] == 1
        and counts.get(result.identifier, 0) > 0
        for result in results
    )


def over_rate(
    bench: plan.Bench,
    results: abc.Sequence[sent.Sent],
    runs: abc.Sequence[sent.Run],
) -> float:
    """Return the largest excess of an account's first runs."""
    owners = {result.identifier: result.request.account for result in results}
    first: dict[str, float] = {}
    for run in runs:
        first.setdefault(run.identifier, run.at)
    accounts = sorted(
        (owners[identifier], at)
        for identifier, at in first.items()
        if owners.get(identifier) in bench.accounts
    )
    found = [
        excess(
            [at for _, at in group],
            bench.accounts[name].rate,
            bench.accounts[name].burst,
        )
        for name, group in itertools.groupby(accounts, lambda pair: pair[0])
    ]
    return round(max(found, default=-math.inf), 2) if found else 0
