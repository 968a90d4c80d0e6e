"""Quotas that the targets cannot serve."""

from collections import abc
import typing

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject


SHORTEST_ANSWER_RATIO: typing.Final = 0.1
"""Part of the shortest latency objective that an answer takes at least."""


@registry.register(codes.QUOTAS_ABOVE_CAPACITY, finding.Severity.WARNING)
def find_unservable_quotas(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield a finding if the quotas together exceed what targets can serve."""
    objectives = [
        route.objective_seconds for route in checked.routes if route.is_keyed
    ]
    slots = sum(
        service.slots * len(service.target_zones or ())
        for service in checked.services
    )
    quotas = sum(account.rate for account in checked.accounts)
    if not objectives or not slots:
        return
    capacity = slots / (min(objectives) * SHORTEST_ANSWER_RATIO)
    if quotas > capacity:
        yield (
            'accounts',
            f'the quotas allow {quotas:g} requests a second; all targets serve '
            f'{capacity:g} even if each answer takes a tenth of the shortest '
            'objective',
        )
