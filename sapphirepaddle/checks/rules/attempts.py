"""Attempts above the number of targets."""

from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


@registry.register(codes.ATTEMPTS_ABOVE_TARGETS, finding.Severity.WARNING)
def find_attempts_above_targets(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield routes that allow more attempts than there are targets."""
    targets = {
        service.name: len(service.target_zones)
        for service in checked.services
        if service.target_zones
    }
    for route in checked.routes:
        for service, _ in route.shares:
            if service in targets and route.attempts > targets[service]:
                yield (
                    route.place,
                    f'route {route.name} allows {route.attempts} attempts, but '
                    f'service {service} has {targets[service]} targets',
                )
