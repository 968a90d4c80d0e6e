"""Latency objectives above the timeout."""

from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


@registry.register(codes.OBJECTIVE_ABOVE_TIMEOUT, finding.Severity.WARNING)
def find_objectives_above_timeout(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield routes whose objective is later than their timeout."""
    for route in checked.routes:
        if route.objective_seconds > route.timeout_seconds:
            yield (
                route.place,
                f'route {route.name} has an objective of '
                f'{route.objective_seconds:g} s, but gives up after '
                f'{route.timeout_seconds:g} s',
            )
