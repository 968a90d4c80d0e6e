"""Bursts that are smaller than what the rate yields in an instant."""

from collections import abc
import typing

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


SLICE_SECONDS: typing.Final = 0.2
"""Slice of the rate that a burst must cover: requests that arrive evenly are
counted by daemons that report to each other at this interval."""


@registry.register(codes.BURST_BELOW_RATE, finding.Severity.WARNING)
def find_small_bursts(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield accounts whose burst is below a slice of their rate."""
    for account in checked.accounts:
        needed = account.rate * SLICE_SECONDS
        if account.rate and account.burst < needed:
            yield (
                account.place,
                f'account {account.name} has a burst of {account.burst:g} at '
                f'{account.rate:g} requests a second: requests that arrive '
                'together are refused within its rate',
            )
