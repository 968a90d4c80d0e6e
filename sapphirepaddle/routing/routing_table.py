"""Routing state of all configured services in an entry daemon."""

import itertools
import math
import operator
import random
from collections import abc

from sapphirepaddle.objects import configuration, target
from sapphirepaddle.routing import (
    ejection_state,
    emptied_zones,
    fair_queue,
    pool,
)
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import logs, zone_log


class RoutingTable:
    """Pools and fair queues of all services.

    Attributes:
        zone: Availability zone of this daemon.
        settings: Thresholds of outlier detection.
        clock: Returns seconds of the monotonic clock.
        rng: Random number generator.
        queues: Fair queue of each service, with its pool, by name.
        service_by_target: Name of the service by name of the target.
        ejection_states: The newest ejection state by name of the target.
        emptied_zones: Zones whose targets take no new requests.
        is_configured: Whether a configuration was applied.
        logger: Log of zones that are emptied and taken back.
    """

    def __init__(
        self,
        zone: str,
        settings: entry.RoutingSettings,
        clock: abc.Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Initialize a table without services."""
        self.zone = zone
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.queues: dict[str, fair_queue.FairQueue] = {}
        self.service_by_target: dict[str, str] = {}
        self.ejection_states: dict[str, ejection_state.EjectionState] = {}
        self.emptied_zones = emptied_zones.EmptiedZones(
            settings.zone_ramp_seconds
        )
        self.is_configured = False
        self.logger = logs.get_logger('routing')

    def configure(self, current: configuration.Configuration) -> None:
        """Apply the active configuration.

        Known ejection states are applied again, since a target may be new.
        """
        self.apply_emptied_zones(current)
        groups = group_by_service(current.targets.values())
        for name in self.queues.keys() - current.services.keys():
            self.queues.pop(name)
        for name, configured in current.services.items():
            queue = self.queues.get(name) or self.create_queue(current, name)
            queue.pool.configure(configured, groups.get(name, ()))
            queue.grant_waiters()
        self.service_by_target = {
            configured_target.name: configured_target.service
            for configured_target in current.targets.values()
        }
        for state in self.ejection_states.values():
            self.apply_ejection_state(state)

    def apply_emptied_zones(self, current: configuration.Configuration) -> None:
        """Apply which zones are emptied.

        Zones that the first configuration of the process empties have been
        emptied for an unknown time, and get no requests at once.
        """
        age = 0 if self.is_configured else math.inf
        self.is_configured = True
        changes = self.emptied_zones.apply(
            {
                zone.name: age
                for zone in current.zones.values()
                if zone.state == 'emptied'
            },
            self.clock(),
        )
        zone_log.log_changes(self.logger, changes, 'change')

    def create_queue(
        self,
        current: configuration.Configuration,
        name: str,
    ) -> fair_queue.FairQueue:
        """Create the pool and fair queue of a service."""
        targets = pool.ServicePool(
            current.services[name],
            self.zone,
            self.settings,
            self.rng,
            self.emptied_zones,
        )
        queue = fair_queue.FairQueue(targets, self.clock)
        self.queues[name] = queue
        return queue

    def find_pool(self, target_name: str) -> pool.ServicePool | None:
        """Return the pool of a target; None if the target is unknown."""
        queue = self.queues.get(self.service_by_target.get(target_name, ''))
        return queue.pool if queue else None

    def apply_ejection_state(
        self, new_state: ejection_state.EjectionState
    ) -> bool:
        """Store and apply an ejection state of the fleet if it is newer.

        Returns:
            Whether it was applied to a target of a pool.
        """
        current_state = self.ejection_states.get(new_state.target)
        if current_state is None or current_state.epoch < new_state.epoch:
            self.ejection_states[new_state.target] = new_state
        service_pool = self.find_pool(new_state.target)
        return service_pool is not None and service_pool.apply_ejection_state(
            new_state, self.clock()
        )


def group_by_service(
    targets: abc.Iterable[target.Target],
) -> dict[str, list[target.Target]]:
    """Return the targets by name of their service."""
    by_service = operator.attrgetter('service')
    return {
        name: list(members)
        for name, members in itertools.groupby(
            sorted(targets, key=by_service),
            by_service,
        )
    }
