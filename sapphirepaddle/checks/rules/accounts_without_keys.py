"""Client accounts without keys."""

from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


@registry.register(codes.ACCOUNT_WITHOUT_KEYS, finding.Severity.WARNING)
def find_accounts_without_keys(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield accounts that no key belongs to."""
    for account in checked.accounts:
        if checked.lists_keys and not account.keys:
            yield (
                account.place,
                f'account {account.name} has no key: nobody can use it',
            )
