"""Settings and configuration of the system under test."""

import hashlib
import typing

from sapphirepaddle.directory import account

OK: typing.Final = 200
UNAVAILABLE: typing.Final = 503
READS: typing.Final = 'reads'
ORDERS: typing.Final = 'orders'
SERVICES: typing.Final = {READS: READS, ORDERS: ORDERS}
HOST: typing.Final = 'soak.example'
APPLY_SECONDS: typing.Final = 2.0
"""Time within which a daemon applies a configuration."""
PAGE_OBJECTS: typing.Final = 3
"""Objects in one page of a list, so that each list has several pages."""
ZONES: typing.Final = ('a', 'b', 'c')
BOUNDS: typing.Final = (
    'graceS=6',
    'drainS=2',
    'retryBudgetRatio=0.2',
    'budgetWindowS=10',
    'retryBudgetSlack=20',
    'quotaWindowS=5',
    'quotaOver=0.1',
    'quotaSlack=20',
    'warmupOver=1.5',
    'warmupSlack=6',
    'evacS=5',
)
WARMUP_SECONDS: typing.Final = 3.0
"""Time for which a target is cold after its start, and after an emptied zone is
taken back."""
WARMUP_PER_SECOND: typing.Final = 4.0
LIMITED_ACCOUNT: typing.Final = account.Account(
    name='limited',
    keys=frozenset(('key-limited',)),
    priority=None,
    rate=10,
    burst=10,
)
"""Account whose callers send at several times its rate."""


def answer_body(identifier: str) -> bytes:
    """Return the expected body of an answer, at most 4 KB."""
    digest = hashlib.sha256(identifier.encode()).hexdigest().encode()
    return digest * (1 + int(digest[:2], 16) % 64)


def configuration(version: int, key_version: int) -> dict[str, typing.Any]:
    """Return a configuration as an operator writes it.

    Args:
        version: Version of the configuration.
        key_version: Number of the only key of the account "turning", whose key
            is replaced during a run.
    """
    accounts = [
        {'name': 'usual', 'apiKeys': ['key-usual']},
        {
            'name': LIMITED_ACCOUNT.name,
            'apiKeys': sorted(LIMITED_ACCOUNT.keys),
            'ratePerS': LIMITED_ACCOUNT.rate,
            'burst': LIMITED_ACCOUNT.burst,
        },
        {'name': 'turning', 'apiKeys': [f'turn-{key_version}']},
    ]
    routes = [
        route(READS, 'idempotent', version),
        route(ORDERS, 'non_idempotent', version),
    ]
    return {
        'version': f'{version:08x}',
        'services': [
            {'name': name, 'warmupPerS': WARMUP_PER_SECOND}
            for name in SERVICES.values()
        ],
        'limits': {'idleTimeoutS': 10},
        'tenants': accounts,
        'virtualHosts': [{'host': HOST, 'routePaths': routes}],
    }


def route(name: str, kind: str, version: int) -> dict[str, typing.Any]:
    """Return a route, whose timeout depends on the version."""
    return {
        'name': name,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutS': 2.5 + version % 3 / 10,
        'targetLatencyS': 0.8,
        'service': SERVICES[name],
        'maxAttempts': 2,
    }
