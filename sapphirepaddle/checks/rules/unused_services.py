"""Services that no route names."""

from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


@registry.register(codes.SERVICE_UNUSED, finding.Severity.WARNING)
def find_unused_services(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield services that no route names."""
    used = {service for route in checked.routes for service, _ in route.shares}
    for service in checked.services:
        if service.name not in used:
            yield service.place, f'no route names service {service.name}'
