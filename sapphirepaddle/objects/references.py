"""Validation of references between configuration objects."""

from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.objects import change, configuration


def find_dangling(config: configuration.Configuration) -> abc.Iterator[str]:
    """Yield a message for each reference to an object that does not exist."""
    yield from (
        f'target {target.name}: no service {target.service}'
        for target in config.targets.values()
        if target.service not in config.services
    )
    yield from (
        f'target {target.name}: no zone {target.zone}'
        for target in config.targets.values()
        if target.zone not in config.zones
    )
    yield from (
        f'route {route.name}: no service {route.service}'
        for route in config.routes.values()
        if route.service not in config.services
    )
    yield from (
        f'key {key.name[:8]}: no client account {key.account}'
        for key in config.keys.values()
        if key.account not in config.accounts and not key.withdrawn
    )


def preview(
    current: configuration.Configuration,
    entry: change.Change,
) -> configuration.Configuration:
    """Return a copy of the configuration with a change applied.

    Raises:
        ConfigurationError: If the change is invalid.
    """
    after = configuration.Configuration(
        revision=current.revision,
        services=dict(current.services),
        targets=dict(current.targets),
        routes=dict(current.routes),
        accounts=dict(current.accounts),
        keys=dict(current.keys),
        zones=dict(current.zones),
    )
    after.apply(entry)
    return after


def check(current: configuration.Configuration, entry: change.Change) -> None:
    """Check that a change is valid and leaves no dangling reference.

    Raises:
        ConfigurationError: If it is invalid or leaves dangling references;
            the detail names every dangling reference.
    """
    dangling = list(find_dangling(preview(current, entry)))
    if dangling:
        raise errors.ConfigurationError(
            codes.REFERENCE_MISSING,
            '; '.join(dangling),
        )
