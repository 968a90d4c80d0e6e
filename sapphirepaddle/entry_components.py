"""Composition of the entry daemon from its components."""

import random
import time

from sapphirepaddle import clock
from sapphirepaddle.audit import audit_log
from sapphirepaddle.claims import claim_log, claimed_requests
from sapphirepaddle.fleet import (
    compactor,
    configuration_sync,
    observation_exchange,
    platform_contact,
    prober,
    status,
    watcher,
)
from sapphirepaddle.gateway import active_configuration, app, dispatch
from sapphirepaddle.limits import (
    owner,
    ownership,
    ownership_manager,
    quota_limiter,
)
from sapphirepaddle.objects import client_account
from sapphirepaddle.operators import confirmer, planner
from sapphirepaddle.peers import gossip, handshake, members, mesh, messages
from sapphirepaddle.routing import routing_table
from sapphirepaddle.settings import entry
from sapphirepaddle.store import remote
from sapphirepaddle.telemetry import counters


class EntryComponents:
    """Creates the components of one daemon and connects them.

    Attributes:
        settings: Settings of the daemon.
        counters: Counters for metrics.
        active_configuration: The active configuration of the daemon.
        store: Client of the platform's object store.
        members: Membership list of the fleet.
        mesh: Connections to peers.
        gossip: Spreads items to all daemons.
        platform_contact: Tracks the time since the platform last answered.
        configuration_sync: Exchanges configuration changes with peers.
        watcher: Polls the platform for changed objects and VMs.
        compactor: Writes configuration snapshots.
        dispatcher: Sends requests to targets.
        observation_exchange: Shares observations of targets with peers.
        prober: Probes targets.
        quota_owner: Grants tokens of the quota partitions of this daemon.
        ownership_manager: Assigns quota partitions to daemons.
        daemon_statuses: States and revisions of all daemons.
        claimed_request_runner: Runs requests with idempotency keys.
        quota_limiter: Enforces rate and burst of client accounts.
        audit_log: Audit log of operator changes and automatic decisions.
        planner: Creates plans for operators.
        confirmer: Carries out confirmed plans.
        gateway: Serves callers.
    """

    def __init__(self, settings: entry.EntrySettings) -> None:
        """Create and connect the components without starting them."""
        self.settings = settings
        self.counters = counters.Counters()
        self.active_configuration = active_configuration.ActiveConfiguration()
        self.store = remote.RemoteStore(
            settings.platform.url,
            settings.platform.call_seconds,
            settings.vm,
        )
        self.create_peer_components()
        self.create_target_components()
        self.create_limit_components()
        self.create_caller_components()
        self.create_operator_components()
        self.active_configuration.listeners.append(
            self.apply_configuration_change
        )

    def create_peer_components(self) -> None:
        """Create the components that contact peers and the platform."""
        settings = self.settings
        zone = settings.availability_zone
        self.members = members.Members(settings.vm, zone)
        identity = handshake.Identity(
            settings.vm,
            zone,
            time.time_ns(),
            settings.peer_secrets,
        )
        self.mesh = mesh.Mesh(
            identity,
            settings.peers,
            settings.membership,
            self.members,
        )
        self.gossip = gossip.Gossip(self.mesh, self.counters)
        self.platform_contact = platform_contact.PlatformContact(
            self.members,
            settings.membership.isolation_seconds,
            clock.monotonic(),
        )
        self.configuration_sync = configuration_sync.ConfigurationSync(
            self.active_configuration,
            self.mesh,
            self.counters,
        )
        self.watcher = watcher.Watcher(
            settings.membership,
            self.store,
            self.members,
            self.configuration_sync,
            self.gossip,
            self.platform_contact,
        )
        self.compactor = compactor.Compactor(
            settings.membership.snapshot_changes,
            self.active_configuration,
            self.store,
            self.members,
        )
        self.daemon_statuses = status.DaemonStatuses(self.gossip)
        self.mesh.build_heartbeat = self.create_heartbeat
        self.mesh.message_handlers[messages.Heartbeat] = self.handle_heartbeat
        self.gossip.store.handlers[status.WITHDRAWN_TOPIC] = (
            self.handle_key_withdrawal
        )

    def create_target_components(self) -> None:
        """Create the components that send requests and watch targets."""
        settings = self.settings
        table = routing_table.RoutingTable(
            settings.availability_zone,
            settings.routing,
            clock.monotonic,
            random.Random(),
        )
        self.dispatcher = dispatch.Dispatcher(
            settings.routing,
            table,
            self.counters,
            f'{settings.vm}-{self.mesh.identity.incarnation:x}',
        )
        self.observation_exchange = observation_exchange.ObservationExchange(
            settings.routing,
            self.dispatcher,
            self.members,
            self.gossip,
            self.counters,
        )
        self.prober = prober.Prober(
            settings.routing,
            self.dispatcher,
            self.observation_exchange,
            self.counters,
        )

    def create_limit_components(self) -> None:
        """Create the components that enforce quotas over the fleet."""
        settings = self.settings
        self.quota_owner = owner.QuotaOwner(
            settings.vm,
            settings.limits,
            self.find_account,
        )
        self.ownership_manager = ownership_manager.OwnershipManager(
            settings.limits,
            self.quota_owner,
            self.store,
            self.members,
            self.gossip,
            self.counters,
        )
        self.watcher.handlers[ownership.OBJECT_KEY] = (
            self.ownership_manager.handle_stored
        )

    def create_caller_components(self) -> None:
        """Create the components that serve callers."""
        settings = self.settings
        claims = claim_log.ClaimLog(
            settings.claims,
            self.store,
            self.members,
            self.mesh,
        )
        self.claimed_request_runner = claimed_requests.ClaimedRequestRunner(
            settings.claims,
            claims,
            self.dispatcher,
            self.counters,
        )
        self.quota_limiter = quota_limiter.QuotaLimiter(
            settings.limits,
            self.quota_owner,
            self.mesh,
            self.counters,
        )
        self.gateway = app.Gateway(
            settings.caller_limits,
            self.active_configuration,
            self.quota_limiter,
            self.dispatcher,
            self.counters,
        )
        self.gateway.run_claimed_request = self.claimed_request_runner.run
        self.gateway.is_isolated = self.is_isolated

    def create_operator_components(self) -> None:
        """Create the components that serve operators."""
        settings = self.settings
        self.audit_log = audit_log.AuditLog(
            settings.vm,
            self.mesh.identity.incarnation,
            self.store,
            self.counters,
            settings.audit.retention_days,
        )
        self.audit_log.may_prune = self.watcher.is_watcher
        self.planner = planner.Planner(
            self.configuration_sync, self.dispatcher.routing_table
        )
        self.confirmer = confirmer.Confirmer(
            self.configuration_sync,
            self.store,
            self.gossip,
            self.audit_log,
        )
        self.observation_exchange.audit = self.audit_log
        self.ownership_manager.audit = self.audit_log
        self.watcher.audit = self.audit_log

    def find_account(self, name: str) -> client_account.ClientAccount | None:
        """Return a client account by name; None if it does not exist."""
        return self.active_configuration.configuration.accounts.get(name)

    def apply_configuration_change(self, touched_kinds: frozenset[str]) -> None:
        """Apply a configuration change to routing and publish the revision."""
        if touched_kinds & ROUTING_KINDS:
            self.dispatcher.routing_table.configure(
                self.active_configuration.configuration
            )
        self.publish_status()

    def publish_status(self) -> None:
        """Publish state and revision of this daemon to the fleet."""
        self.daemon_statuses.publish(
            status.local_status(
                self.settings.vm,
                self.settings.availability_zone,
                'leaving' if self.gateway.leaving else 'serving',
                self.active_configuration.revision,
            ),
        )

    def create_heartbeat(self) -> messages.Heartbeat:
        """Return the current heartbeat of this daemon."""
        return messages.Heartbeat(
            self.active_configuration.revision,
            self.platform_contact.platform_age(clock.monotonic()),
            self.gateway.leaving,
        )

    def handle_heartbeat(
        self, heartbeat: messages.Heartbeat, sender: str
    ) -> None:
        """Record a peer's heartbeat; fetch changes if the peer is ahead."""
        now = clock.monotonic()
        self.platform_contact.record_heartbeat(sender, heartbeat.age, now)
        self.configuration_sync.fetch_if_behind(sender, heartbeat.revision)

    def handle_key_withdrawal(self, item: messages.GossipItem) -> None:
        """Reject a key as soon as its withdrawal arrives by gossip."""
        self.active_configuration.withdraw_key(item.key)

    def is_isolated(self) -> bool:
        """Return whether the platform and most peers are unreachable."""
        return self.platform_contact.is_partitioned(clock.monotonic())


ROUTING_KINDS = frozenset(('service', 'target', 'availability_zone'))
