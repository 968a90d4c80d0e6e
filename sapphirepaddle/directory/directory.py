"""Current configuration and targets of one daemon."""

import random
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import (
    account,
    configuration,
    registration,
    route,
)
from sapphirepaddle.limits import fleet_retry_budget
from sapphirepaddle.routing import (
    candidate,
    cold_targets,
    emptied_zones,
    service_targets,
    warmup_admission,
    zone_choice,
)
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs, zone_log

ZONE_RAMP_RATIO: typing.Final = 0.3
"""Part of the bound for emptying a zone over which its load moves away. The
rest is left for learning that it is emptied, and for requests on their way."""

LeavingLookup = abc.Callable[[registration.Registration], float | None]
ConfigurationCallback = abc.Callable[[configuration.Configuration], None]


def never_leaves(_registration: registration.Registration) -> None:
    """Return None: by default no target is known to leave before it is listed.

    What it states later is recorded at its candidate.
    """


class Directory:
    """Current configuration, and targets and retry budgets by service.

    The version of the configuration never decreases while the process runs.

    Attributes:
        zone: Availability zone of this daemon.
        bounds: Limits promised to operators.
        regions: Region of each availability zone.
        started_at: Monotonic time when the daemon started, in seconds; -inf if
            no daemon of the fleet had run before.
        configuration: Current configuration; None until one has been applied.
        targets_by_service: Targets by service name.
        retry_budgets: Retry budgets by service name.
        service_by_target: Service name by target name.
        configuration_callbacks: Called with each configuration that is
            applied.
        has_targets: Whether the list of targets was read at least once.
        emptied_zones: Availability zones whose targets get no new requests.
        warmup_admission: Decides how often this daemon may send to a cold
            target; None if nothing limits it.
        read_zone_size: Returns the number of daemons of this zone.
        read_leaving_since: Returns the monotonic time since which an
            incarnation of a target is known to leave; None if it is not.
        logger: Logger for changes of the configuration and the targets.
    """

    def __init__(
        self,
        zone: str,
        bounds: edge.Bounds,
        regions: abc.Mapping[str, str] | None = None,
    ) -> None:
        """Initialize without a configuration and without targets."""
        self.zone = zone
        self.bounds = bounds
        self.regions = regions or {}
        self.started_at = clock.monotonic()
        self.configuration: configuration.Configuration | None = None
        self.targets_by_service: dict[str, service_targets.ServiceTargets] = {}
        self.retry_budgets: dict[str, fleet_retry_budget.FleetRetryBudget] = {}
        self.service_by_target: dict[str, str] = {}
        self.configuration_callbacks: list[ConfigurationCallback] = []
        self.has_targets = False
        self.emptied_zones = emptied_zones.EmptiedZones(
            bounds.empty_zone * ZONE_RAMP_RATIO
        )
        self.warmup_admission: warmup_admission.WarmupAdmission | None = None
        self.read_zone_size: abc.Callable[[], int] = zone_choice.single_daemon
        self.read_leaving_since: LeavingLookup = never_leaves
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
        for service, targets in self.targets_by_service.items():
            targets.cold_targets = self.cold_targets(service)
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
                self.zone,
                random.Random(),
                self.bounds.drain,
                self.emptied_zones,
            )
            targets.cold_targets = self.cold_targets(service)
            targets.zone_choice.read_daemon_count = self.read_zone_size
            self.targets_by_service[service] = targets
        return targets

    def cold_targets(self, service: str) -> cold_targets.ColdTargets | None:
        """Return the limit of the cold targets of a service; None for none.

        There is one if both the configuration of the service and the bounds
        state what its cold targets bear.
        """
        if self.configuration is None or self.warmup_admission is None:
            return None
        rate = self.configuration.warmup_rates.get(service)
        if not rate or not self.bounds.warmup_ratio:
            return None
        return cold_targets.ColdTargets(
            self.warmup_admission,
            warmup_admission.WarmupLimit(
                rate,
                rate * self.bounds.warmup_ratio + self.bounds.warmup_slack,
            ),
        )

    def apply_emptied_zones(
        self, zone_ages: abc.Mapping[str, float], learned_from: str
    ) -> bool:
        """Apply which zones are emptied, and log the changes.

        Args:
            zone_ages: Time for which each emptied zone has been emptied.
            learned_from: Where this was learned, to log.

        Returns:
            Whether it changed anything.
        """
        changes = self.emptied_zones.apply(zone_ages, clock.monotonic())
        zone_log.log_changes(self.logger, changes, learned_from)
        return bool(changes)

    def warm_targets(
        self, names: abc.Iterable[str]
    ) -> list[candidate.Candidate]:
        """Return the targets with some names that are limited while cold.

        Only those are returned that are warm now.
        """
        now = clock.monotonic()
        targets = filter(None, map(self.find_target, names))
        return [
            target
            for target in targets
            if target.cold_until <= now
            and self.cold_targets(target.registration.service) is not None
        ]

    def left_count(self) -> int:
        """Return the number of requests that left this zone for its room."""
        return sum(
            sum(targets.zone_choice.left_counts.values())
            for targets in self.targets_by_service.values()
        )

    def cold_count(self) -> int:
        """Return the number of targets that are cold after their start."""
        now = clock.monotonic()
        return sum(target.cold_until > now for target in self.candidates())

    def home_zones(
        self,
        matched_route: route.Route,
        client_account: account.Account | None,
    ) -> frozenset[str] | None:
        """Return the zones whose targets may run a request; None for all.

        Where both the route and the account have home regions, both bind. A
        zone whose region is unknown is in no region.
        """
        homes = [matched_route.home_regions]
        if client_account is not None:
            homes.append(client_account.home_regions)
        if not any(homes):
            return None
        return frozenset(
            zone
            for zone, region in self.regions.items()
            if all(region in regions for regions in filter(None, homes))
        )

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
        first. What was heard of the incarnation while it was not listed holds.
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
        targets = self.service_targets(target_registration.service)
        targets.apply_registration(target_registration, clock.monotonic())
        leaving_since = self.read_leaving_since(target_registration)
        if leaving_since is not None:
            targets.record_leaving(
                targets.candidates[target_registration.name], leaving_since
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
