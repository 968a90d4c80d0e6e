"""What one daemon knows: configuration, targets, members."""

import random
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import configuration, registration
from sapphirepaddle.limits import fleet_retry_budget
from sapphirepaddle.routing import candidate, service_targets
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

ConfigurationCallback = abc.Callable[[configuration.Configuration], None]


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
        self.started_at = clock.monotonic()
        self.configuration: configuration.Configuration | None = None
        self.targets_by_service: dict[str, service_targets.ServiceTargets] = {}
        self.retry_budgets: dict[str, fleet_retry_budget.FleetRetryBudget] = {}
        self.service_by_target: dict[str, str] = {}
        self.configuration_callbacks: list[ConfigurationCallback] = []
        self.has_targets = False
        self.logger = logs.get_logger('directory')

    @property
    def version(self) -> int:
        """Return the version in force; 0 for none."""
        return self.configuration.version if self.configuration else 0

    @property
    def is_complete(self) -> bool:
        """Tell whether requests can be served."""
        return self.configuration is not None and self.has_targets

    def apply_configuration(self, newer: configuration.Configuration) -> bool:
        """Take up a configuration if it is newer.

        Returns:
            Whether it was taken up.
        """
        if newer.version <= self.version:
            return False
        before = self.version
        self.configuration = newer
        for listener in self.configuration_callbacks:
            listener(newer)
        self.logger.info(
            'configuration',
            version=newer.version,
            before=before,
            routes=len(newer.routes),
            accounts=len(newer.accounts),
        )
        return True

    def service_targets(self, service: str) -> service_targets.ServiceTargets:
        """Return the targets of a service."""
        held = self.targets_by_service.get(service)
        if held is None:
            held = service_targets.ServiceTargets(self.zone, random.Random())
            self.targets_by_service[service] = held
        return held

    def retry_budget(self, service: str) -> fleet_retry_budget.FleetRetryBudget:
        """Return the budget of repeats of a service."""
        held = self.retry_budgets.get(service)
        if held is None:
            held = fleet_retry_budget.FleetRetryBudget(
                self.bounds, self.started_at
            )
            self.retry_budgets[service] = held
        return held

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self.retry_budget(service).record_request(clock.monotonic())

    def candidates(self) -> abc.Iterator[candidate.Candidate]:
        """Return all targets."""
        for held in self.targets_by_service.values():
            yield from held.candidates.values()

    def find_target(self, name: str) -> candidate.Candidate | None:
        """Return a target by its name."""
        service = self.service_by_target.get(name)
        if service is None:
            return None
        return self.targets_by_service[service].candidates.get(name)

    def update_target(self, held: registration.Registration) -> None:
        """Take up the registration of a target."""
        known = self.find_target(held.name)
        if known is not None and known.registration == held:
            return
        former = self.service_by_target.get(held.name)
        if former is not None and former != held.service:
            self.remove_target(held.name, 'service changed')
        self.service_targets(held.service).apply_registration(
            held, clock.monotonic()
        )
        self.service_by_target[held.name] = held.service
        self.logger.info(
            'target',
            target=held.name,
            service=held.service,
            zone=held.zone,
            draining=held.is_draining,
            incarnation=held.incarnation,
            warmup=held.warmup_seconds,
            is_new=known is None,
        )

    def remove_target(self, name: str, reason: str) -> None:
        """Drop a target that is gone."""
        service = self.service_by_target.pop(name, None)
        if service is None:
            return
        self.targets_by_service[service].remove(name)
        self.logger.info(
            'target gone',
            target=name,
            service=service,
            reason=reason,
        )

    def target_names(self) -> frozenset[str]:
        """Return the names of all targets."""
        return frozenset(self.service_by_target)
