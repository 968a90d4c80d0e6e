"""Objects in the format of the platform, for tests."""

import typing

Fields = dict[str, typing.Any]
FIRST_KEY = 'key-of-first'
SECOND_KEY = 'key-of-second'


def configuration(version: int = 1, **changes: typing.Any) -> Fields:
    """Return a configuration with routes for reads and orders.

    A third route, `open`, is exempt from authentication. Fields in
    `changes` replace the default ones.
    """
    spec = {
        'version': f'{version:08x}',
        'services': [{'name': 'reads'}, {'name': 'orders'}],
        'limits': {
            'maxHeaderBytes': 4096,
            'maxBodyBytes': 100000,
            'headerTimeoutS': 1,
            'idleTimeoutS': 5,
        },
        'tenants': [
            {
                'name': 'first',
                'apiKeys': [FIRST_KEY],
                'priority': 0,
                'ratePerS': 1000,
                'burst': 1000,
            },
            {'name': 'second', 'apiKeys': [SECOND_KEY]},
        ],
        'virtualHosts': [
            {
                'host': 'site.example',
                'routePaths': [
                    route('reads', '/reads/', 'idempotent'),
                    route('orders', '/orders/', 'non_idempotent'),
                    route('open', '/open/', 'idempotent', authExempt=True),
                ],
            },
        ],
    }
    return spec | changes


def route(name: str, prefix: str, kind: str, **changes: typing.Any) -> Fields:
    """Return a route; fields in `changes` replace the default ones."""
    fields = {
        'name': name,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutS': 2,
        'targetLatencyS': 0.8,
        'priority': 1,
        'service': 'orders' if name == 'orders' else 'reads',
        'maxAttempts': 2,
        'authExempt': False,
    }
    return fields | changes


def target(
    service: str,
    port: int,
    state: str = 'ready',
    born: int = 1,
    zone: str = 'a',
    host: str = '127.0.0.1',
) -> Fields:
    """Return the registration that a target writes for itself."""
    return {
        'address': f'{host}:{port}',
        'born': born,
        'info': {
            'service': service,
            'version': 'v1',
            'zone': zone,
            'slots': 2,
        },
        'status': {'state': state, 'seq': 4, 'warmupLeftS': 0},
    }
