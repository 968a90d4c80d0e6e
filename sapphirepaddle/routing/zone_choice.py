"""Decides when requests leave their availability zone, and how many; no I/O.

Load pattern: the targets of a zone are too few for a while, or zones peak one
after the other. Traffic between zones is slower and costs money, so a request
leaves only for what the targets at home cannot give it; and the daemons of a
zone that all leave at once must not flood its neighbour.
"""

import dataclasses
import math
import random
import typing
from collections import abc

from sapphirepaddle.routing import candidate

MIN_HOME_TARGETS: typing.Final = 6
"""Number of usable targets at home from which a request stays there while one
of a sample of them is good. Among fewer, evidence on the targets of all zones
is compared."""
MAX_HOME_FAILURE_PROBABILITY: typing.Final = 0.25
"""Failure probability up to which a target at home is good. It is above that
of a target without recent results."""
MAX_NEIGHBOUR_OCCUPANCY: typing.Final = 0.85
"""Part of a neighbour's slots that requests of this zone may help to fill. The
rest is left to its own callers, whose demand changes until it is reported."""
MAX_SAVED_REQUESTS: typing.Final = 2.0
"""Requests that a daemon may send to a neighbour at once after a pause."""


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneRoom:
    """Demand and room of the targets of one zone, as a daemon knows them.

    Attributes:
        zone: Name of the zone.
        slots: Slots of the usable targets.
        busy: Requests that all daemons have outstanding there.
    """

    zone: str
    slots: int
    busy: int

    @property
    def occupancy(self) -> float:
        """Outstanding requests by slot; above 1 if requests wait."""
        return self.busy / max(1, self.slots)

    def spare_slots(self, home_occupancy: float) -> float:
        """Return the slots that requests of another zone may use.

        Where requests wait at home these are at least what makes the two
        zones wait alike.

        Args:
            home_occupancy: Occupancy of the zone that the requests leave.
        """
        spare = self.slots * MAX_NEIGHBOUR_OCCUPANCY - self.busy
        if home_occupancy <= 1:
            return max(0, spare)
        balance = (home_occupancy - self.occupancy) / 2 * self.slots
        return max(0, spare, balance)


def measure_rooms(
    targets: abc.Iterable[candidate.Candidate], now: float
) -> dict[str, ZoneRoom]:
    """Return demand and room by zone.

    A target with more outstanding requests than slots counts with all of
    them: those that wait there take room as well.
    """
    slots: dict[str, int] = {}
    busy: dict[str, int] = {}
    for target in targets:
        zone = target.registration.zone
        slots[zone] = slots.get(zone, 0) + target.registration.slots
        busy[zone] = busy.get(zone, 0) + target.outstanding(now)
    return {zone: ZoneRoom(zone, slots[zone], busy[zone]) for zone in slots}


def is_good(target: candidate.Candidate, now: float) -> bool:
    """Return whether a target at home serves a request as well as any other.

    It has a free slot, and no evidence that it fails.
    """
    return (
        target.outstanding(now) < target.registration.slots
        and target.failure_probability(now) < MAX_HOME_FAILURE_PROBABILITY
    )


class LeavingAllowance:
    """Limits the requests that a daemon sends to one neighbouring zone.

    The daemons of a zone share what the neighbour has to spare: each may send
    the requests that fit into its part of the spare slots.

    Attributes:
        saved: Requests that may be sent at the last update.
        updated_at: Time of the last update on the monotonic clock.
    """

    def __init__(self) -> None:
        """Initialize with one request that may be sent."""
        self.saved: float = 1
        self.updated_at = -math.inf

    def update(
        self,
        spare_slots: float,
        typical_seconds: float,
        daemon_count: int,
        now: float,
    ) -> bool:
        """Add what has become free, and return whether a request may be sent.

        Args:
            spare_slots: Slots of the neighbour that may be used.
            typical_seconds: Typical time of an answer.
            daemon_count: Number of daemons that share the spare slots.
            now: Monotonic time.
        """
        if not math.isinf(self.updated_at):
            per_second = spare_slots / max(MIN_ANSWER_SECONDS, typical_seconds)
            elapsed = max(0, now - self.updated_at)
            self.saved += elapsed * per_second / max(1, daemon_count)
        self.updated_at = now
        self.saved = min(self.saved, MAX_SAVED_REQUESTS)
        return spare_slots > 0 and self.saved >= 1

    def record_leaving(self) -> None:
        """Record that a request is sent to the neighbour."""
        self.saved -= 1


MIN_ANSWER_SECONDS: typing.Final = 0.01
"""Lower bound of the typical time of an answer, before any was measured."""


class ZoneChoice:
    """Decides which zones besides its own a request may be sent to.

    Attributes:
        zone: Availability zone of this daemon.
        rng: Random number generator.
        allowances: Limits of the requests to each neighbour, by zone.
        read_daemon_count: Returns the number of daemons of this zone.
        left_counts: Number of requests that left, by zone.
        last_reason: Why the last request might leave, for logs; empty if it
            stayed for a good target.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Initialize without requests that left."""
        self.zone = zone
        self.rng = rng
        self.allowances: dict[str, LeavingAllowance] = {}
        self.read_daemon_count: abc.Callable[[], int] = single_daemon
        self.left_counts: dict[str, int] = {}
        self.last_reason = ''

    def open_zones(
        self,
        targets: abc.Sequence[candidate.Candidate],
        typical_seconds: float,
        now: float,
    ) -> frozenset[str]:
        """Return the neighbouring zones to which a request may be sent.

        Args:
            targets: Usable targets of all zones.
            typical_seconds: Typical time of an answer.
            now: Monotonic time.
        """
        daemon_count = self.read_daemon_count()
        rooms = measure_rooms(targets, now)
        home = rooms.pop(self.zone, None)
        home_occupancy = home.occupancy if home else 0
        return frozenset(
            zone
            for zone, room in rooms.items()
            if self.allowances.setdefault(zone, LeavingAllowance()).update(
                room.spare_slots(home_occupancy),
                typical_seconds,
                daemon_count,
                now,
            )
        )

    def record_choice(self, zone: str) -> None:
        """Record the zone of the target that was chosen."""
        if zone == self.zone:
            return
        self.left_counts[zone] = self.left_counts.get(zone, 0) + 1
        allowance = self.allowances.get(zone)
        if allowance is not None:
            allowance.record_leaving()


def single_daemon() -> int:
    """Return 1: by default no other daemon shares the spare slots."""
    return 1
