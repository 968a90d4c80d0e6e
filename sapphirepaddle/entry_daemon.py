"""Lifecycle of the entry daemon, from start to graceful shutdown."""

import asyncio
import contextlib
import socket
import typing
from collections import abc

import transitions

from sapphirepaddle import clock, entry_components
from sapphirepaddle.gateway import caller_connection, http_server
from sapphirepaddle.operators import api, confirmer
from sapphirepaddle.peers import members, messages
from sapphirepaddle.settings import base, entry
from sapphirepaddle.telemetry import exporter as exporters
from sapphirepaddle.telemetry import logs

DISCONNECT_POLL_SECONDS: typing.Final = 0.05
FLEET_SIZE_INTERVAL_SECONDS: typing.Final = 1

STARTING: typing.Final = 'starting'
SERVING: typing.Final = 'serving'
LEAVING: typing.Final = 'leaving'
DRAINING: typing.Final = 'draining'
STOPPED: typing.Final = 'stopped'


class EntryDaemon:
    """Starts, runs and stops an entry daemon.

    Attributes:
        settings: Settings of the daemon.
        components: Components of the daemon.
        state: State in the lifecycle.
        state_machine: States and transitions of the lifecycle.
        tasks: Background tasks that run until the daemon stops.
        logger: Logs state changes and failed tasks.
        stop_event: Set when the daemon is to stop.
    """

    def __init__(self, settings: entry.EntrySettings) -> None:
        """Create the components without starting them."""
        self.settings = settings
        self.components = entry_components.EntryComponents(settings)
        self.state = STARTING
        self.state_machine = transitions.Machine(
            self,
            states=[STARTING, SERVING, LEAVING, DRAINING, STOPPED],
            initial=STARTING,
            auto_transitions=False,
            transitions=[
                ['serve', STARTING, SERVING],
                ['leave', [STARTING, SERVING], LEAVING],
                ['drain', LEAVING, DRAINING],
                ['finish', DRAINING, STOPPED],
            ],
            after_state_change='note_state',
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.logger = logs.get_logger('daemon')
        self.stop_event = asyncio.Event()
        handlers = self.components.gossip.store.handlers
        handlers[confirmer.LEAVE_TOPIC] = self.handle_leave_request

    def note_state(self) -> None:
        """Log the new state and add it to the audit log."""
        self.logger.info('state', state=self.state)
        self.components.audit_log.add(f'daemon-{self.state}', self.settings.vm)

    def handle_leave_request(self, item: messages.GossipItem) -> None:
        """Stop if an operator asked this VM to leave.

        A request from before the start of this process is ignored.
        """
        requested_at = item.version / confirmer.MILLISECONDS_PER_SECOND
        started_at = (
            self.components.mesh.identity.incarnation / NANOSECONDS_PER_SECOND
        )
        if item.key == self.settings.vm and requested_at > started_at:
            self.stop_event.set()

    async def run(self, stop_event: asyncio.Event) -> None:
        """Serve until the event is set, then shut down gracefully.

        Args:
            stop_event: Set to stop the daemon.

        Raises:
            SettingsError: If an address cannot be bound.
        """
        self.stop_event = stop_event
        sockets = open_sockets(self.settings)
        peer_server = await asyncio.start_server(
            self.components.mesh.accept,
            sock=sockets[1],
        )
        operators_server = self.create_operators_server()
        operators_task = asyncio.create_task(
            http_server.run(operators_server, sockets[2]),
        )
        await self.start()
        callers_server = http_server.create(
            self.components.gateway,
            caller_connection.create_protocol_class(
                self.settings.caller_limits
            ),
            self.settings.caller_limits.keep_alive_seconds,
        )
        callers_task = asyncio.create_task(
            http_server.run(callers_server, sockets[0])
        )
        self.trigger('serve')
        await stop_event.wait()
        await self.stop_callers(callers_server, callers_task)
        await self.stop_peers(peer_server)
        operators_server.force_exit = True
        await http_server.stop(operators_server, operators_task)
        self.trigger('finish')

    def trigger(self, name: str) -> None:
        """Trigger a transition of the state machine."""
        self.state_machine.events[name].trigger(self)

    def create_operators_server(self) -> http_server.HttpServer:
        """Create the server for operators, health checks and metrics."""
        exporter = exporters.Exporter(self.components.counters)
        exporter.add_gauge('state', self.read_gauges)
        application = api.create(self.components, exporter, self.is_ready)
        return http_server.create(application)

    def read_gauges(self) -> dict[str, float]:
        """Return the values of the gauges by label."""
        components = self.components
        return {
            'revision': components.active_configuration.revision,
            'peers': len(components.mesh.connections),
            'peer_bytes_sent': components.mesh.bytes_sent(),
            'platform_age_seconds': components.platform_contact.platform_age(
                clock.monotonic()
            ),
            'platform_calls': components.store.calls,
            'requests_served_now': components.gateway.active_requests,
        }

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        has_configuration = self.components.active_configuration.revision > 0
        return self.state == SERVING and has_configuration

    async def start(self) -> None:
        """Read the platform, join the fleet and start background tasks."""
        components = self.components
        await components.watcher.start()
        self.publish_membership('live')
        components.publish_status()
        background_coroutines: tuple[
            abc.Coroutine[typing.Any, typing.Any, None], ...
        ] = (
            components.mesh.maintain_connections(),
            components.watcher.poll_vm_list(),
            components.watcher.poll_objects(),
            components.ownership_manager.run(),
            components.observation_exchange.run(),
            components.prober.run(),
            components.audit_log.run(),
            components.compactor.run(),
            self.connect_seeds(),
            self.refresh_fleet_size(),
        )
        self.tasks = [
            asyncio.create_task(coroutine)
            for coroutine in background_coroutines
        ]
        for task in self.tasks:
            task.add_done_callback(self.log_task_failure)

    def log_task_failure(self, task: asyncio.Task[None]) -> None:
        """Log a background task that ended with an error."""
        if not task.cancelled() and task.exception() is not None:
            self.logger.error('task failed', exc_info=task.exception())

    def publish_membership(
        self, state: typing.Literal['live', 'leaving']
    ) -> None:
        """Publish to the fleet that this VM is live or leaving."""
        version = int(clock.wall() * MICROSECONDS_PER_SECOND)
        member_entry = members.local_entry(
            self.settings.peers_advertised or self.settings.peers,
            self.settings.availability_zone,
            state,
        )
        item = members.to_item(self.settings.vm, member_entry, version)
        self.components.gossip.handle_item(item, self.settings.vm)

    async def connect_seeds(self) -> None:
        """Connect to the seeds until another VM is known."""
        while len(self.components.members.all_names()) == 1:
            await asyncio.gather(
                *(
                    self.components.mesh.connect('', seed.host, seed.port)
                    for seed in self.settings.seeds
                ),
            )
            await asyncio.sleep(self.settings.membership.retry_seconds)

    async def refresh_fleet_size(self) -> None:
        """Update the number and statuses of daemons periodically."""
        while True:
            names = self.components.members.all_names()
            self.components.dispatcher.daemon_count = len(names)
            self.components.daemon_statuses.remove_unknown(names)
            await asyncio.sleep(FLEET_SIZE_INTERVAL_SECONDS)

    async def stop_callers(
        self,
        server: http_server.HttpServer,
        server_task: asyncio.Task[None],
    ) -> None:
        """Stop serving callers without interrupting a request.

        The daemon keeps accepting connections while the load balancer may
        still send new ones, as its list of daemons lags. Then it stops
        accepting. Idle connections are left to their callers to close,
        since a request may already be in transit on them; after the drain
        timeout they are closed.
        """
        self.trigger('leave')
        self.components.gateway.leaving = True
        self.components.ownership_manager.leaving = True
        self.publish_membership('leaving')
        self.components.publish_status()
        await asyncio.sleep(self.settings.stop.announce_seconds)
        self.trigger('drain')
        for listening_server in server.servers:
            listening_server.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.stop.drain_seconds):
                await self.wait_until_disconnected(server)
        await http_server.stop(server, server_task)

    async def wait_until_disconnected(
        self, server: http_server.HttpServer
    ) -> None:
        """Wait until all callers have disconnected."""
        while server.server_state.connections:
            await asyncio.sleep(DISCONNECT_POLL_SECONDS)

    async def stop_peers(self, peer_server: asyncio.Server) -> None:
        """Hand over quota ownership, then stop tasks and close connections.

        Claimed requests in progress are finished and the audit log is
        written before.
        """
        await asyncio.gather(
            *self.components.claimed_request_runner.tasks,
            return_exceptions=True,
        )
        await self.components.ownership_manager.rebalance()
        await self.components.audit_log.flush()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        peer_server.close()
        await self.components.mesh.close()
        await self.components.dispatcher.close()
        await self.components.store.close()


MICROSECONDS_PER_SECOND: typing.Final = 1000000
NANOSECONDS_PER_SECOND: typing.Final = 1000000000


def open_sockets(settings: entry.EntrySettings) -> list[socket.socket]:
    """Open the sockets for callers, peers and operators.

    Raises:
        SettingsError: If an address cannot be bound.
    """
    addresses: tuple[base.Listener, ...] = (
        settings.callers,
        settings.peers,
        settings.operators,
    )
    return [http_server.listen(address) for address in addresses]
