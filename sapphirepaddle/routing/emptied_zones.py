"""Availability zones that operators have emptied; performs no I/O.

Load pattern: all requests for the targets of a zone move to the other zones
when it is emptied, and return to targets that may be cold when it is taken
back. Both happen gradually, so that the load of the other targets rises as a
ramp and not as a step.
"""

import dataclasses
import enum
import math
import random
from collections import abc


class ZoneTransition(enum.Enum):
    """How an availability zone changed.

    Attributes:
        EMPTIED: Its targets get no new requests.
        RETURNED: They get requests again.
    """

    EMPTIED = 'zone emptied'
    RETURNED = 'zone returned'


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneChange:
    """A change of one availability zone.

    Attributes:
        zone: Name of the zone.
        transition: How it changed.
    """

    zone: str
    transition: ZoneTransition


class EmptiedZones:
    """The availability zones that operators have emptied.

    Times are in seconds of the monotonic clock.

    Attributes:
        ramp_seconds: Time over which the load of a zone moves away, and back.
        emptied_at: Time since which a zone has been emptied, by zone.
        returned_at: Time at which a zone was taken back, by zone, for zones
            whose load has not returned completely.
    """

    def __init__(self, ramp_seconds: float) -> None:
        """Initialize with all zones in use."""
        self.ramp_seconds = ramp_seconds
        self.emptied_at: dict[str, float] = {}
        self.returned_at: dict[str, float] = {}

    def apply(
        self,
        zone_ages: abc.Mapping[str, float],
        now: float,
    ) -> list[ZoneChange]:
        """Replace the set of emptied zones.

        Of two times at which a zone was emptied the earlier one holds.

        Args:
            zone_ages: Time for which each emptied zone has been known to be
                emptied, by zone. An age of at least `ramp_seconds` empties
                the zone at once.
            now: Monotonic time.

        Returns:
            The changes.
        """
        new_zones = [zone for zone in zone_ages if zone not in self.emptied_at]
        returned_zones = [
            zone for zone in self.emptied_at if zone not in zone_ages
        ]
        for zone, age in zone_ages.items():
            emptied_at = self.emptied_at.get(zone, math.inf)
            self.emptied_at[zone] = min(emptied_at, now - age)
            self.returned_at.pop(zone, None)
        for zone in returned_zones:
            self.emptied_at.pop(zone)
            self.returned_at[zone] = now
        return [
            *(ZoneChange(zone, ZoneTransition.EMPTIED) for zone in new_zones),
            *(
                ZoneChange(zone, ZoneTransition.RETURNED)
                for zone in returned_zones
            ),
        ]

    def names(self) -> frozenset[str]:
        """Return the names of the emptied zones."""
        return frozenset(self.emptied_at)

    def ages(self, now: float) -> dict[str, float]:
        """Return for how many seconds each zone has been emptied."""
        return {
            zone: max(0, now - emptied_at)
            for zone, emptied_at in self.emptied_at.items()
        }

    def is_closed(self, zone: str, now: float) -> bool:
        """Return whether no new request may be sent to a zone."""
        return now - self.emptied_at.get(zone, math.inf) >= self.ramp_seconds

    def moved_share(self, zone: str, now: float) -> float:
        """Return the share of requests that are kept from a zone, 0 to 1."""
        if not self.ramp_seconds:
            return 1 if zone in self.emptied_at else 0
        emptied_at = self.emptied_at.get(zone)
        if emptied_at is not None:
            return min(1, (now - emptied_at) / self.ramp_seconds)
        elapsed = now - self.returned_at.get(zone, -math.inf)
        if elapsed >= self.ramp_seconds:
            self.returned_at.pop(zone, None)
            return 0
        return 1 - elapsed / self.ramp_seconds

    def draw_avoided(self, now: float, rng: random.Random) -> frozenset[str]:
        """Return the zones that one request avoids, drawn by their shares."""
        if not self.emptied_at and not self.returned_at:
            return frozenset()
        draw = rng.random()
        return frozenset(
            zone
            for zone in (*self.emptied_at, *self.returned_at)
            if draw < self.moved_share(zone, now)
        )
