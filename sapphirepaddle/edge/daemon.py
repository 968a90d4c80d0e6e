"""Lifecycle of the edge daemon, from start to graceful stop."""

import asyncio
import typing
from collections import abc

import transitions

from sapphirepaddle.directory import platform_interface
from sapphirepaddle.edge import components
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

STARTING: typing.Final = 'starting'
SERVING: typing.Final = 'serving'
LEAVING: typing.Final = 'leaving'
STOPPED: typing.Final = 'stopped'

STOP_ACCEPTING_DELAY_SECONDS: typing.Final = 3.0
"""Time for which a stopping daemon still accepts connections, until the
balancer has noticed: it checks every second and acts on the second failed
check. Callers that are connected already still send requests."""
CLOSE_RESERVE_SECONDS: typing.Final = 0.35
"""Time reserved for closing before the process is killed."""
DRAIN_POLL_SECONDS: typing.Final = 0.05


class EdgeDaemon:
    """One edge daemon.

    Attributes:
        settings: Settings of the daemon.
        components: Components of the daemon.
        state: Current lifecycle state.
        machine: State machine with the allowed transitions.
        logger: Log of the lifecycle.
    """

    def __init__(
        self,
        settings: edge.EdgeSettings,
        platform: platform_interface.PlatformInterface,
    ) -> None:
        """Create the components without starting them."""
        self.settings = settings
        self.components = components.EdgeComponents(settings, platform)
        self.state = STARTING
        self.machine = transitions.Machine(
            self,
            states=[STARTING, SERVING, LEAVING, STOPPED],
            initial=STARTING,
            auto_transitions=False,
            transitions=[
                ['serve', STARTING, SERVING],
                ['leave', [STARTING, SERVING], LEAVING],
                ['finish', LEAVING, STOPPED],
            ],
            after_state_change='note_state',
        )
        self.logger = logs.get_logger('daemon')

    def note_state(self) -> None:
        """Log the new state and update readiness.

        Called after every transition; the daemon is ready only while it serves.
        """
        self.components.is_ready = self.state == SERVING
        self.logger.info('state', state=self.state)

    def trigger(self, name: str) -> None:
        """Run the transition with the given name."""
        self.machine.events[name].trigger(self)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then stop gracefully.

        Raises:
            SettingsError: If an address cannot be listened on.
        """
        self.logger.info('start', zone=self.settings.zone)
        await self.open_sockets()
        tasks = [
            self.start_task(coroutine)
            for coroutine in self.background_coroutines()
        ]
        self.trigger('serve')
        await stop.wait()
        await self.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.close_sockets()
        self.trigger('finish')

    def start_task(
        self,
        coroutine: abc.Coroutine[typing.Any, typing.Any, None],
    ) -> asyncio.Task[None]:
        """Start a background task whose failure is logged."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self.log_task_failure)
        return task

    async def open_sockets(self) -> None:
        """Open all listening sockets.

        Raises:
            SettingsError: If an address is in use.
        """
        daemon_components = self.components
        for listener in (
            daemon_components.metrics_listener,
            daemon_components.readiness_listener,
            daemon_components.caller_listener,
        ):
            await listener.open()
        await daemon_components.synchronizer.snapshot_exchange.open()
        await daemon_components.datagrams.open(self.settings.peers)

    async def close_sockets(self) -> None:
        """Close the sockets and end all connections."""
        daemon_components = self.components
        daemon_components.synchronizer.snapshot_exchange.close()
        daemon_components.datagrams.close()
        daemon_components.attempt_runner.connection_pool.close()
        for listener in (
            daemon_components.caller_listener,
            daemon_components.readiness_listener,
            daemon_components.metrics_listener,
        ):
            await listener.shut_down()

    def background_coroutines(
        self,
    ) -> tuple[abc.Coroutine[typing.Any, typing.Any, None], ...]:
        """Return the coroutines that run until the daemon stops."""
        daemon_components = self.components
        return (
            *daemon_components.synchronizer.background_coroutines(),
            daemon_components.membership.run(),
            daemon_components.count_exchange.run(),
        )

    def log_task_failure(self, task: asyncio.Task[None]) -> None:
        """Log a background task that ended with an error."""
        if not task.cancelled() and task.exception() is not None:
            self.logger.error('task failed', exc_info=task.exception())

    async def stop(self) -> None:
        """Deregister, stop accepting and wait until the connections end."""
        loop = asyncio.get_running_loop()
        deadline = (
            loop.time() + self.settings.bounds.stop - CLOSE_RESERVE_SECONDS
        )
        daemon_components = self.components
        self.trigger('leave')
        daemon_components.forwarder.sender.stop_deadline.begin(deadline)
        daemon_components.forwarder.is_leaving = True
        daemon_components.count_exchange.is_leaving = True
        deregistration = asyncio.create_task(
            daemon_components.membership.deregister()
        )
        await asyncio.sleep(
            min(STOP_ACCEPTING_DELAY_SECONDS, deadline - loop.time())
        )
        daemon_components.caller_listener.stop_accepting()
        daemon_components.forwarder.is_refusing = True
        daemon_components.caller_listener.close_idle()
        while (
            loop.time() < deadline
            and daemon_components.caller_listener.connections
        ):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await asyncio.wait(
            (
                deregistration,
                *daemon_components.caller_listener.connections.values(),
            ),
            timeout=CLOSE_RESERVE_SECONDS / 2,
        )
        deregistration.cancel()
        self.logger.info(
            'stop', unanswered=daemon_components.forwarder.active_requests
        )
