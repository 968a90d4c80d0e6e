"""Decoding of the configuration that operators write."""

import typing

from sapphirepaddle import codes, errors
from sapphirepaddle.directory import (
    account,
    caller_limits,
    configuration,
    route,
)
from sapphirepaddle.platform import names

Fields = dict[str, typing.Any]
HEXADECIMAL_BASE: typing.Final = 16
MALFORMED_ERRORS: typing.Final = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
)


def decode(fields: Fields) -> configuration.Configuration:
    """Decode a configuration.

    Args:
        fields: Content of the configuration object.

    Raises:
        ConfigurationError: If it is malformed.
    """
    try:
        return read_configuration(fields)
    except MALFORMED_ERRORS as error:
        raise errors.ConfigurationError(
            codes.CHANGE_UNREADABLE,
            f'{type(error).__name__}: {error}',
        ) from error


def read_configuration(fields: Fields) -> configuration.Configuration:
    """Build a configuration; malformed fields raise MALFORMED_ERRORS.

    The version is hexadecimal.
    """
    return configuration.Configuration(
        version=int(fields['version'], HEXADECIMAL_BASE),
        routes=tuple(
            read_route(host['host'], path)
            for host in fields['virtualHosts']
            for path in host['routePaths']
        ),
        accounts=tuple(map(read_account, fields.get('tenants') or ())),
        services=frozenset(entry['name'] for entry in fields['services']),
        limits=read_limits(fields.get('limits') or {}),
        warmup_rates={
            entry['name']: float(entry['warmupPerS'])
            for entry in fields['services']
            if entry.get('warmupPerS')
        },
    )


def read_route(host: str, fields: Fields) -> route.Route:
    """Build a route of a host.

    The latency objective defaults to the timeout.
    """
    timeout = float(fields['timeoutS'])
    return route.Route(
        name=fields['name'],
        host=host.lower(),
        prefix=fields['pathPrefix'],
        weighted_services=read_weighted_services(fields),
        is_idempotent=fields['kind'] == names.KIND_IDEMPOTENT,
        timeout_seconds=timeout,
        latency_objective_seconds=float(
            fields.get('targetLatencyS') or timeout
        ),
        priority=int(fields.get('priority') or 0),
        attempts=max(1, int(fields.get('maxAttempts') or 1)),
        is_auth_exempt=bool(fields.get('authExempt')),
        home_regions=read_regions(fields),
    )


def read_weighted_services(fields: Fields) -> tuple[route.WeightedService, ...]:
    """Return the services of a route.

    A traffic split takes precedence over a single service.
    """
    traffic_split = fields.get('trafficSplit')
    if traffic_split:
        return tuple(
            route.WeightedService(part['service'], float(part['weight']))
            for part in traffic_split
        )
    return (route.WeightedService(fields['service'], 1),)


def read_account(fields: Fields) -> account.Account:
    """Build a client account."""
    priority = fields.get('priority')
    return account.Account(
        name=fields['name'],
        keys=frozenset(fields['apiKeys']),
        priority=None if priority is None else int(priority),
        rate=float(fields.get('ratePerS') or 0),
        burst=float(fields.get('burst') or 0),
        home_regions=read_regions(fields),
    )


def read_regions(fields: Fields) -> frozenset[str]:
    """Return the home regions of a route or an account; empty for all."""
    return frozenset(map(str, fields.get(names.HOME_REGIONS) or ()))


def read_limits(fields: Fields) -> caller_limits.CallerLimits:
    """Build the limits on callers; absent ones keep their defaults."""
    defaults = caller_limits.CallerLimits()
    return caller_limits.CallerLimits(
        head_bytes=int(fields.get('maxHeaderBytes') or defaults.head_bytes),
        body_bytes=int(fields.get('maxBodyBytes') or defaults.body_bytes),
        head_seconds=float(
            fields.get('headerTimeoutS') or defaults.head_seconds,
        ),
        idle_seconds=float(fields.get('idleTimeoutS') or defaults.idle_seconds),
    )
