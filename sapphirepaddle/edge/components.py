"""Creates and connects the components of an edge daemon."""

import math
import time
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import (
    configuration,
    directory,
    member,
    platform_interface,
)
from sapphirepaddle.edge import (
    listener,
    membership,
    page_handler,
    state_synchronizer,
)
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.peers import count_exchange, datagrams, fleet
from sapphirepaddle.proxy import (
    attempt,
    body_memory,
    forwarder,
    sender,
    target_notices,
)
from sapphirepaddle.routing import warmup_admission
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import counters, decisions, exporter

MILLISECONDS_PER_SECOND: typing.Final = 1000
OK: typing.Final = 200
UNAVAILABLE: typing.Final = 503


class EdgeComponents:
    """All components of one edge daemon.

    Attributes:
        settings: Settings of the daemon.
        platform: Access to the platform.
        counters: Totals for metrics.
        directory: Configuration and targets.
        fleet: The daemons of the fleet.
        quotas: Quotas of the client accounts.
        count_exchange: Exchange of counts with the other daemons.
        datagrams: UDP endpoint of the exchange.
        synchronizer: Keeps configuration and targets up to date.
        membership: Registers this daemon and discovers the others.
        attempt_runner: Runs attempts over connections to targets.
        forwarder: Serves callers' requests.
        caller_listener: Listener for callers.
        readiness_listener: Listener for the balancer's readiness checks.
        exporter: Renders the totals as metrics.
        metrics_listener: Listener for metrics scrapes.
        is_ready: Whether the balancer may send callers.
    """

    def __init__(
        self,
        settings: edge.EdgeSettings,
        platform: platform_interface.PlatformInterface,
    ) -> None:
        """Create and connect the components without starting them."""
        self.settings = settings
        self.platform = platform
        self.is_ready = False
        self.counters = counters.Counters()
        self.directory = directory.Directory(
            settings.zone, settings.bounds, settings.regions
        )
        self.create_peer_components()
        self.create_source_components()
        self.create_caller_components()
        self.create_metrics_components()
        self.directory.configuration_callbacks.append(self.apply_configuration)

    def create_peer_components(self) -> None:
        """Create the components that communicate with other daemons."""
        settings = self.settings
        local_member = member.Member(
            name=settings.vm,
            zone=settings.zone,
            host=settings.peers.host,
            incarnation=int(time.time() * MILLISECONDS_PER_SECOND),
        )
        self.fleet = fleet.Fleet(local_member)
        self.directory.warmup_admission = warmup_admission.WarmupAdmission(
            settings.vm,
            self.settled_members,
            lambda: (
                self.fleet.membership_version + 1
                if self.membership.has_read_members
                else 0
            ),
        )
        self.quotas = account_quotas.AccountQuotas(
            settings.bounds,
            self.fleet.elapsed_fleet_time,
            self.fleet.in_touch_ratio,
            lambda name: self.count_exchange.record_admission(name),
        )
        self.quotas.starts_full = settings.is_first_start
        if settings.is_first_start:
            self.directory.started_at = -math.inf
        self.quotas.read_report_delay = self.fleet.report_delay_seconds
        self.directory.read_zone_size = self.fleet.local_zone_size
        self.count_exchange = count_exchange.CountExchange(
            self.directory,
            self.quotas,
            self.fleet,
        )
        self.datagrams = datagrams.DatagramEndpoint(
            settings.peers.port,
            self.count_exchange.handle_datagram,
            self.counters,
        )
        self.count_exchange.datagrams = self.datagrams

    def settled_members(self) -> abc.Collection[warmup_admission.Member]:
        """Return the known daemons; none before the member list was read."""
        if not self.membership.has_read_members:
            return ()
        return self.fleet.known_zones.items()

    def create_source_components(self) -> None:
        """Create the components that read from the platform."""
        self.synchronizer = state_synchronizer.StateSynchronizer(
            self.settings,
            self.platform,
            self.directory,
            self.count_exchange,
        )
        self.membership = membership.Membership(
            self.settings,
            self.platform,
            self.count_exchange,
        )

    def create_caller_components(self) -> None:
        """Create the components that serve callers and the balancer."""
        decision_log = decisions.DecisionLog(self.counters)
        body_bytes = self.settings.memory_bytes * body_memory.BODY_MEMORY_RATIO
        self.attempt_runner = attempt.AttemptRunner(
            self.platform.header_codec,
            body_memory.BodyMemoryBudget(body_bytes),
            target_notices.TargetNotices(
                self.count_exchange.leaving_exchange.announce, decision_log
            ),
        )
        retrying_sender = sender.RetryingSender(
            self.attempt_runner,
            self.try_acquire_retry,
            self.count_exchange.record_send_start,
            self.count_exchange.record_send_end,
            decision_log,
        )
        retrying_sender.record_delayed_retry = self.record_delayed_retry
        self.forwarder = forwarder.Forwarder(
            self.directory,
            self.platform.header_codec,
            self.quotas,
            retrying_sender,
            self.counters,
        )
        self.forwarder.memory = body_memory.BodyMemoryBudget(body_bytes)
        self.caller_listener = listener.Listener(
            self.settings.callers,
            self.forwarder,
        )
        self.readiness_listener = listener.Listener(
            self.settings.ready,
            page_handler.PageHandler(
                {self.platform.ready_path: self.readiness_page}
            ),
        )

    def create_metrics_components(self) -> None:
        """Create the components that serve the metrics."""
        self.exporter = exporter.Exporter(self.counters)
        self.exporter.add_gauge('state', self.read_gauges)
        metrics_handler = page_handler.PageHandler(
            {self.platform.metrics_path: lambda: (OK, self.exporter.render())},
        )
        self.metrics_listener = listener.Listener(
            self.settings.metrics, metrics_handler
        )

    def read_gauges(self) -> dict[str, float]:
        """Return the gauge values by label."""
        answer_memory = self.attempt_runner.answer_memory
        target_list = self.synchronizer.target_list
        freshness = self.synchronizer.reader_role.freshness
        return {
            'configuration_version': self.directory.version,
            'targets': len(self.directory.service_by_target),
            'targets_cold': self.directory.cold_count(),
            'requests_left_zone': self.directory.left_count(),
            'zones_emptied': len(self.directory.emptied_zones.names()),
            'changes_relayed': (self.synchronizer.change_relay.relayed_count),
            'removals_deferred': target_list.deferred_count,
            'members': self.fleet.size,
            'share_in_touch': self.fleet.in_touch_ratio(),
            'requests_served_now': self.forwarder.active_requests,
            'caller_connections': len(self.caller_listener.connections),
            'target_connections_opened': (
                self.attempt_runner.connection_pool.opened_count
            ),
            'request_bytes_held': self.forwarder.memory.reserved_bytes,
            'answer_bytes_held': answer_memory.reserved_bytes,
            'answers_dropped_for_memory': answer_memory.reclaimed_count,
            'source_calls': self.platform.source.calls,
            'source_returns': self.platform.source.era.return_count,
            'source_answers_outdated': self.platform.source.era.outdated_count,
            'entries_ignored': target_list.known_reports.ignored_count,
            'targets_kept': len(target_list.pending_removals),
            'targets_missing_seconds': freshness.missing_seconds(),
        }

    def readiness_page(self) -> tuple[int, bytes]:
        """Return status and text for the balancer's readiness check."""
        if self.is_ready and self.directory.is_complete:
            return OK, b'ready'
        return UNAVAILABLE, b'not ready'

    def try_acquire_retry(self, service: str) -> bool:
        """Take a retry from the budget of a service.

        Returns:
            Whether the retry is allowed.
        """
        in_touch_ratio = self.fleet.in_touch_ratio()
        is_allowed = self.directory.retry_budget(service).try_acquire(
            clock.monotonic(),
            self.fleet.size,
            has_recent_reports=in_touch_ratio > QUORUM_RATIO,
        )
        if is_allowed:
            self.count_exchange.record_retry(service)
        return is_allowed

    def record_delayed_retry(self, service: str) -> None:
        """Count a retry of a service that is sent long after it was taken."""
        self.directory.retry_budget(service).record_delayed(clock.monotonic())
        self.count_exchange.record_retry(service)

    def apply_configuration(
        self, new_configuration: configuration.Configuration
    ) -> None:
        """Apply a configuration that came into force."""
        self.quotas.configure(new_configuration.accounts)
        self.count_exchange.digest_receiver.register_names(
            client_account.name for client_account in new_configuration.accounts
        )
        self.count_exchange.quota_exchange.apply_received()
        self.count_exchange.digest_receiver.register_names(
            new_configuration.services
        )
        self.forwarder.limits = new_configuration.limits


QUORUM_RATIO: typing.Final = 0.5
"""More than this share of the fleet must be in contact; otherwise the retry
budget does not rely on the reports of the other daemons."""
