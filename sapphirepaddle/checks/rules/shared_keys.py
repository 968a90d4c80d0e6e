"""Keys that two client accounts hold."""

from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


@registry.register(codes.KEY_SHARED, finding.Severity.ERROR)
def find_shared_keys(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield keys that an earlier account holds, without naming them."""
    account_by_key: dict[str, str] = {}
    for account in checked.accounts:
        for key in account.keys:
            first = account_by_key.setdefault(key, account.name)
            if first != account.name:
                yield (
                    account.place,
                    f'a key of account {account.name} is also one of {first}',
                )
