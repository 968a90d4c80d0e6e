"""Reads the platform's form of a configuration for the checks."""

import functools
import itertools
import typing
from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, subject
from sapphirepaddle.platform import configuration

Fields = dict[str, typing.Any]
Entry = typing.TypeVar('Entry')
ROUTES_MEMBER: typing.Final = 'virtualHosts'


def read(decoded: Fields) -> subject.CheckedConfiguration:
    """Read a configuration; each entry that cannot be read is a finding."""
    checked = subject.CheckedConfiguration()
    read_one(checked, 'version', decoded, read_version)
    for position, host in enumerate(members(checked, decoded, ROUTES_MEMBER)):
        place = f'{ROUTES_MEMBER}[{position}]'
        read_host(checked, place, host)
    checked.services = read_all(checked, 'services', decoded, read_service)
    checked.accounts = read_all(checked, 'tenants', decoded, read_account)
    limits = read_one(
        checked,
        'limits',
        decoded.get('limits') or {},
        configuration.read_limits,
    )
    if limits is not None:
        checked.limits = {
            name: getattr(limits, name) for name in limits.__dataclass_fields__
        }
    return checked


def read_version(_place: str, decoded: Fields) -> int:
    """Return the version number."""
    return int(decoded['version'], configuration.HEXADECIMAL_BASE)


def members(
    checked: subject.CheckedConfiguration, decoded: Fields, name: str
) -> list[typing.Any]:
    """Return a list of entries; one that is no list is a finding."""
    entries = decoded.get(name) or []
    if isinstance(entries, list):
        return entries
    checked.errors.append(invalid_entry(name, TypeError('must be a list')))
    return []


def read_host(
    checked: subject.CheckedConfiguration, place: str, host: typing.Any
) -> None:
    """Read the routes of a host."""
    if not isinstance(host, dict) or not isinstance(host.get('host'), str):
        checked.errors.append(
            invalid_entry(place, TypeError('must be an object with a host'))
        )
        return
    for position, path in enumerate(members(checked, host, 'routePaths')):
        route = read_one(
            checked,
            f'{place}.routePaths[{position}]',
            path,
            functools.partial(read_route, host['host']),
        )
        if route is not None:
            checked.routes.append(route)


def read_all(
    checked: subject.CheckedConfiguration,
    name: str,
    decoded: Fields,
    read_entry: abc.Callable[[str, Fields], Entry],
) -> list[Entry]:
    """Read the entries of a list; those that cannot be read are findings."""
    entries = (
        read_one(checked, f'{name}[{position}]', fields, read_entry)
        for position, fields in enumerate(members(checked, decoded, name))
    )
    return list(itertools.filterfalse(is_missing, entries))  # type: ignore


def is_missing(entry: typing.Any) -> bool:
    """Return whether an entry could not be read."""
    return entry is None


def read_one(
    checked: subject.CheckedConfiguration,
    place: str,
    fields: Fields,
    read_entry: abc.Callable[..., Entry],
) -> Entry | None:
    """Read one entry; return None, with a finding, if it cannot be read."""
    try:
        if read_entry is configuration.read_limits:
            return read_entry(fields)
        return read_entry(place, fields)
    except configuration.MALFORMED_ERRORS as error:
        checked.errors.append(invalid_entry(place, error))
        return None


def invalid_entry(place: str, error: Exception) -> finding.Finding:
    """Return the finding for an entry that cannot be read."""
    return finding.Finding(
        codes.ENTRY_INVALID,
        finding.Severity.ERROR,
        place,
        f'{type(error).__name__}: {error}',
    )


def read_route(host: str, place: str, fields: Fields) -> subject.CheckedRoute:
    """Read one route."""
    route = configuration.read_route(host, fields)
    return subject.CheckedRoute(
        place=place,
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        shares=tuple(
            (share.service, share.weight) for share in route.weighted_services
        ),
        timeout_seconds=route.timeout_seconds,
        objective_seconds=route.latency_objective_seconds,
        attempts=route.attempts,
        priority=route.priority,
        is_keyed=not route.is_auth_exempt,
    )


def read_service(place: str, fields: Fields) -> subject.CheckedService:
    """Read one service; its targets register themselves elsewhere."""
    return subject.CheckedService(place=place, name=str(fields['name']))


def read_account(place: str, fields: Fields) -> subject.CheckedAccount:
    """Read one client account."""
    account = configuration.read_account(fields)
    return subject.CheckedAccount(
        place=place,
        name=account.name,
        keys=tuple(fields['apiKeys']),
        rate=account.rate,
        burst=account.burst,
        priority=account.priority,
    )
