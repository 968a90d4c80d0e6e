"""Priorities of accounts that undo those of routes."""

from collections import abc
import itertools
import typing

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


MAX_NAMES: typing.Final = 5
"""Number of accounts that a finding names."""


@registry.register(codes.PRIORITY_UNDONE, finding.Severity.WARNING)
def find_undone_priorities(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield a finding if accounts make routes of different priority equal."""
    priorities = {route.priority for route in checked.routes}
    accounts = [
        account for account in checked.accounts if account.priority is not None
    ]
    if len(priorities) < 2 or not accounts:
        return
    names = ', '.join(
        account.name for account in itertools.islice(accounts, MAX_NAMES)
    )
    more = ' and others' if len(accounts) > MAX_NAMES else ''
    yield (
        accounts[0].place,
        f'{len(accounts)} accounts have a priority, which replaces the '
        f'{len(priorities)} priorities of the routes for all their requests: '
        f'{names}{more}',
    )
