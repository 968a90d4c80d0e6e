"""What a configuration changes for callers and targets; performs no I/O."""

import typing
from collections import abc

from sapphirepaddle.checks import subject

MIN_SHARE_CHANGE: typing.Final = 0.001
"""Change of a share below which it counts as unchanged."""


def find(
    before: subject.CheckedConfiguration, after: subject.CheckedConfiguration
) -> list[str]:
    """Return one line for each effect of a change."""
    return [
        *find_access(before, after),
        *find_quotas(before, after),
        *find_routes(before, after),
        *find_services(before, after),
        *find_limits(before, after),
    ]


def find_access(
    before: subject.CheckedConfiguration, after: subject.CheckedConfiguration
) -> abc.Iterator[str]:
    """Yield who loses and who gains access."""
    old = {account.name: set(account.keys) for account in before.accounts}
    new = {account.name: set(account.keys) for account in after.accounts}
    for name, keys in old.items():
        lost = keys - new.get(name, set())
        if name not in new:
            yield f'account {name} loses access ({len(keys)} keys)'
        elif lost:
            yield f'account {name} loses {len(lost)} of {len(keys)} keys'
    for name, keys in new.items():
        gained = keys - old.get(name, set())
        if name not in old:
            yield f'account {name} gains access ({len(keys)} keys)'
        elif gained:
            yield f'account {name} gains {len(gained)} keys'


def find_quotas(
    before: subject.CheckedConfiguration, after: subject.CheckedConfiguration
) -> abc.Iterator[str]:
    """Yield changed quotas and priorities of accounts."""
    old = {account.name: account for account in before.accounts}
    for account in after.accounts:
        former = old.get(account.name)
        if former is None:
            continue
        if (former.rate, former.burst) != (account.rate, account.burst):
            yield (
                f'account {account.name}: {former.rate:g} -> {account.rate:g} '
                f'requests a second, burst {former.burst:g} -> '
                f'{account.burst:g}'
            )
        if former.priority != account.priority:
            yield (
                f'account {account.name}: priority {former.priority} -> '
                f'{account.priority}'
            )


def find_routes(
    before: subject.CheckedConfiguration, after: subject.CheckedConfiguration
) -> abc.Iterator[str]:
    """Yield routes that are gone, new or go elsewhere."""
    old = {route.label: route for route in before.routes}
    new = {route.label: route for route in after.routes}
    for label in old.keys() - new.keys():
        yield f'requests for {label} are no longer routed there'
    for label in new.keys() - old.keys():
        yield f'requests for {label} go to {share_text(new[label])}'
    for label in old.keys() & new.keys():
        yield from find_route_changes(old[label], new[label])


def find_route_changes(
    former: subject.CheckedRoute, route: subject.CheckedRoute
) -> abc.Iterator[str]:
    """Yield what changes for the requests of one route."""
    old, new = shares(former), shares(route)
    if any(
        abs(old.get(service, 0) - new.get(service, 0)) > MIN_SHARE_CHANGE
        for service in old.keys() | new.keys()
    ):
        yield (
            f'requests for {route.label} go to {share_text(route)} instead of '
            f'{share_text(former)}'
        )
    for name in (
        'timeout_seconds',
        'objective_seconds',
        'attempts',
        'priority',
        'is_keyed',
    ):
        if getattr(former, name) != getattr(route, name):
            yield (
                f'requests for {route.label}: {name} {getattr(former, name)} '
                f'-> {getattr(route, name)}'
            )


def shares(route: subject.CheckedRoute) -> dict[str, float]:
    """Return the share of each service in the requests of a route."""
    total = sum(weight for _, weight in route.shares) or 1
    parts: dict[str, float] = {}
    for service, weight in route.shares:
        parts[service] = parts.get(service, 0) + weight / total
    return parts


def share_text(route: subject.CheckedRoute) -> str:
    """Return the services of a route with their shares."""
    return ', '.join(
        f'{service} ({share:.1%})' for service, share in shares(route).items()
    )


def find_services(
    before: subject.CheckedConfiguration, after: subject.CheckedConfiguration
) -> abc.Iterator[str]:
    """Yield services, targets and zones that come, go or empty."""
    old = {service.name: service for service in before.services}
    new = {service.name: service for service in after.services}
    yield from (f'service {name} is gone' for name in old.keys() - new.keys())
    yield from (f'service {name} is new' for name in new.keys() - old.keys())
    for name in old.keys() & new.keys():
        former, targets = (
            len(service.target_zones or ())
            for service in (old[name], new[name])
        )
        if former != targets:
            yield f'service {name}: {former} -> {targets} targets take requests'
    for zone in sorted(after.emptied_zones - before.emptied_zones):
        yield f'zone {zone} is emptied'
    for zone in sorted(before.emptied_zones - after.emptied_zones):
        yield f'zone {zone} is taken back'


def find_limits(
    before: subject.CheckedConfiguration, after: subject.CheckedConfiguration
) -> abc.Iterator[str]:
    """Yield changed limits on callers."""
    for name, limit in after.limits.items():
        former = before.limits.get(name)
        if former is not None and former != limit:
            yield f'limit {name}: {former:g} -> {limit:g}'
