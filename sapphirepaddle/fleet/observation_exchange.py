"""Pooling of evidence: reports to judges, verdicts to everybody."""

import asyncio
import collections
import typing

from sapphirepaddle import clock
from sapphirepaddle.audit import audit_log
from sapphirepaddle.gateway import dispatch
from sapphirepaddle.peers import gossip, members, mesh, messages
from sapphirepaddle.routing import (
    outlier_detector,
    rendezvous,
    target_observation,
    routing_table,
    result_counts,
    ejection_state,
    target_view,
)
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters, logs

TOPIC: typing.Final = 'verdict'
DRAINING_TOPIC: typing.Final = 'draining'
GOOD_REPORT_TICKS: typing.Final = 2
PROBERS_PER_SERVICE: typing.Final = 2
ObservationsByDetector = dict[str, list[messages.Observation]]


class ObservationExchange:
    """Reports what this daemon sees, and judges for the fleet.

    The judge of a service is chosen by rendezvous hashing over the live
    VMs. Good results are reported less often than bad ones.

    Attributes:
        settings: Thresholds and times.
        table: The services.
        known: The VMs of the fleet.
        gossip: Spreads verdicts.
        mesh: The peer connections.
        counters: Totals for metrics.
        dispatcher: Notes stalled attempts.
        judge: Judges the targets that fall to this VM.
        ticks: Rounds so far.
        logger: Log of verdicts.
        audit: The audit trail, if there is one.
    """

    def __init__(
        self,
        settings: entry.RoutingSettings,
        dispatcher: dispatch.Dispatcher,
        known: members.Members,
        spread: gossip.Gossip,
        totals: counters.Counters,
    ) -> None:
        """Take part in the conversations of the mesh."""
        self.settings = settings
        self.dispatcher = dispatcher
        self.table: routing_table.RoutingTable = dispatcher.routing_table
        self.members = known
        self.gossip = spread
        self.mesh: mesh.Mesh = spread.mesh
        self.counters = totals
        self.detector = outlier_detector.OutlierDetector(
            known.local_vm, settings
        )
        self.ticks = 0
        self.logger = logs.get_logger('evidence')
        self.audit: audit_log.AuditLog | None = None
        self.mesh.message_handlers[messages.Report] = self.handle_report
        spread.store.handlers[TOPIC] = self.handle_ejection_state
        spread.store.handlers[DRAINING_TOPIC] = self.handle_draining

    def detector_of(self, service: str) -> str:
        """Return the VM that judges the targets of a service."""
        return self.members.role_holder(f'judge/{service}')

    def is_prober(self, service: str) -> bool:
        """Tell whether this VM probes the targets of a service."""
        role = f'judge/{service}'
        chosen = self.members.get_cached(
            f'probers {role}',
            lambda: rendezvous.rank(
                role, self.members.live_vms(), PROBERS_PER_SERVICE
            ),
        )
        return self.members.local_vm in chosen

    def handle_report(self, body: messages.Report, sender: str) -> None:
        """Take up a report of another daemon."""
        zone = self.members.zone_of(sender)
        for seen in body.observations:
            self.record_observation(seen, sender, zone)

    def record_observation(
        self,
        seen: messages.Observation,
        observer: str,
        zone: str,
    ) -> None:
        """Hand one observation to the judge."""
        held = self.table.ejection_states.get(seen.target)
        healthy = ejection_state.EjectionState(
            target=seen.target,
            epoch=0,
            standing=ejection_state.Standing.HEALTHY,
        )
        self.detector.record_observation(
            target_observation.TargetObservation(
                target=seen.target,
                reporter=observer,
                zone=zone,
                counts=result_counts.ResultCounts(
                    seen.good, seen.bad, seen.slow
                ),
                service=self.table.service_by_target.get(seen.target, ''),
            ),
            held or healthy,
            clock.monotonic(),
        )

    def handle_ejection_state(self, item: messages.GossipItem) -> None:
        """Take up a verdict of the fleet."""
        fresh = ejection_state.ADAPTER.validate_json(item.payload)
        if self.table.apply_ejection_state(fresh):
            self.counters.add('verdicts', fresh.standing.value)
            self.logger.info(
                'verdict',
                target=fresh.target,
                standing=fresh.standing.value,
                reason=fresh.reason,
                judge=fresh.judge,
            )

    def handle_draining(self, item: messages.GossipItem) -> None:
        """Take up a target's drain signal that another daemon saw."""
        targets = self.table.find_pool(item.key)
        if targets is not None:
            held = targets.views[item.key]
            held.record_draining(clock.monotonic())
            held.is_drain_unpublished = False
            targets.refreshed = -1

    async def run(self) -> None:
        """Report and judge again and again."""
        while True:
            await asyncio.sleep(self.settings.report_seconds)
            now = clock.monotonic()
            self.dispatcher.record_stalls(now)
            self.spread_draining()
            if self.settings.judge:
                self.send_reports()
                self.publish_ejection_states(now)

    def send_reports(self) -> None:
        """Report what was seen since the last round."""
        self.ticks += 1
        good_too = self.ticks % GOOD_REPORT_TICKS == 0
        for name, seen in self.collect(good_too).items():
            if name == self.members.local_vm:
                for observation in seen:
                    self.record_observation(
                        observation, name, self.members.local_zone
                    )
            else:
                self.mesh.spawn(self.deliver(name, seen))

    async def deliver(
        self,
        name: str,
        seen: list[messages.Observation],
    ) -> None:
        """Send a report to a judge."""
        await self.mesh.ensure_connected(name)
        self.mesh.send(name, messages.Report(tuple(seen)))

    def collect(self, good_too: bool) -> ObservationsByDetector:
        """Take the results not yet reported, by judge."""
        reports: ObservationsByDetector = collections.defaultdict(list)
        for service, room in self.table.queues.items():
            seen = [
                pop_unreported(held)
                for held in room.pool.views.values()
                if is_due(held, good_too)
            ]
            if seen:
                reports[self.detector_of(service)].extend(seen)
        return reports

    def publish_ejection_states(self, now: float) -> None:
        """Spread the verdicts that change now."""
        daemons = len(self.members.live_vms())
        for fresh in self.detector.evaluate(now, daemons):
            self.audit_ejection_state(fresh)
            self.gossip.publish_version(
                TOPIC,
                fresh.target,
                fresh.epoch,
                fresh.encode(),
            )

    def audit_ejection_state(self, fresh: ejection_state.EjectionState) -> None:
        """Add a verdict of this judge to the audit trail."""
        if self.audit is None:
            return
        held = self.table.ejection_states.get(fresh.target)
        self.audit.add(
            f'target-{fresh.standing.value}',
            fresh.target,
            before=held.standing.value if held else 'healthy',
            after=f'{fresh.standing.value}, epoch {fresh.epoch}',
            reason=fresh.reason,
        )

    def spread_draining(self) -> None:
        """Spread drain signals that answers carried."""
        for room in self.table.queues.values():
            for held in room.pool.views.values():
                if held.is_drain_unpublished:
                    held.is_drain_unpublished = False
                    name = held.target.name
                    self.gossip.publish(DRAINING_TOPIC, name, b'')


def is_due(held: target_view.TargetView, good_too: bool) -> bool:
    """Tell whether the results of a target are reported now."""
    counts = held.unreported
    return counts.suspect > 0 or (good_too and counts.good > 0)


def pop_unreported(held: target_view.TargetView) -> messages.Observation:
    """Take the results of a target that were not yet reported."""
    counts = held.unreported
    held.unreported = result_counts.ResultCounts()
    return messages.Observation(
        held.target.name,
        counts.good,
        counts.bad,
        counts.slow,
    )
