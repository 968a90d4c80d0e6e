"""Path prefixes that match nothing or too much."""

from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


@registry.register(codes.PREFIX_MALFORMED, finding.Severity.ERROR)
def find_malformed_prefixes(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield prefixes that do not begin and end with a slash."""
    for route in checked.routes:
        is_closed = route.prefix.endswith('/') or not (
            checked.has_closing_slashes
        )
        if not (route.prefix.startswith('/') and is_closed):
            yield (
                route.place,
                f'prefix {route.prefix!r} of route {route.name} must begin and '
                'end with a slash',
            )
