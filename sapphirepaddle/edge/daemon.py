"""The edge daemon's life from start to planned stop."""

import asyncio
import contextlib
import typing
from collections import abc

import transitions

from sapphirepaddle.directory import platform_port
from sapphirepaddle.edge import parts
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

STARTING: typing.Final = 'starting'
SERVING: typing.Final = 'serving'
LEAVING: typing.Final = 'leaving'
STOPPED: typing.Final = 'stopped'

ANNOUNCE_SECONDS: typing.Final = 3.0
"""Time in which the balancer notices that the daemon leaves: it asks every
second and takes two misses, and callers of before still send."""
END_SECONDS: typing.Final = 0.35
"""Time kept for closing before the process is killed."""
POLL_SECONDS: typing.Final = 0.05


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
        settings: edge.Edge,
        port: platform_port.PlatformPort,
    ) -> None:
        """Create the parts; nothing runs yet."""
        self.settings = settings
        self.parts = parts.Parts(settings, port)
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
        self.logger = logs.get('daemon')

    def note_state(self) -> None:
        """Log a change of state; callers are taken while serving."""
        self.parts.is_ready = self.state == SERVING
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
        await self.open()
        tasks = [self.start(work) for work in self.standing()]
        self.trigger('serve')
        await stop.wait()
        await self.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.close()
        self.trigger('finish')

    def start(
        self,
        work: abc.Coroutine[typing.Any, typing.Any, None],
    ) -> asyncio.Task[None]:
        """Start what runs until the stop."""
        task = asyncio.create_task(work)
        task.add_done_callback(self.note_failure)
        return task

    async def open(self) -> None:
        """Open the sockets.

        Raises:
            SettingsError: If an address is taken.
        """
        held = self.parts
        for listening in (held.metrics, held.balancer, held.callers):
            await listening.open()
        await held.knowledge.snapshots.open()
        await held.datagrams.open(self.settings.peers)

    async def close(self) -> None:
        """Close the sockets and end all connections."""
        held = self.parts
        held.knowledge.snapshots.close()
        held.datagrams.close()
        held.attempts.connection_pool.close()
        for listening in (held.callers, held.balancer, held.metrics):
            await listening.end()

    def standing(
        self,
    ) -> tuple[abc.Coroutine[typing.Any, typing.Any, None], ...]:
        """Return what runs until the stop."""
        held = self.parts
        return (
            held.knowledge.configurations.run(),
            held.knowledge.targets.run(),
            held.knowledge.catch_up(),
            held.membership.run(),
            held.pooling.run(),
        )

    def note_failure(self, task: asyncio.Task[None]) -> None:
        """Log a standing task that ended with an error."""
        if not task.cancelled() and task.exception() is not None:
            self.logger.error('task failed', exc_info=task.exception())

    async def stop(self) -> None:
        """Leave the balancer, finish what runs, close what is idle."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.settings.bounds.stop - END_SECONDS
        held = self.parts
        self.trigger('leave')
        held.forwarder.is_leaving = True
        held.pooling.is_leaving = True
        leaving = asyncio.create_task(held.membership.leave())
        await asyncio.sleep(min(ANNOUNCE_SECONDS, end - loop.time()))
        held.callers.close()
        held.forwarder.is_refusing = True
        held.callers.close_idle()
        while loop.time() < end and held.callers.connections:
            await asyncio.sleep(POLL_SECONDS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_SECONDS / 2):
                await leaving
        self.logger.info('stop', unanswered=held.forwarder.active_requests)
