"""Current configuration and targets of one daemon."""

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
    """Current configuration, and targets and retry budgets by service.

    The version of the configuration never decreases while the process runs.

    Attributes:
        zone: Availability zone of this daemon.
        bounds: Limits promised to operators.
        started_at: Monotonic time when the daemon started, in seconds.
        configuration: Current configuration; None until one has been applied.
        targets_by_service: Targets by service name.
        retry_budgets: Retry budgets by service name.
        service_by_target: Service name by target name.
        configuration_callbacks: Called with each configuration that is
            applied.
        has_targets: Whether the list of targets was read at least once.
        logger: Logger for changes of the configuration and the targets.
    """

    def __init__(self, zone: str, bounds: edge.Bounds) -> None:
        """Initialize without a configuration and without targets."""
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
        """Return the version of the current configuration; 0 for none."""
        return self.configuration.version if self.configuration else 0

    @property
    def is_complete(self) -> bool:
        """Return whether a configuration and the targets have been read.

        Requests cannot be served before.
        """
        return self.configuration is not None and self.has_targets

    def apply_configuration(
        self, new_configuration: configuration.Configuration
    ) -> bool:
        """Apply a configuration if it is newer than the current one.

        Returns:
            Whether it was applied.
        """
        if new_configuration.version <= self.version:
            return False
        previous_version = self.version
        self.configuration = new_configuration
        for callback in self.configuration_callbacks:
            callback(new_configuration)
        self.logger.info(
            'configuration',
            version=new_configuration.version,
            before=previous_version,
            routes=len(new_configuration.routes),
            accounts=len(new_configuration.accounts),
        )
        return True

    def service_targets(self, service: str) -> service_targets.ServiceTargets:
        """Return the targets of a service; an unknown one is added empty."""
        targets = self.targets_by_service.get(service)
        if targets is None:
            targets = service_targets.ServiceTargets(
                self.zone, random.Random(), self.bounds.drain
            )
            self.targets_by_service[service] = targets
        return targets

    def retry_budget(self, service: str) -> fleet_retry_budget.FleetRetryBudget:
        """Return the retry budget of a service, created on first use."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = fleet_retry_budget.FleetRetryBudget(
                self.bounds, self.started_at
            )
            self.retry_budgets[service] = budget
        return budget

    def record_request(self, service: str) -> None:
        """Count a caller's request in the retry budget of its service."""
        self.retry_budget(service).record_request(clock.monotonic())

    def candidates(self) -> abc.Iterator[candidate.Candidate]:
        """Iterate over the targets of all services."""
        for targets in self.targets_by_service.values():
            yield from targets.candidates.values()

    def find_target(self, name: str) -> candidate.Candidate | None:
        """Return the target with a name, or None if it is unknown."""
        service = self.service_by_target.get(name)
        if service is None:
            return None
        return self.targets_by_service[service].candidates.get(name)

    def update_target(
        self, target_registration: registration.Registration
    ) -> None:
        """Add a target or apply its changed registration.

        A target that moved to another service is removed from the former one
        first.
        """
        current_candidate = self.find_target(target_registration.name)
        if (
            current_candidate is not None
            and current_candidate.registration == target_registration
        ):
            return
        previous_service = self.service_by_target.get(target_registration.name)
        if (
            previous_service is not None
            and previous_service != target_registration.service
        ):
            self.remove_target(target_registration.name, 'service changed')
        self.service_targets(target_registration.service).apply_registration(
            target_registration, clock.monotonic()
        )
        self.service_by_target[target_registration.name] = (
            target_registration.service
        )
        self.logger.info(
            'target',
            target=target_registration.name,
            service=target_registration.service,
            zone=target_registration.zone,
            draining=target_registration.is_draining,
            incarnation=target_registration.incarnation,
            warmup=target_registration.warmup_seconds,
            is_new=current_candidate is None,
        )

    def remove_target(self, name: str, reason: str) -> None:
        """Remove a target; an unknown name is ignored.

        Args:
            name: Name of the target.
            reason: Reason to log.
        """
        service = self.service_by_target.pop(name, None)
        if service is None:
            return
        self.targets_by_service[service].remove(name)
        self.logger.info(
            'target removed',
            target=name,
            service=service,
            reason=reason,
        )

    def target_names(self) -> frozenset[str]:
        """Return the names of all targets."""
        return frozenset(self.service_by_target)
