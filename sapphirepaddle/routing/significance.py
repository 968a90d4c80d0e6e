"""Whether suspect results are more than chance."""

import math


def binomial_tail(count: int, suspect: int, usual: float) -> float:
    """Return the chance of so many suspect results or more.

    The binomial tail: of a number of results, each suspect with the usual
    probability.

    Args:
        count: Results.
        suspect: Suspect results among them.
        usual: Probability that a result of a healthy target is suspect.
    """
    return math.fsum(
        math.comb(count, hits) * usual**hits * (1 - usual) ** (count - hits)
        for hits in range(suspect, count + 1)
    )
