"""Report of the availability zones that are emptied, for operators."""

import dataclasses

from sapphirepaddle import clock
from sapphirepaddle.routing import emptied_zones


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneReport:
    """State of one availability zone that is emptied or returns.

    Attributes:
        name: Name of the zone.
        state: 'emptied' or 'returning'.
        moved_share: Share of the requests that this daemon keeps from it.
    """

    name: str
    state: str
    moved_share: float


def zone_reports(
    zones: emptied_zones.EmptiedZones,
) -> tuple[ZoneReport, ...]:
    """Return reports of the zones that are emptied or return."""
    now = clock.monotonic()
    shares = {
        name: zones.moved_share(name, now)
        for name in sorted({*zones.emptied_at, *zones.returned_at})
    }
    return tuple(
        ZoneReport(
            name=name,
            state='emptied' if name in zones.emptied_at else 'returning',
            moved_share=round(share, 2),
        )
        for name, share in shares.items()
        if share or name in zones.emptied_at
    )
