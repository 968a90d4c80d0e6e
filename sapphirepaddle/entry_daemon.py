"""The entry daemon's life from start to planned stop."""

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

POLL_SECONDS: typing.Final = 0.05
FLEET_SIZE_INTERVAL_SECONDS: typing.Final = 1

STARTING: typing.Final = 'starting'
SERVING: typing.Final = 'serving'
LEAVING: typing.Final = 'leaving'
DRAINING: typing.Final = 'draining'
STOPPED: typing.Final = 'stopped'


class EntryDaemon:
    """One entry daemon.

    Attributes:
        settings: Its settings.
        parts: Its parts.
        state: Where it is in its life.
        machine: The states and their order.
        tasks: Tasks that run until the stop.
        logger: Log of the life.
        stop: Tells the daemon to stop.
    """

    def __init__(self, settings: entry.EntrySettings) -> None:
        """Create the parts; nothing runs yet."""
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
        """Log a change of state and add it to the audit trail."""
        self.logger.info('state', state=self.state)
        self.components.audit_log.add(f'daemon-{self.state}', self.settings.vm)

    def handle_leave_request(self, item: messages.GossipItem) -> None:
        """Leave if an operator asked this VM to, after its start."""
        asked_at = item.version / confirmer.MILLISECONDS_PER_SECOND
        started_at = (
            self.components.mesh.identity.incarnation / NANOSECONDS_PER_SECOND
        )
        if item.key == self.settings.vm and asked_at > started_at:
            self.stop_event.set()

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until told to stop, then stop without cutting off anything.

        Raises:
            SettingsError: If an address cannot be listened on.
        """
        self.stop_event = stop
        sockets = open_sockets(self.settings)
        peers = await asyncio.start_server(
            self.components.mesh.accept,
            sock=sockets[1],
        )
        operators = self.operators_server()
        operating = asyncio.create_task(
            http_server.run(operators, sockets[2]),
        )
        await self.start()
        callers = http_server.create(
            self.components.gateway,
            caller_connection.create_protocol_class(
                self.settings.caller_limits
            ),
            self.settings.caller_limits.keep_alive_seconds,
        )
        serving = asyncio.create_task(http_server.run(callers, sockets[0]))
        self.trigger('serve')
        await stop.wait()
        await self.stop_callers(callers, serving)
        await self.stop_peers(peers)
        operators.force_exit = True
        await http_server.stop(operators, operating)
        self.trigger('finish')

    def trigger(self, name: str) -> None:
        """Move to the next state."""
        self.state_machine.events[name].trigger(self)

    def operators_server(self) -> http_server.HttpServer:
        """Return the server of operators, health checks and metrics."""
        exporter = exporters.Exporter(self.components.counters)
        exporter.add_gauge('state', self.gauges)
        application = api.create(self.components, exporter, self.is_ready)
        return http_server.create(application)

    def gauges(self) -> dict[str, float]:
        """Return numbers that rise and fall, by label."""
        held = self.components
        return {
            'revision': held.active_configuration.revision,
            'peers': len(held.mesh.connections),
            'peer_bytes_sent': held.mesh.bytes_sent(),
            'platform_age_seconds': held.freshness.platform_age(
                clock.monotonic()
            ),
            'platform_calls': held.store.calls,
            'requests_served_now': held.gateway.active_requests,
        }

    def is_ready(self) -> bool:
        """Tell the balancer whether to send callers here."""
        configured = self.components.active_configuration.revision > 0
        return self.state == SERVING and configured

    async def start(self) -> None:
        """Read the platform, meet the peers, start the standing tasks."""
        held = self.components
        await held.watcher.start()
        self.publish_membership('live')
        held.publish_status()
        standing: tuple[abc.Coroutine[typing.Any, typing.Any, None], ...] = (
            held.mesh.maintain_connections(),
            held.watcher.poll_vm_list(),
            held.watcher.poll_objects(),
            held.ownership_manager.run(),
            held.evidence.run(),
            held.prober.run(),
            held.audit_log.run(),
            held.compactor.run(),
            self.connect_seeds(),
            self.refresh_fleet_size(),
        )
        self.tasks = [asyncio.create_task(work) for work in standing]
        for task in self.tasks:
            task.add_done_callback(self.log_task_failure)

    def log_task_failure(self, task: asyncio.Task[None]) -> None:
        """Log a standing task that ended with an error."""
        if not task.cancelled() and task.exception() is not None:
            self.logger.error('task failed', exc_info=task.exception())

    def publish_membership(
        self, state: typing.Literal['live', 'leaving']
    ) -> None:
        """Tell the fleet that this VM lives or leaves."""
        version = int(clock.wall() * MICROSECONDS_PER_SECOND)
        own = members.local_entry(
            self.settings.peers_advertised or self.settings.peers,
            self.settings.availability_zone,
            state,
        )
        item = members.to_item(self.settings.vm, own, version)
        self.components.gossip.handle_item(item, self.settings.vm)

    async def connect_seeds(self) -> None:
        """Connect to the seeds while no other VM is known."""
        while len(self.components.members.all_names()) == 1:
            await asyncio.gather(
                *(
                    self.components.mesh.connect('', seed.host, seed.port)
                    for seed in self.settings.seeds
                ),
            )
            await asyncio.sleep(self.settings.membership.retry_seconds)

    async def refresh_fleet_size(self) -> None:
        """Keep up what depends on the size of the fleet."""
        while True:
            names = self.components.members.all_names()
            self.components.dispatcher.daemon_count = len(names)
            self.components.daemon_statuses.remove_unknown(names)
            await asyncio.sleep(FLEET_SIZE_INTERVAL_SECONDS)

    async def stop_callers(
        self,
        server: http_server.HttpServer,
        serving: asyncio.Task[None],
    ) -> None:
        """Stop serving callers without cutting off a request.

        The daemon goes on accepting while the balancer's list lags. Then
        it stops accepting, but an idle connection is left to its caller to
        close: a request may be on its way on it.
        """
        self.trigger('leave')
        self.components.gateway.leaving = True
        self.components.ownership_manager.leaving = True
        self.publish_membership('leaving')
        self.components.publish_status()
        await asyncio.sleep(self.settings.stop.announce_seconds)
        self.trigger('drain')
        for listening in server.servers:
            listening.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.stop.drain_seconds):
                await self.wait_until_idle(server)
        await http_server.stop(server, serving)

    async def wait_until_idle(self, server: http_server.HttpServer) -> None:
        """Wait until no caller is connected."""
        while server.server_state.connections:
            await asyncio.sleep(POLL_SECONDS)

    async def stop_peers(self, peers: asyncio.Server) -> None:
        """Hand over roles, then end peer connections and tasks."""
        await asyncio.gather(
            *self.components.claimed_request_runner.tasks,
            return_exceptions=True,
        )
        await self.components.ownership_manager.rebalance()
        await self.components.audit_log.flush()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        peers.close()
        await self.components.mesh.close()
        await self.components.dispatcher.close()
        await self.components.store.close()


MICROSECONDS_PER_SECOND: typing.Final = 1000000
NANOSECONDS_PER_SECOND: typing.Final = 1000000000


def open_sockets(settings: entry.EntrySettings) -> list[socket.socket]:
    """Open the sockets for callers, peers and operators.

    Raises:
        SettingsError: If an address is taken.
    """
    places: tuple[base.Listener, ...] = (
        settings.callers,
        settings.peers,
        settings.operators,
    )
    return [http_server.listen(place) for place in places]
