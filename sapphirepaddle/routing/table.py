"""All services of the configuration in the eyes of one daemon."""

import itertools
import operator
import random
from collections import abc

from sapphirepaddle.objects import configuration, target
from sapphirepaddle.routing import pool, verdict, waiting
from sapphirepaddle.settings import entry


class RoutingTable:
    """Pools and waiting rooms by service.

    Attributes:
        zone: Availability zone of this daemon.
        settings: Thresholds of evidence.
        clock: Seconds on the monotonic clock.
        chance: Source of randomness.
        rooms: Waiting room of each service by name.
        services: Name of the service of each target by name.
        verdicts: The newest verdict on each target by name.
    """

    def __init__(
        self,
        zone: str,
        settings: entry.Routing,
        clock: abc.Callable[[], float],
        chance: random.Random,
    ) -> None:
        """Start without services."""
        self.zone = zone
        self.settings = settings
        self.clock = clock
        self.chance = chance
        self.rooms: dict[str, waiting.WaitingRoom] = {}
        self.services: dict[str, str] = {}
        self.verdicts: dict[str, verdict.Verdict] = {}

    def configure(self, current: configuration.Configuration) -> None:
        """Take up the configuration in force; evidence is kept."""
        emptied = frozenset(
            zone.name
            for zone in current.zones.values()
            if zone.state == 'emptied'
        )
        groups = group(current.targets.values())
        for name in self.rooms.keys() - current.services.keys():
            self.rooms.pop(name)
        for name, configured in current.services.items():
            room = self.rooms.get(name) or self.open(current, name)
            room.pool.configure(configured, groups.get(name, ()), emptied)
            room.pump()
        self.services = {
            entry.name: entry.service for entry in current.targets.values()
        }
        for held in self.verdicts.values():
            self.apply(held)

    def open(
        self,
        current: configuration.Configuration,
        name: str,
    ) -> waiting.WaitingRoom:
        """Create the pool and waiting room of a service."""
        targets = pool.ServicePool(
            current.services[name],
            self.zone,
            self.settings,
            self.chance,
        )
        room = waiting.WaitingRoom(targets, self.clock)
        self.rooms[name] = room
        return room

    def find(self, target_name: str) -> pool.ServicePool | None:
        """Return the pool of a target."""
        room = self.rooms.get(self.services.get(target_name, ''))
        return room.pool if room else None

    def apply(self, fresh: verdict.Verdict) -> bool:
        """Take up a verdict of the fleet if it is newer."""
        held = self.verdicts.get(fresh.target)
        if held is None or held.epoch < fresh.epoch:
            self.verdicts[fresh.target] = fresh
        found = self.find(fresh.target)
        return found is not None and found.apply(fresh, self.clock())


def group(
    targets: abc.Iterable[target.Target],
) -> dict[str, list[target.Target]]:
    """Group targets by service."""
    by_service = operator.attrgetter('service')
    return {
        name: list(members)
        for name, members in itertools.groupby(
            sorted(targets, key=by_service),
            by_service,
        )
    }
