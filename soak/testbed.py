"""The system under test of a soak, and the operations on it."""

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
    observations,
    processes,
    relay,
    target,
    testbed_settings,
)

TARGETS_PER_SERVICE: typing.Final = 6
TARGET_KIND: typing.Final = 'servers'
EMPTIED_ZONE_KIND: typing.Final = 'evacuations'
COLD_NOTICE_SECONDS: typing.Final = 1.0
"""Time between the entries that state that targets are cold and the return of
their zone."""
STOP_SECONDS: typing.Final = 6.0
"""Time limit of a daemon's stop, and time between a target's drain and stop."""


class Testbed:
    """Daemons, store, relays to the store and targets.

    Attributes:
        folder: Folder of the daemons' settings and logs.
        datagram_partitions: Partitions of datagrams between daemons.
        prelude: Python code that each daemon runs before it starts.
        rng: Source of randomness.
        observations: Records of callers and targets.
        network: Loopback network of the daemons.
        source: Content of the store.
        store: Stand-in of the store.
        daemons: Daemons by name.
        store_relays: Relays from daemons to the store, by name of the daemon.
        targets: Running targets by name.
        numbers: Counter that numbers the targets.
        version: Latest version of the configuration.
        key_version: Number of the current key of the account "turning", whose
            key is replaced during the run.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        rng: random.Random,
        prelude: str = '',
    ) -> None:
        """Initialize a system without daemons and targets."""
        self.folder = folder
        self.datagram_partitions = datagram_partitions.DatagramPartitions(
            folder
        )
        self.prelude = self.datagram_partitions.prelude() + prelude
        self.rng = rng
        self.observations = observations.Observations()
        self.network = network.LoopbackNetwork()
        self.source = memory_source.MemorySource()
        self.store = object_store.ObjectStoreStandin(self.source)
        self.store.page_objects = testbed_settings.PAGE_OBJECTS
        self.daemons: dict[str, processes.EdgeProcess] = {}
        self.store_relays: dict[str, relay.Relay] = {}
        self.targets: dict[str, target.Target] = {}
        self.numbers = itertools.count()
        self.version = 0
        self.key_version = 0

    async def start(self, daemon_count: int) -> None:
        """Start all parts and wait until all daemons are ready."""
        address = edge.Address('127.0.0.1', 0)
        self.listener = listener.Listener(address, self.store)
        await self.listener.open()
        server = self.listener.server
        assert server is not None
        port = server.sockets[0].getsockname()[1]
        await self.configure(key_version=1)
        for service in testbed_settings.SERVICES.values():
            for _ in range(TARGETS_PER_SERVICE):
                await self.add_target(service)
        for number in range(daemon_count):
            store_relay = relay.Relay('127.0.0.1', port)
            daemon = processes.EdgeProcess(
                number,
                self.network.prefix,
                self.folder,
                await store_relay.start(),
                self.prelude,
            )
            self.store_relays[daemon.name] = store_relay
            self.daemons[daemon.name] = daemon
            daemon.start(is_first_start=True)
        for daemon in self.daemons.values():
            await self.wait_until_ready(daemon)

    async def wait_until_ready(self, daemon: processes.EdgeProcess) -> None:
        """Wait until a daemon reports that it is ready.

        Raises:
            TimeoutError: If it is not ready after 300 tries.
        """
        for _ in range(300):
            try:
                reader, writer = await asyncio.open_connection(
                    daemon.host,
                    processes.READY_PORT,
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            writer.write(b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            status_line = await reader.readline()
            writer.close()
            if b' 200 ' in status_line:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f'{daemon.name} is not ready')

    async def configure(self, key_version: int) -> None:
        """Write the next version of the configuration.

        Args:
            key_version: Number of the key of the account "turning".
        """
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
        instance = target.Target(
            f'i-{next(self.numbers)}',
            service,
            self.rng.choice(testbed_settings.ZONES),
            self.observations,
            self.rng,
        )
        await instance.start(port)
        if self.daemons:
            instance.turn_cold()
        self.targets[instance.name] = instance
        await self.write_target(instance.name, instance.entry())

    async def write_target(self, name: str, content: dict | None) -> None:
        """Write the directory entry of a target; None removes it."""
        await self.source.apply_change(TARGET_KIND, source.Entry(name, content))

    async def empty_zone(self, zone: str, seconds: float) -> None:
        """Empty an availability zone; its targets are cold afterwards."""
        entry = source.Entry(zone, {})
        await self.source.apply_change(EMPTIED_ZONE_KIND, entry)
        acked_at = time.monotonic()
        await asyncio.sleep(seconds)
        for instance in tuple(self.targets.values()):
            if instance.zone == zone:
                instance.turn_cold()
                await self.write_target(instance.name, instance.entry())
        await asyncio.sleep(COLD_NOTICE_SECONDS)
        self.observations.emptied_periods.append(
            (zone, acked_at, time.monotonic())
        )
        await self.source.apply_change(
            EMPTIED_ZONE_KIND, source.Entry(zone, None)
        )

    async def replace_target(self, instance: target.Target) -> None:
        """Drain a target and start one of another service at its address."""
        self.targets.pop(instance.name)
        self.observations.acked_changes.append(
            (time.monotonic(), 'drain', instance.name)
        )
        await self.write_target(instance.name, instance.entry('draining'))
        await self.add_target(instance.service)
        await asyncio.sleep(STOP_SECONDS)
        await instance.stop()
        await self.write_target(instance.name, None)
        other_services = [
            name
            for name in testbed_settings.SERVICES.values()
            if name != instance.service
        ]
        await self.add_target(other_services[0], instance.port)

    async def stop_daemon(self, daemon: processes.EdgeProcess) -> None:
        """Stop a daemon with SIGTERM and start it again."""
        start = time.monotonic()
        daemon.is_leaving = True
        daemon.send_signal(signal.SIGTERM)
        await asyncio.to_thread(wait_for_exit, daemon)
        self.record_disturbance('stop', f'life of {daemon.name}', start)
        daemon.start()
        await self.wait_until_ready(daemon)

    async def kill_daemon(self, daemon: processes.EdgeProcess) -> None:
        """Kill a daemon and start it again."""
        start = time.monotonic()
        daemon.kill()
        await asyncio.sleep(self.rng.uniform(0.1, 2))
        daemon.start()
        await self.wait_until_ready(daemon)
        self.record_disturbance('kill', daemon.name, start)
        self.record_disturbance('kill', f'life of {daemon.name}', start)

    async def pause_daemon(
        self,
        daemon: processes.EdgeProcess,
        seconds: float,
    ) -> None:
        """Suspend a daemon for some seconds."""
        start = time.monotonic()
        daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        daemon.send_signal(signal.SIGCONT)
        self.record_disturbance('pause', daemon.name, start)

    def record_disturbance(self, kind: str, subject: str, start: float) -> None:
        """Record a disturbance that ends now."""
        disturbance = observations.Disturbance(
            kind, subject, start, time.monotonic()
        )
        self.observations.disturbances.append(disturbance)

    def caller_addresses(self) -> list[callers.DaemonAddress]:
        """Return name, host and port of the daemons that accept callers."""
        return [
            (daemon.name, daemon.host, processes.CALLERS_PORT)
            for daemon in self.daemons.values()
            if daemon.accepts_callers
        ]

    async def close(self) -> None:
        """Stop all daemons, targets, relays and the store."""
        for daemon in self.daemons.values():
            daemon.send_signal(signal.SIGCONT)
            daemon.kill()
        for instance in self.targets.values():
            await instance.stop()
        for store_relay in self.store_relays.values():
            store_relay.server.close()
            store_relay.reset()
        await self.listener.shut_down()
        self.network.release()


def wait_for_exit(daemon: processes.EdgeProcess) -> None:
    """Wait until a stopping daemon has exited; kill it at the time limit."""
    if daemon.process is None:
        return
    try:
        daemon.process.wait(STOP_SECONDS)
    except TimeoutError:
        daemon.kill()
    except processes.subprocess.TimeoutExpired:
        daemon.kill()
