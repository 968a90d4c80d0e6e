"""What one daemon knows: configuration, targets, members."""

import random
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import configuration, registration
from sapphirepaddle.limits import fleet_retry_budget
from sapphirepaddle.routing import candidate, service_targets
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

Listener = abc.Callable[[configuration.Configuration], None]


class Directory:
    """Configuration in force and targets by service.

    The configuration only moves forward in the life of a process.

    Attributes:
        zone: Availability zone of this daemon.
        bounds: Figures promised to operators.
        started: When the daemon started.
        configuration: In force; None until one is known.
        rosters: Targets by service.
        budgets: Budgets of repeats by service.
        services: Service of each target.
        listeners: Called with each configuration that comes into force.
        has_targets: Whether the targets were read at least once.
        logger: Log of changes.
    """

    def __init__(self, zone: str, bounds: edge.Bounds) -> None:
        """Start without knowledge."""
        self.zone = zone
        self.bounds = bounds
        self.started = clock.monotonic()
        self.configuration: configuration.Configuration | None = None
        self.rosters: dict[str, service_targets.ServiceTargets] = {}
        self.budgets: dict[str, fleet_retry_budget.FleetRetryBudget] = {}
        self.services: dict[str, str] = {}
        self.listeners: list[Listener] = []
        self.has_targets = False
        self.logger = logs.get('directory')

    @property
    def version(self) -> int:
        """Return the version in force; 0 for none."""
        return self.configuration.version if self.configuration else 0

    @property
    def is_complete(self) -> bool:
        """Tell whether requests can be served."""
        return self.configuration is not None and self.has_targets

    def put_in_force(self, newer: configuration.Configuration) -> bool:
        """Take up a configuration if it is newer.

        Returns:
            Whether it was taken up.
        """
        if newer.version <= self.version:
            return False
        before = self.version
        self.configuration = newer
        for listener in self.listeners:
            listener(newer)
        self.logger.info(
            'configuration',
            version=newer.version,
            before=before,
            routes=len(newer.routes),
            accounts=len(newer.accounts),
        )
        return True

    def roster(self, service: str) -> service_targets.ServiceTargets:
        """Return the targets of a service."""
        held = self.rosters.get(service)
        if held is None:
            held = service_targets.ServiceTargets(self.zone, random.Random())
            self.rosters[service] = held
        return held

    def budget(self, service: str) -> fleet_retry_budget.FleetRetryBudget:
        """Return the budget of repeats of a service."""
        held = self.budgets.get(service)
        if held is None:
            held = fleet_retry_budget.FleetRetryBudget(
                self.bounds, self.started
            )
            self.budgets[service] = held
        return held

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self.budget(service).record_request(clock.monotonic())

    def candidates(self) -> abc.Iterator[candidate.Candidate]:
        """Return all targets."""
        for held in self.rosters.values():
            yield from held.candidates.values()

    def find(self, name: str) -> candidate.Candidate | None:
        """Return a target by its name."""
        service = self.services.get(name)
        if service is None:
            return None
        return self.rosters[service].candidates.get(name)

    def update_target(self, held: registration.Registration) -> None:
        """Take up the registration of a target."""
        known = self.find(held.name)
        if known is not None and known.registration == held:
            return
        former = self.services.get(held.name)
        if former is not None and former != held.service:
            self.remove_target(held.name, 'service changed')
        self.roster(held.service).apply_registration(held, clock.monotonic())
        self.services[held.name] = held.service
        self.logger.info(
            'target',
            target=held.name,
            service=held.service,
            zone=held.zone,
            draining=held.is_draining,
            incarnation=held.incarnation,
            warmup=held.warmup,
            is_new=known is None,
        )

    def remove_target(self, name: str, reason: str) -> None:
        """Drop a target that is gone."""
        service = self.services.pop(name, None)
        if service is None:
            return
        self.rosters[service].remove(name)
        self.logger.info(
            'target gone',
            target=name,
            service=service,
            reason=reason,
        )

    def names(self) -> frozenset[str]:
        """Return the names of all targets."""
        return frozenset(self.services)
