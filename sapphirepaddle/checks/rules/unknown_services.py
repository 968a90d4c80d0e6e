"""Routes to services that do not exist."""

from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


@registry.register(codes.SERVICE_UNKNOWN, finding.Severity.ERROR)
def find_unknown_services(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield services of a route that the configuration does not have."""
    names = {service.name for service in checked.services}
    for route in checked.routes:
        for service, _ in route.shares:
            if service not in names:
                yield (
                    route.place,
                    f'route {route.name} names the unknown service {service}',
                )
