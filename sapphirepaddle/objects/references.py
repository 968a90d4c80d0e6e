"""Check of references between configuration objects at acceptance."""

from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.objects import change, configuration


def find_dangling(settled: configuration.Configuration) -> abc.Iterator[str]:
    """Yield a sentence for each reference to an object that is absent."""
    yield from (
        f'target {entry.name}: no service {entry.service}'
        for entry in settled.targets.values()
        if entry.service not in settled.services
    )
    yield from (
        f'target {entry.name}: no zone {entry.zone}'
        for entry in settled.targets.values()
        if entry.zone not in settled.zones
    )
    yield from (
        f'route {entry.name}: no service {entry.service}'
        for entry in settled.routes.values()
        if entry.service not in settled.services
    )
    yield from (
        f'key {entry.name[:8]}: no client account {entry.account}'
        for entry in settled.keys.values()
        if entry.account not in settled.accounts and not entry.withdrawn
    )


def preview(
    current: configuration.Configuration,
    entry: change.Change,
) -> configuration.Configuration:
    """Return the configuration as it would be after a change.

    Raises:
        ConfigurationError: If the change is invalid.
    """
    settled = configuration.Configuration(
        revision=current.revision,
        services=dict(current.services),
        targets=dict(current.targets),
        routes=dict(current.routes),
        accounts=dict(current.accounts),
        keys=dict(current.keys),
        zones=dict(current.zones),
    )
    settled.apply(entry)
    return settled


def check(current: configuration.Configuration, entry: change.Change) -> None:
    """Refuse a change that is invalid or leaves a reference open.

    Raises:
        ConfigurationError: If it does, naming every open reference.
    """
    open_references = list(find_dangling(preview(current, entry)))
    if open_references:
        raise errors.ConfigurationError(
            codes.REFERENCE_MISSING,
            '; '.join(open_references),
        )
