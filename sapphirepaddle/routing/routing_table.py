"""All services of the configuration in the eyes of one daemon."""

import itertools
import operator
import random
from collections import abc

from sapphirepaddle.objects import configuration, target
from sapphirepaddle.routing import pool, ejection_state, fair_queue
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
        settings: entry.RoutingSettings,
        clock: abc.Callable[[], float],
        chance: random.Random,
    ) -> None:
        """Start without services."""
        self.zone = zone
        self.settings = settings
        self.clock = clock
        self.rng = chance
        self.queues: dict[str, fair_queue.FairQueue] = {}
        self.service_by_target: dict[str, str] = {}
        self.ejection_states: dict[str, ejection_state.EjectionState] = {}

    def configure(self, current: configuration.Configuration) -> None:
        """Take up the configuration in force; evidence is kept."""
        emptied = frozenset(
            zone.name
            for zone in current.zones.values()
            if zone.state == 'emptied'
        )
        groups = group_by_service(current.targets.values())
        for name in self.queues.keys() - current.services.keys():
            self.queues.pop(name)
        for name, configured in current.services.items():
            room = self.queues.get(name) or self.create_queue(current, name)
            room.pool.configure(configured, groups.get(name, ()), emptied)
            room.grant_waiters()
        self.service_by_target = {
            entry.name: entry.service for entry in current.targets.values()
        }
        for held in self.ejection_states.values():
            self.apply_ejection_state(held)

    def create_queue(
        self,
        current: configuration.Configuration,
        name: str,
    ) -> fair_queue.FairQueue:
        """Create the pool and waiting room of a service."""
        targets = pool.ServicePool(
            current.services[name],
            self.zone,
            self.settings,
            self.rng,
        )
        room = fair_queue.FairQueue(targets, self.clock)
        self.queues[name] = room
        return room

    def find_pool(self, target_name: str) -> pool.ServicePool | None:
        """Return the pool of a target."""
        room = self.queues.get(self.service_by_target.get(target_name, ''))
        return room.pool if room else None

    def apply_ejection_state(self, fresh: ejection_state.EjectionState) -> bool:
        """Take up a verdict of the fleet if it is newer."""
        held = self.ejection_states.get(fresh.target)
        if held is None or held.epoch < fresh.epoch:
            self.ejection_states[fresh.target] = fresh
        found = self.find_pool(fresh.target)
        return found is not None and found.apply_ejection_state(
            fresh, self.clock()
        )


def group_by_service(
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
