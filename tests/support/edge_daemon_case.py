"""Edge daemons in the process of the test, with scripted targets."""

import asyncio
import socket
import typing
import unittest

from sapphirepaddle.directory import memory_source, source
from sapphirepaddle.edge import daemon
from sapphirepaddle.platform import adapter
from sapphirepaddle.settings import edge
from soak import network
from tests.support import platform_objects, scripted_target

LOCAL = '127.0.0.1'
CALLERS_PORT = 17101
READY_PORT = 17102
PEER_PORT = 17103
METRICS_PORT = 17104
SNAPSHOT_PORT = 17105
SHORT_STOP = edge.Bounds(stop=3)


def free_port() -> int:
    """Return a TCP port that is currently free."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind((LOCAL, 0))
        return probe.getsockname()[1]


class Reply(typing.NamedTuple):
    """An answer as a caller receives it."""

    status: int
    headers: dict[str, str]
    body: bytes


class EdgeDaemonCase(unittest.IsolatedAsyncioTestCase):
    """A test with edge daemons, an in-memory source and targets.

    Attributes:
        configuration: Configuration written before the test.
        bounds: Bounds in the settings of the daemons.
        memory_bytes: Memory limit in the settings of the daemons.
        is_first_start: Whether no daemon of the fleet has run before.
        network: Loopback addresses that no other test uses.
        source: Source of the configuration and the registered targets.
        daemons: Running daemons.
        running_tasks: Stop event and task of each running daemon.
        targets: Running targets by name.
    """

    configuration = platform_objects.configuration()
    bounds = SHORT_STOP
    memory_bytes = 600000
    is_first_start = True

    async def asyncSetUp(self) -> None:
        """Write the configuration to a new source."""
        self.source = memory_source.MemorySource()
        self.daemons: list[daemon.EdgeDaemon] = []
        self.running_tasks: list[tuple[asyncio.Event, asyncio.Task[None]]] = []
        self.targets: dict[str, scripted_target.ScriptedTarget] = {}
        self.network = network.LoopbackNetwork()
        self.addCleanup(self.network.release)
        await self.configure(self.configuration)

    async def asyncTearDown(self) -> None:
        """Cancel the daemons and stop the targets."""
        for _, task in self.running_tasks:
            task.cancel()
        await asyncio.gather(
            *(task for _, task in self.running_tasks),
            return_exceptions=True,
        )
        for edge_daemon in self.daemons:
            await edge_daemon.close_sockets()
        for target in self.targets.values():
            await target.stop()

    async def configure(self, content: platform_objects.Fields) -> None:
        """Write a configuration to the source."""
        await self.source.apply_change('config', source.Entry('main', content))

    async def add_target(
        self,
        name: str,
        service: str,
        script: scripted_target.Script = scripted_target.answer_ok,
        **registration: typing.Any,
    ) -> scripted_target.ScriptedTarget:
        """Start a target and register it under its name."""
        new_target = scripted_target.ScriptedTarget(script)
        await new_target.start()
        self.targets[name] = new_target
        entry = platform_objects.target(
            service, new_target.port, **registration
        )
        await self.source.apply_change('servers', source.Entry(name, entry))
        return new_target

    async def start_daemon(
        self,
        number: int = 1,
        zone: str = 'a',
    ) -> daemon.EdgeDaemon:
        """Start a daemon and wait until its directory is complete."""
        host = f'{self.network.prefix}.0.{number}'
        settings = edge.EdgeSettings(
            vm=f'vm-{number}',
            zone=zone,
            callers=edge.Address(host, CALLERS_PORT),
            ready=edge.Address(host, READY_PORT),
            metrics=edge.Address(host, METRICS_PORT),
            peers=edge.Address(host, PEER_PORT),
            snapshots=edge.Address(host, SNAPSHOT_PORT),
            source_address=edge.Address(host, 1),
            seeds=(f'{self.network.prefix}.0.1',),
            memory_bytes=self.memory_bytes,
            bounds=self.bounds,
            is_first_start=self.is_first_start,
        )
        platform = adapter.PlatformAdapter(settings.source_address)
        platform.source = self.make_source()
        edge_daemon = daemon.EdgeDaemon(settings, platform)
        stop = asyncio.Event()
        task = asyncio.create_task(edge_daemon.run(stop))
        self.daemons.append(edge_daemon)
        self.running_tasks.append((stop, task))
        await self.wait_until(
            lambda: edge_daemon.components.directory.is_complete
        )
        return edge_daemon

    def make_source(self) -> source.Source:
        """Return the source of a daemon that starts."""
        return self.source

    async def wait_until(
        self,
        condition: typing.Callable[[], bool],
        seconds: float = 60,
    ) -> None:
        """Wait until a condition holds.

        Raises:
            TimeoutError: The condition does not hold in time.
        """
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def connect(
        self,
        edge_daemon: daemon.EdgeDaemon,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the listener for callers."""
        address = edge_daemon.settings.callers
        return await asyncio.open_connection(address.host, address.port)

    async def send_raw(
        self,
        edge_daemon: daemon.EdgeDaemon,
        raw_request: bytes,
    ) -> Reply:
        """Send bytes on a new connection and read one answer."""
        reader, writer = await self.connect(edge_daemon)
        try:
            writer.write(raw_request)
            return await read_reply(reader)
        finally:
            writer.close()


def request(
    path: str,
    identifier: str = 'r1',
    method: str = 'GET',
    body: bytes = b'',
    key: str = platform_objects.FIRST_KEY,
    extra: tuple[str, ...] = (),
) -> bytes:
    """Return the bytes of a caller's request.

    Args:
        path: Path and query.
        identifier: Value of X-Request-Id.
        method: The HTTP method.
        body: The body.
        key: The API key; empty for no Authorization header.
        extra: More header lines.
    """
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: site.example',
        f'X-Request-Id: {identifier}',
        'X-Deadline-Ms: 1500',
        *extra,
    ]
    if key:
        lines.append(f'Authorization: Bearer {key}')
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one answer with a stated length, within 10 s."""
    async with asyncio.timeout(10):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        status_line, *lines = head.strip().split('\r\n')
        headers = {}
        for line in lines:
            name, _, value = line.partition(': ')
            headers[name.lower()] = value
        body = await reader.readexactly(int(headers['content-length']))
    return Reply(int(status_line.split(' ')[1]), headers, body)
