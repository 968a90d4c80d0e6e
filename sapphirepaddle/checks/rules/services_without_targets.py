"""Services without targets."""

from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


@registry.register(codes.SERVICE_WITHOUT_TARGETS, finding.Severity.ERROR)
def find_services_without_targets(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield services without a target that takes requests."""
    for service in checked.services:
        if service.target_zones is not None and not service.target_zones:
            yield (
                service.place,
                f'no target of service {service.name} takes requests',
            )
