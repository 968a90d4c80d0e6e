"""The parts of an edge daemon and how they are put together."""

import time
import typing

from sapphirepaddle import clock
from sapphirepaddle.directory import (
    configuration,
    directory,
    member,
    platform_port,
)
from sapphirepaddle.edge import knowledge, listener, membership, page_handler
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.peers import datagrams, fleet, count_exchange
from sapphirepaddle.proxy import attempt, body_memory, forwarder, sender
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import counters, decisions, exporter

MILLISECONDS: typing.Final = 1000
OK: typing.Final = 200
UNAVAILABLE: typing.Final = 503


class Parts:
    """All parts of one daemon, connected with each other.

    Attributes:
        settings: Settings of the daemon.
        port: The platform.
        counters: Totals for metrics.
        directory: Configuration and targets.
        fleet: The other daemons.
        quotas: Quota of the client accounts.
        pooling: Exchange of counts with the other daemons.
        datagrams: Socket of the exchange.
        knowledge: Reading of configuration and targets.
        membership: Announcing this daemon and finding the others.
        attempts: Connections to targets.
        forwarder: Serving of callers.
        callers: Listener for callers.
        balancer: Listener for the balancer's question.
        exporter: Renders the totals.
        metrics: Listener for scrapes.
        is_ready: Whether the balancer may send callers.
    """

    def __init__(
        self,
        settings: edge.Edge,
        port: platform_port.PlatformPort,
    ) -> None:
        """Create and connect the parts; nothing runs yet."""
        self.settings = settings
        self.port = port
        self.is_ready = False
        self.counters = counters.Counters()
        self.directory = directory.Directory(settings.zone, settings.bounds)
        self.connect_peers()
        self.connect_source()
        self.connect_callers()
        self.connect_metrics()
        self.directory.listeners.append(self.configure)

    def connect_peers(self) -> None:
        """Create what talks with other daemons."""
        settings = self.settings
        own = member.Member(
            name=settings.vm,
            zone=settings.zone,
            host=settings.peers.host,
            incarnation=int(time.time() * MILLISECONDS),
        )
        self.fleet = fleet.Fleet(own)
        self.quotas = account_quotas.AccountQuotas(
            settings.bounds,
            self.fleet.elapsed_fleet_time,
            self.fleet.in_touch_ratio,
            lambda name: self.pooling.record_admission(name),
        )
        self.pooling = count_exchange.CountExchange(
            self.directory,
            self.quotas,
            self.fleet,
        )
        self.datagrams = datagrams.DatagramEndpoint(
            settings.peers.port,
            self.pooling.handle_datagram,
            self.counters,
        )
        self.pooling.datagrams = self.datagrams

    def connect_source(self) -> None:
        """Create what reads the platform."""
        self.knowledge = knowledge.Knowledge(
            self.settings,
            self.port,
            self.directory,
            self.pooling,
        )
        self.membership = membership.Membership(
            self.settings,
            self.port,
            self.pooling,
        )

    def connect_callers(self) -> None:
        """Create what serves callers and the balancer."""
        log = decisions.DecisionLog(self.counters)
        self.attempts = attempt.AttemptRunner(self.port.dialect)
        sending = sender.RetryingSender(
            self.attempts,
            self.allow_repeat,
            self.pooling.record_send_start,
            self.pooling.record_send_end,
            log,
        )
        self.forwarder = forwarder.Forwarder(
            self.directory,
            self.port.dialect,
            self.quotas,
            sending,
            self.counters,
        )
        self.forwarder.memory = body_memory.BodyMemoryBudget(
            self.settings.memory_bytes * body_memory.BODY_MEMORY_RATIO,
        )
        self.callers = listener.Listener(
            self.settings.callers,
            self.forwarder,
        )
        self.balancer = listener.Listener(
            self.settings.ready,
            page_handler.PageHandler({self.port.ready_path: self.ready_page}),
        )

    def connect_metrics(self) -> None:
        """Create what serves counters, gauges and histograms."""
        self.exporter = exporter.Exporter(self.counters)
        self.exporter.gauge('state', self.gauges)
        page = page_handler.PageHandler(
            {self.port.metrics_path: lambda: (OK, self.exporter.render())},
        )
        self.metrics = listener.Listener(self.settings.metrics, page)

    def gauges(self) -> dict[str, float]:
        """Return numbers that rise and fall, by label."""
        return {
            'configuration_version': self.directory.version,
            'targets': len(self.directory.services),
            'members': self.fleet.size,
            'share_in_touch': self.fleet.in_touch_ratio(),
            'requests_served_now': self.forwarder.active_requests,
            'caller_connections': len(self.callers.connections),
            'target_connections_opened': self.attempts.connection_pool.opened,
            'source_calls': self.port.source.calls,
        }

    def ready_page(self) -> tuple[int, bytes]:
        """Tell the balancer whether it may send callers."""
        if self.is_ready and self.directory.is_complete:
            return OK, b'ready'
        return UNAVAILABLE, b'not ready'

    def allow_repeat(self, service: str) -> bool:
        """Take a repeat from the budget of a service."""
        share = self.fleet.in_touch_ratio()
        is_allowed = self.directory.budget(service).try_acquire(
            clock.monotonic(),
            self.fleet.size,
            has_recent_reports=share > HALF,
        )
        if is_allowed:
            self.pooling.record_retry(service)
        return is_allowed

    def configure(self, newer: configuration.Configuration) -> None:
        """Take up a configuration that came into force."""
        self.quotas.configure(newer.accounts)
        self.pooling.digest_receiver.register_names(
            held.name for held in newer.accounts
        )
        self.pooling.digest_receiver.register_names(newer.services)
        self.forwarder.limits = newer.limits


HALF: typing.Final = 0.5
