"""Limits on callers above the memory of the VMs."""

from collections import abc

from sapphirepaddle import codes
from sapphirepaddle.checks import finding, registry, subject
from sapphirepaddle.proxy import body_memory


@registry.register(codes.LIMIT_ABOVE_MEMORY, finding.Severity.WARNING)
def find_limits_above_memory(
    checked: subject.CheckedConfiguration,
) -> abc.Iterator[registry.Match]:
    """Yield limits that one request can use up the memory with."""
    budget = checked.memory_bytes * body_memory.BODY_MEMORY_RATIO
    for name, limit in checked.limits.items():
        if budget and name.endswith('bytes') and limit > budget:
            yield (
                'limits',
                f'{name} is {limit:g}, but a daemon has {budget:.0f} bytes for '
                'the bodies of all requests',
            )
