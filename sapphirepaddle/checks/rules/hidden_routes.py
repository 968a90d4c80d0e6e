"""Routes that another one with the same host and prefix hides."""

from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


@registry.register(codes.ROUTE_HIDDEN, finding.Severity.ERROR)
def find_hidden_routes(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield routes whose host and prefix an earlier one has."""
    first_by_label: dict[str, subject.CheckedRoute] = {}
    for route in checked.routes:
        first = first_by_label.setdefault(route.label.lower(), route)
        if first is not route:
            yield (
                route.place,
                f'route {route.name} can never match: {first.name} has the '
                f'same host and prefix {route.label}',
            )
