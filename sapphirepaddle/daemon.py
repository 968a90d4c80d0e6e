"""The entry daemon: all its parts and its life from start to stop."""

import asyncio
import random
import typing

import transitions

from sapphirepaddle import clock, errors
from sapphirepaddle.gateway import (
    app,
    caller_connection,
    dispatch,
    http_server,
    in_force,
    limiter,
)
from sapphirepaddle.objects import change
from sapphirepaddle.platform import change_log, remote
from sapphirepaddle.routing import table
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters, logs

STATES: typing.Final = ('starting', 'serving', 'leaving', 'draining', 'stopped')


class Daemon:
    """One entry daemon.

    Attributes:
        settings: Its settings.
        state: Where it is in its life.
    """

    def __init__(self, settings: entry.Entry) -> None:
        """Create the parts; nothing runs yet."""
        self.settings = settings
        self.state = 'starting'
        self.machine = transitions.Machine(
            self,
            states=list(STATES),
            initial='starting',
            auto_transitions=False,
            transitions=[
                ['serve', 'starting', 'serving'],
                ['leave', ['starting', 'serving'], 'leaving'],
                ['drain', 'leaving', 'draining'],
                ['finish', '*', 'stopped'],
            ],
        )
        self.counters = counters.Counters()
        self.current = in_force.InForce()
        self.table = table.RoutingTable(
            settings.availability_zone,
            settings.routing,
            clock.monotonic,
            random.Random(),
        )
        self.dispatcher = dispatch.Dispatcher(
            settings.routing,
            self.table,
            self.counters,
            settings.vm,
        )
        self.gateway = app.Gateway(
            settings.caller_limits,
            self.current,
            limiter.NoLimiter(),
            self.dispatcher,
            self.counters,
        )
        self.current.listeners.append(self.reconfigure)
        self.store = remote.RemoteStore(
            settings.platform.url,
            settings.platform.call_seconds,
        )
        self.logger = logs.get('daemon')

    def reconfigure(self, touched: frozenset[str]) -> None:
        self.table.configure(self.current.configuration)

    async def follow(self) -> None:
        since = 0
        while True:
            try:
                found = await self.store.watch(change_log.PREFIX, since, 10)
            except errors.PlatformError:
                await asyncio.sleep(1)
                continue
            for stored in found:
                since = stored.version
                self.current.apply(change.decode(stored.body or b''))

    async def run(self, stop: asyncio.Event) -> None:
        opened = http_server.listen(self.settings.callers)
        server = http_server.create(
            self.gateway,
            caller_connection.bounded(self.settings.caller_limits),
        )
        serving = asyncio.create_task(http_server.run(server, opened))
        following = asyncio.create_task(self.follow())
        await stop.wait()
        following.cancel()
        await http_server.stop(server, serving)
