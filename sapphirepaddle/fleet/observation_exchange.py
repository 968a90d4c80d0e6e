"""Exchange of observations and ejection states between daemons."""

import asyncio
import collections
import typing

from sapphirepaddle import clock
from sapphirepaddle.audit import audit_log
from sapphirepaddle.gateway import dispatch
from sapphirepaddle.peers import gossip, members, mesh, messages
from sapphirepaddle.routing import (
    ejection_state,
    outlier_detector,
    rendezvous,
    result_counts,
    routing_table,
    target_observation,
    target_view,
)
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters, logs

TOPIC: typing.Final = 'verdict'
"""Gossip topic of ejection states."""
DRAINING_TOPIC: typing.Final = 'draining'
"""Gossip topic of drain signals of targets."""
GOOD_REPORT_TICKS: typing.Final = 2
"""Interval, in report rounds, at which good results alone are reported."""
PROBERS_PER_SERVICE: typing.Final = 2
ObservationsByDetector = dict[str, list[messages.Observation]]


class ObservationExchange:
    """Reports this daemon's observations and runs its outlier detector.

    The VM that runs the outlier detector of a service is selected by
    rendezvous hashing over the live VMs. Good results are reported less
    often than suspect ones.

    Attributes:
        settings: Thresholds and times.
        table: Routing state of the services.
        members: The VMs of the fleet.
        gossip: Publishes ejection states and drain signals.
        mesh: The peer connections.
        counters: Totals for metrics.
        dispatcher: Records stalled attempts.
        detector: Outlier detector for the services assigned to this VM.
        ticks: Number of report rounds so far.
        logger: Log of ejection states.
        audit: The audit log; None if there is none.
    """

    def __init__(
        self,
        settings: entry.RoutingSettings,
        dispatcher: dispatch.Dispatcher,
        fleet_members: members.Members,
        peer_gossip: gossip.Gossip,
        totals: counters.Counters,
    ) -> None:
        """Register the message and gossip handlers."""
        self.settings = settings
        self.dispatcher = dispatcher
        self.table: routing_table.RoutingTable = dispatcher.routing_table
        self.members = fleet_members
        self.gossip = peer_gossip
        self.mesh: mesh.Mesh = peer_gossip.mesh
        self.counters = totals
        self.detector = outlier_detector.OutlierDetector(
            fleet_members.local_vm, settings
        )
        self.ticks = 0
        self.logger = logs.get_logger('evidence')
        self.audit: audit_log.AuditLog | None = None
        self.mesh.message_handlers[messages.Report] = self.handle_report
        peer_gossip.store.handlers[TOPIC] = self.handle_ejection_state
        peer_gossip.store.handlers[DRAINING_TOPIC] = self.handle_draining

    def detector_of(self, service: str) -> str:
        """Return the VM that runs the outlier detector of a service."""
        return self.members.role_holder(f'judge/{service}')

    def is_prober(self, service: str) -> bool:
        """Return whether this VM probes the targets of a service."""
        role = f'judge/{service}'
        probers = self.members.get_cached(
            f'probers {role}',
            lambda: rendezvous.rank(
                role, self.members.live_vms(), PROBERS_PER_SERVICE
            ),
        )
        return self.members.local_vm in probers

    def handle_report(self, message: messages.Report, sender: str) -> None:
        """Record the observations that another daemon reported."""
        zone = self.members.zone_of(sender)
        for observation in message.observations:
            self.record_observation(observation, sender, zone)

    def record_observation(
        self,
        observation: messages.Observation,
        reporter: str,
        zone: str,
    ) -> None:
        """Pass one observation to the outlier detector."""
        current_state = self.table.ejection_states.get(observation.target)
        initial_state = ejection_state.EjectionState(
            target=observation.target,
            epoch=0,
            standing=ejection_state.Standing.HEALTHY,
        )
        self.detector.record_observation(
            target_observation.TargetObservation(
                target=observation.target,
                reporter=reporter,
                zone=zone,
                counts=result_counts.ResultCounts(
                    observation.good, observation.bad, observation.slow
                ),
                service=self.table.service_by_target.get(
                    observation.target, ''
                ),
            ),
            current_state or initial_state,
            clock.monotonic(),
        )

    def handle_ejection_state(self, item: messages.GossipItem) -> None:
        """Apply an ejection state received by gossip."""
        state = ejection_state.ADAPTER.validate_json(item.payload)
        if self.table.apply_ejection_state(state):
            self.counters.add('verdicts', state.standing.value)
            self.logger.info(
                'verdict',
                target=state.target,
                standing=state.standing.value,
                reason=state.reason,
                judge=state.judge,
            )

    def handle_draining(self, item: messages.GossipItem) -> None:
        """Apply a target's drain signal that another daemon published."""
        service_pool = self.table.find_pool(item.key)
        if service_pool is not None:
            view = service_pool.views[item.key]
            view.record_draining(clock.monotonic())
            view.is_drain_unpublished = False
            service_pool.refreshed_at = -1

    async def run(self) -> None:
        """Report and evaluate periodically; runs until cancelled."""
        while True:
            await asyncio.sleep(self.settings.report_seconds)
            now = clock.monotonic()
            self.dispatcher.record_stalls(now)
            self.publish_draining()
            if self.settings.judge:
                self.send_reports()
                self.publish_ejection_states(now)

    def send_reports(self) -> None:
        """Report the results since the last report."""
        self.ticks += 1
        include_good = self.ticks % GOOD_REPORT_TICKS == 0
        for name, observations in self.collect(include_good).items():
            if name == self.members.local_vm:
                for observation in observations:
                    self.record_observation(
                        observation, name, self.members.local_zone
                    )
            else:
                self.mesh.spawn(self.deliver(name, observations))

    async def deliver(
        self,
        peer: str,
        observations: list[messages.Observation],
    ) -> None:
        """Send a report to the VM of an outlier detector."""
        await self.mesh.ensure_connected(peer)
        self.mesh.send(peer, messages.Report(tuple(observations)))

    def collect(self, include_good: bool) -> ObservationsByDetector:
        """Remove and return the unreported results, by VM to report to."""
        reports: ObservationsByDetector = collections.defaultdict(list)
        for service, queue in self.table.queues.items():
            observations = [
                pop_unreported(view)
                for view in queue.pool.views.values()
                if is_due(view, include_good)
            ]
            if observations:
                reports[self.detector_of(service)].extend(observations)
        return reports

    def publish_ejection_states(self, now: float) -> None:
        """Evaluate all targets and publish the new ejection states."""
        live_daemons = len(self.members.live_vms())
        for state in self.detector.evaluate(now, live_daemons):
            self.audit_ejection_state(state)
            self.gossip.publish_version(
                TOPIC,
                state.target,
                state.epoch,
                state.encode(),
            )

    def audit_ejection_state(self, state: ejection_state.EjectionState) -> None:
        """Add a state set by this detector to the audit log."""
        if self.audit is None:
            return
        previous = self.table.ejection_states.get(state.target)
        self.audit.add(
            f'target-{state.standing.value}',
            state.target,
            before=previous.standing.value if previous else 'healthy',
            after=f'{state.standing.value}, epoch {state.epoch}',
            reason=state.reason,
        )

    def publish_draining(self) -> None:
        """Publish drain signals that were received with answers."""
        for queue in self.table.queues.values():
            for view in queue.pool.views.values():
                if view.is_drain_unpublished:
                    view.is_drain_unpublished = False
                    name = view.target.name
                    self.gossip.publish(DRAINING_TOPIC, name, b'')


def is_due(view: target_view.TargetView, include_good: bool) -> bool:
    """Return whether the results of a target are reported now.

    Good results alone are reported only if `include_good` is set.
    """
    counts = view.unreported
    return counts.suspect > 0 or (include_good and counts.good > 0)


def pop_unreported(view: target_view.TargetView) -> messages.Observation:
    """Remove and return the unreported results of a target."""
    counts = view.unreported
    view.unreported = result_counts.ResultCounts()
    return messages.Observation(
        view.target.name,
        counts.good,
        counts.bad,
        counts.slow,
    )
