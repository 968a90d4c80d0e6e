"""Everything that a soak runs, and what can be done to it."""

import asyncio
import itertools
import pathlib
import random
import signal
import time
import typing

from sapphirepaddle.directory import memory_source, source
from sapphirepaddle.edge import listener
from sapphirepaddle.settings import edge
from sapphirepaddle.standins import object_store
from soak import (
    callers,
    datagram_partitions,
    network,
    processes,
    observations,
    relay,
    target,
    testbed_settings,
)

TARGETS_PER_SERVICE: typing.Final = 6
TARGET_KIND: typing.Final = 'servers'
LEAVE_SECONDS: typing.Final = 6.0


class Testbed:
    """Daemons, store, links, targets and callers.

    Attributes:
        seen: What callers and targets saw.
        network: Addresses of the daemons.
        cuts: Cuts of datagrams between daemons.
        chance: Source of randomness.
        store: The store's stand-in.
        daemons: Daemons by name.
        links: Links from daemons to the store, by daemon.
        targets: Targets that run, by name.
        version: Latest version of the configuration.
        turn: Number of the latest key of the account that changes keys.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        chance: random.Random,
        prelude: str = '',
    ) -> None:
        """Start empty."""
        self.folder = folder
        self.datagram_partitions = datagram_partitions.DatagramPartitions(
            folder
        )
        self.prelude = self.datagram_partitions.prelude() + prelude
        self.rng = chance
        self.observations = observations.Observations()
        self.network = network.LoopbackNetwork()
        self.source = memory_source.MemorySource()
        self.store = object_store.ObjectStoreStandin(self.source)
        self.daemons: dict[str, processes.EdgeProcess] = {}
        self.links: dict[str, relay.Relay] = {}
        self.targets: dict[str, target.Target] = {}
        self.numbers = itertools.count()
        self.version = 0
        self.key_version = 0

    async def start(self, daemons: int) -> None:
        """Start everything and wait until all daemons answer."""
        place = edge.Address('127.0.0.1', 0)
        self.listener = listener.Listener(place, self.store)
        await self.listener.open()
        server = self.listener.server
        assert server is not None
        port = server.sockets[0].getsockname()[1]
        await self.configure(key_version=1)
        for service in testbed_settings.SERVICES.values():
            for _ in range(TARGETS_PER_SERVICE):
                await self.add_target(service)
        for number in range(daemons):
            link = relay.Relay('127.0.0.1', port)
            held = processes.EdgeProcess(
                number,
                self.network.prefix,
                self.folder,
                await link.start(),
                self.prelude,
            )
            self.links[held.name] = link
            self.daemons[held.name] = held
            held.start()
        for held in self.daemons.values():
            await self.until_ready(held)

    async def until_ready(self, held: processes.EdgeProcess) -> None:
        """Wait until a daemon says that it is ready."""
        for _ in range(300):
            try:
                reader, writer = await asyncio.open_connection(
                    held.host,
                    processes.READY_PORT,
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            writer.write(b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await reader.readline()
            writer.close()
            if b' 200 ' in line:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f'{held.name} is not ready')

    async def configure(self, key_version: int) -> None:
        """Write the next configuration."""
        self.version += self.rng.randint(1, 3)
        content = testbed_settings.configuration(self.version, key_version)
        entry = source.Entry('main', content)
        await self.source.apply_change('config', entry)
        now = time.monotonic()
        if key_version != self.key_version:
            self.observations.acked_changes.append(
                (now, 'withdraw', f'turn-{self.key_version}')
            )
        self.key_version = key_version

    async def add_target(self, service: str, port: int = 0) -> None:
        """Start and register a target."""
        held = target.Target(
            f'i-{next(self.numbers)}',
            service,
            self.rng.choice(testbed_settings.ZONES),
            self.observations,
            self.rng,
        )
        await held.start(port)
        self.targets[held.name] = held
        await self.write_target(held.name, held.entry())

    async def write_target(self, name: str, content: dict | None) -> None:
        """Write or remove the entry of a target."""
        await self.source.apply_change(TARGET_KIND, source.Entry(name, content))

    async def replace_target(self, held: target.Target) -> None:
        """Empty a target, and give its address to one of another service."""
        self.targets.pop(held.name)
        self.observations.acked_changes.append(
            (time.monotonic(), 'drain', held.name)
        )
        await self.write_target(held.name, held.entry('draining'))
        await self.add_target(held.service)
        await asyncio.sleep(LEAVE_SECONDS)
        await held.stop()
        await self.write_target(held.name, None)
        others = [
            name
            for name in testbed_settings.SERVICES.values()
            if name != held.service
        ]
        await self.add_target(others[0], held.port)

    async def stop_daemon(self, held: processes.EdgeProcess) -> None:
        """Stop a daemon as planned and start it again."""
        start = time.monotonic()
        held.is_leaving = True
        held.send_signal(signal.SIGTERM)
        await asyncio.to_thread(wait_for, held)
        self.record_disturbance('stop', f'life of {held.name}', start)
        held.start()
        await self.until_ready(held)

    async def kill_daemon(self, held: processes.EdgeProcess) -> None:
        """Kill a daemon and start it again."""
        start = time.monotonic()
        held.kill()
        await asyncio.sleep(self.rng.uniform(0.1, 2))
        held.start()
        await self.until_ready(held)
        self.record_disturbance('kill', held.name, start)
        self.record_disturbance('kill', f'life of {held.name}', start)

    async def pause_daemon(
        self,
        held: processes.EdgeProcess,
        seconds: float,
    ) -> None:
        """Let a daemon stand still for a while."""
        start = time.monotonic()
        held.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        held.send_signal(signal.SIGCONT)
        self.record_disturbance('pause', held.name, start)

    def record_disturbance(self, what: str, subject: str, start: float) -> None:
        """Record a disturbance that ends now."""
        span = observations.Disturbance(what, subject, start, time.monotonic())
        self.observations.disturbances.append(span)

    def caller_addresses(self) -> list[callers.DaemonAddress]:
        """Return the daemons that take callers."""
        return [
            (held.name, held.host, processes.FRONT_PORT)
            for held in self.daemons.values()
            if held.takes_callers
        ]

    async def close(self) -> None:
        """End everything that was started, by its id."""
        for held in self.daemons.values():
            held.send_signal(signal.SIGCONT)
            held.kill()
        for running in self.targets.values():
            await running.stop()
        for link in self.links.values():
            link.server.close()
            link.reset()
        await self.listener.shut_down()
        self.network.release()


def wait_for(held: processes.EdgeProcess) -> None:
    """Wait for the end of a stopping daemon; kill it when its time is up."""
    if held.process is None:
        return
    try:
        held.process.wait(LEAVE_SECONDS)
    except TimeoutError:
        held.kill()
    except processes.subprocess.TimeoutExpired:
        held.kill()
