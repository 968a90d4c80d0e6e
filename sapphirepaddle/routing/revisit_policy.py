"""How long targets that may be faulty rest; performs no I/O.

Load pattern: most targets of a service fail part of their requests, or failed
lately, and few are known to be sound. Sound targets that failed by chance, or
that have recovered, then rest while the few that are trusted cannot serve all
requests.
"""

import typing

TRUSTED_FAULT_PROBABILITY: typing.Final = 0.15
"""Highest fault probability at which a target rests no longer than others."""
SUSPECT_FAULT_PROBABILITY: typing.Final = 0.25
"""Fault probability above which a target is suspect. It is above that of a
target without recent results."""
MAX_REST_FACTOR: typing.Final = 10.0
"""Relative increase of the revisit time for an increase of 1 in the fault
probability above `TRUSTED_FAULT_PROBABILITY`, while few targets are suspect."""
MIN_REST_FACTOR: typing.Final = 3.0
"""The same while most targets are suspect. A sound target that failed by
chance is then due again within 4 s, and few more requests fail."""
MIN_TARGETS: typing.Final = 16
"""Number of usable targets below which suspects rest as long as beside many
trusted ones: a request to one of a few suspects is a larger part of all
requests, and fewer were served with shorter rests."""
FEW_TRUSTED_SHARE: typing.Final = 0.4
"""Share of trusted targets up to which `MIN_REST_FACTOR` applies."""
ENOUGH_TRUSTED_SHARE: typing.Final = 0.85
"""Share of trusted targets from which `MAX_REST_FACTOR` applies. Operators
require that 0.7 of the sound targets are in use, and a suspect may be sound."""


def rest_factor(trusted_share: float, target_count: int) -> float:
    """Return the relative increase of the revisit time of suspects.

    Args:
        trusted_share: Share of the usable targets of the service that are not
            suspect.
        target_count: Number of the usable targets.
    """
    if target_count < MIN_TARGETS:
        return MAX_REST_FACTOR
    span = ENOUGH_TRUSTED_SHARE - FEW_TRUSTED_SHARE
    position = min(1, max(0, (trusted_share - FEW_TRUSTED_SHARE) / span))
    return MIN_REST_FACTOR + (MAX_REST_FACTOR - MIN_REST_FACTOR) * position


def revisit_delay(
    revisit_seconds: float, fault_probability: float, factor: float
) -> float:
    """Return the idle time after which a target is due for a request.

    Args:
        revisit_seconds: Idle time of a trusted target, in seconds.
        fault_probability: Probability that the target is faulty.
        factor: Relative increase for an increase of 1 in this probability.
    """
    excess = max(0, fault_probability - TRUSTED_FAULT_PROBABILITY)
    return revisit_seconds * (1 + excess * factor)
