"""Statistical significance of suspect results."""

import math


def binomial_tail(count: int, suspect: int, baseline_ratio: float) -> float:
    """Return the probability of at least this many suspect results.

    This is the upper tail of the binomial distribution.

    Args:
        count: Number of results.
        suspect: Number of suspect results among them.
        baseline_ratio: Probability that a result of a healthy target is
            suspect.
    """
    return math.fsum(
        math.comb(count, hits)
        * baseline_ratio**hits
        * (1 - baseline_ratio) ** (count - hits)
        for hits in range(suspect, count + 1)
    )
