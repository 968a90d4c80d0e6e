"""Objects as the platform serves them, for tests."""

import typing

Fields = dict[str, typing.Any]
FIRST_KEY = 'key-of-first'
SECOND_KEY = 'key-of-second'


def configuration(version: int = 1, **changed: typing.Any) -> Fields:
    """Return a configuration with a route for reads and one for orders."""
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
    return spec | changed


def route(name: str, prefix: str, kind: str, **changed: typing.Any) -> Fields:
    """Return a route."""
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
    return fields | changed


def target(
    service: str,
    port: int,
    state: str = 'ready',
    born: int = 1,
    zone: str = 'a',
    host: str = '127.0.0.1',
) -> Fields:
    """Return what a target writes of itself."""
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
