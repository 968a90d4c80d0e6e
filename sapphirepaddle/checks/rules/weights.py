"""Shares of a route that get no requests."""

from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


@registry.register(codes.WEIGHT_ZERO, finding.Severity.ERROR)
def find_zero_weights(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield services of a route with a weight of 0 or less."""
    for route in checked.routes:
        for service, weight in route.shares:
            if weight <= 0:
                yield (
                    route.place,
                    f'service {service} has weight {weight:g} in route '
                    f'{route.name} and gets no requests',
                )
