"""The log event for an availability zone that was emptied or taken back."""

import typing
from collections import abc

from sapphirepaddle.routing import emptied_zones


def log_changes(
    logger: typing.Any,
    changes: abc.Iterable[emptied_zones.ZoneChange],
    learned_from: str,
) -> None:
    """Log one event for each change.

    Args:
        logger: Logger of the caller.
        changes: The changes.
        learned_from: Where the changes were learned: `source`, `peer`,
            `snapshot` or `change` (a confirmed change of the configuration).
    """
    for change in changes:
        logger.info(
            change.transition.value,
            zone=change.zone,
            learned_from=learned_from,
        )
