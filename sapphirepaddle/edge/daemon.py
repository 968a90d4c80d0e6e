"""The edge daemon's life from start to planned stop."""

import asyncio
import contextlib
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

DEREGISTRATION_DELAY_SECONDS: typing.Final = 3.0
"""Time in which the balancer notices that the daemon leaves: it asks every
second and takes two misses, and callers of before still send."""
CLOSE_RESERVE_SECONDS: typing.Final = 0.35
"""Time kept for closing before the process is killed."""
DRAIN_POLL_SECONDS: typing.Final = 0.05


class EdgeDaemon:
    """One edge daemon.

    Attributes:
        settings: Its settings.
        parts: Its parts.
        state: Where it is in its life.
        machine: The states and their order.
        logger: Log of the life.
    """

    def __init__(
        self,
        settings: edge.EdgeSettings,
        port: platform_interface.PlatformInterface,
    ) -> None:
        """Create the parts; nothing runs yet."""
        self.settings = settings
        self.components = components.EdgeComponents(settings, port)
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
        """Log a change of state; callers are taken while serving."""
        self.components.is_ready = self.state == SERVING
        self.logger.info('state', state=self.state)

    def trigger(self, name: str) -> None:
        """Move to the next state."""
        self.machine.events[name].trigger(self)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until told to stop, then stop without cutting off anything.

        Raises:
            SettingsError: If an address cannot be listened on.
        """
        self.logger.info('start', zone=self.settings.zone)
        await self.open_sockets()
        tasks = [self.start_task(work) for work in self.background_coroutines()]
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
        work: abc.Coroutine[typing.Any, typing.Any, None],
    ) -> asyncio.Task[None]:
        """Start what runs until the stop."""
        task = asyncio.create_task(work)
        task.add_done_callback(self.log_task_failure)
        return task

    async def open_sockets(self) -> None:
        """Open the sockets.

        Raises:
            SettingsError: If an address is taken.
        """
        held = self.components
        for listening in (
            held.metrics_listener,
            held.readiness_listener,
            held.caller_listener,
        ):
            await listening.open()
        await held.synchronizer.snapshot_exchange.open()
        await held.datagrams.open(self.settings.peers)

    async def close_sockets(self) -> None:
        """Close the sockets and end all connections."""
        held = self.components
        held.synchronizer.snapshot_exchange.close()
        held.datagrams.close()
        held.attempts.connection_pool.close()
        for listening in (
            held.caller_listener,
            held.readiness_listener,
            held.metrics_listener,
        ):
            await listening.shut_down()

    def background_coroutines(
        self,
    ) -> tuple[abc.Coroutine[typing.Any, typing.Any, None], ...]:
        """Return what runs until the stop."""
        held = self.components
        return (
            held.synchronizer.configuration_watcher.run(),
            held.synchronizer.target_watcher.run(),
            held.synchronizer.catch_up(),
            held.membership.run(),
            held.count_exchange.run(),
        )

    def log_task_failure(self, task: asyncio.Task[None]) -> None:
        """Log a standing task that ended with an error."""
        if not task.cancelled() and task.exception() is not None:
            self.logger.error('task failed', exc_info=task.exception())

    async def stop(self) -> None:
        """Leave the balancer, finish what runs, close what is idle."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.settings.bounds.stop - CLOSE_RESERVE_SECONDS
        held = self.components
        self.trigger('leave')
        held.forwarder.is_leaving = True
        held.count_exchange.is_leaving = True
        leaving = asyncio.create_task(held.membership.deregister())
        await asyncio.sleep(
            min(DEREGISTRATION_DELAY_SECONDS, end - loop.time())
        )
        held.caller_listener.stop_accepting()
        held.forwarder.is_refusing = True
        held.caller_listener.close_idle()
        while loop.time() < end and held.caller_listener.connections:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_RESERVE_SECONDS / 2):
                await leaving
        self.logger.info('stop', unanswered=held.forwarder.active_requests)
