"""Reads the project's own form of a configuration: a list of objects."""

import typing
from collections import abc

import pydantic

from sapphirepaddle import codes, errors
from sapphirepaddle.checks import finding, subject
from sapphirepaddle.objects import configuration, kinds

Fields = dict[str, typing.Any]
MILLISECONDS_PER_SECOND: typing.Final = 1000


def read(decoded: Fields) -> subject.CheckedConfiguration:
    """Read the objects of a file; each that cannot be read is a finding."""
    config = configuration.Configuration()
    places: dict[tuple[str, str], str] = {}
    failures: list[finding.Finding] = []
    for position, entry in enumerate(decoded['objects']):
        place = f'objects[{position}]'
        try:
            kind = entry['kind']
            parsed = kinds.find(kind).parse(entry['body'])
        except (LookupError, TypeError, errors.ConfigurationError) as error:
            failures.append(invalid_entry(place, error))
            continue
        config.objects_of_kind(kind)[parsed.name] = parsed
        places[kind, parsed.name] = place
    checked = from_objects(config, places)
    checked.errors.extend(failures)
    return checked


def invalid_entry(place: str, error: Exception) -> finding.Finding:
    """Return the finding for an entry that cannot be read."""
    if isinstance(error, errors.PaddleError):
        text = error.detail
    elif isinstance(error, pydantic.ValidationError):
        text = kinds.summarize(error)
    else:
        text = f'{type(error).__name__}: {error}'
    return finding.Finding(
        codes.ENTRY_INVALID, finding.Severity.ERROR, place, text
    )


def from_objects(
    config: configuration.Configuration,
    places: abc.Mapping[tuple[str, str], str],
) -> subject.CheckedConfiguration:
    """Return configuration objects as the checks see them.

    Args:
        config: The objects.
        places: Place in the file by kind and name; others have their name.
    """
    emptied = frozenset(
        zone.name for zone in config.zones.values() if zone.state == 'emptied'
    )
    zones_by_service: dict[str, list[str]] = {}
    for target in config.targets.values():
        if target.state == 'active' and target.zone not in emptied:
            zones_by_service.setdefault(target.service, []).append(target.zone)
    keys_by_account: dict[str, list[str]] = {}
    for key in config.keys.values():
        if not key.withdrawn:
            keys_by_account.setdefault(key.account, []).append(key.name)
    return subject.CheckedConfiguration(
        routes=[
            subject.CheckedRoute(
                place=places.get(('route', route.name), route.name),
                name=route.name,
                host='',
                prefix=route.prefix,
                shares=((route.service, 1),),
                timeout_seconds=(route.patience_ms + route.deadline_ms)
                / MILLISECONDS_PER_SECOND,
                objective_seconds=route.deadline_ms / MILLISECONDS_PER_SECOND,
                is_keyed=route.access == 'keyed',
            )
            for route in config.routes.values()
        ],
        services=[
            subject.CheckedService(
                place=places.get(('service', service.name), service.name),
                name=service.name,
                target_zones=tuple(zones_by_service.get(service.name, ())),
                slots=service.slots,
            )
            for service in config.services.values()
        ],
        accounts=[
            subject.CheckedAccount(
                place=places.get(
                    ('client_account', account.name), account.name
                ),
                name=account.name,
                keys=tuple(keys_by_account.get(account.name, ())),
                rate=account.rate,
                burst=account.burst,
            )
            for account in config.accounts.values()
        ],
        emptied_zones=emptied,
        has_closing_slashes=False,
        lists_keys=bool(config.keys),
    )
