"""A target that runs requests and fails as it is told."""

import asyncio
import contextlib
import dataclasses
import random
import time

from soak import observations, testbed_settings

FAILURES = ('error', 'reset', 'truncate', 'extra', 'mute', 'other', 'garbage')


@dataclasses.dataclass(slots=True)
class TargetFaults:
    """What goes wrong at a target.

    Attributes:
        share: Share of the requests that fail.
        way: How they fail.
        slowness: Factor of the time that a request takes.
    """

    failure_ratio: float = 0
    failure: str = 'error'
    slowdown_factor: float = 1


class Target:
    """One start of a target.

    Attributes:
        name: Its name.
        service: Its service.
        zone: Its availability zone.
        seen: Where arrivals are recorded.
        chance: Source of randomness.
        faults: What goes wrong now.
        running: Requests that run.
        port: Where it listens.
    """

    slots = 4

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        seen: observations.Observations,
        chance: random.Random,
    ) -> None:
        """Start without faults."""
        self.name = name
        self.service = service
        self.zone = zone
        self.observations = seen
        self.rng = chance
        self.faults = TargetFaults()
        self.running = 0
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.born = int(time.time() * 1000)

    async def start(self, port: int = 0) -> None:
        """Start to listen; a port may be one that another target had."""
        self.server = await asyncio.start_server(
            self.serve,
            '127.0.0.1',
            port,
            reuse_address=True,
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop to listen and cut all connections."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    def entry(self, state: str = 'ready') -> dict:
        """Return what the target writes of itself."""
        return {
            'address': f'127.0.0.1:{self.port}',
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {'state': state, 'seq': 1, 'warmupLeftS': 0},
        }

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        with contextlib.suppress(
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            while True:
                await self.serve_one(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one request."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.strip().split('\r\n')
        pairs = (line.partition(': ') for line in lines)
        headers = {name.lower(): text for name, _, text in pairs}
        await reader.readexactly(int(headers.get('content-length', 0)))
        identifier = headers['x-request-id']
        if headers['x-expect-instance'] != self.name:
            writer.write(answer(421, b'', identifier, 'X-Instance-Id: other'))
            return
        is_full = self.running >= self.slots * 3
        fails = not is_full and self.rng.random() < self.faults.failure_ratio
        self.observations.arrivals.append(
            observations.Arrival(
                identifier=identifier,
                target=self.name,
                service=self.service,
                path=first.split(' ')[1],
                account=headers.get('x-tenant-id', ''),
                has_key='authorization' in headers,
                at=time.monotonic(),
                is_executed=not is_full,
                is_failed=fails,
            ),
        )
        if is_full:
            writer.write(answer(503, b'', identifier, 'X-Not-Executed: 1'))
            return
        await self.simulate_work()
        if fails:
            await self.write_failure(identifier, writer)
            return
        body = testbed_settings.body_of(identifier)
        writer.write(answer(200, body, identifier, STAMP))
        await writer.drain()

    async def simulate_work(self) -> None:
        """Take the time of one request."""
        self.running += 1
        try:
            seconds = self.rng.uniform(0.02, 0.2) * self.faults.slowdown_factor
            await asyncio.sleep(seconds)
        finally:
            self.running -= 1

    async def write_failure(
        self,
        identifier: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Fail a request that ran."""
        body = testbed_settings.body_of(identifier)
        way = self.faults.failure
        if way == 'error':
            writer.write(answer(500, b'failed', identifier, STAMP))
        elif way == 'truncate':
            writer.write(answer(200, body, identifier, STAMP)[:-20])
            writer.close()
        elif way == 'extra':
            writer.write(answer(500, b'failed', identifier, STAMP))
            writer.write(answer(200, b'extra', 'other', STAMP))
        elif way == 'other':
            writer.write(answer(200, b'other body', 'other', STAMP))
            writer.close()
        elif way == 'garbage':
            writer.write(b'\x16\x03\x01 not http\r\n\r\n')
        elif way == 'mute':
            await asyncio.sleep(30)
        if way in {'reset', 'garbage', 'mute'}:
            writer.transport.abort()


STAMP = 'X-Response-Stamp: stamp'


def answer(status: int, body: bytes, identifier: str, line: str) -> bytes:
    """Return the bytes of an answer."""
    head = (
        f'HTTP/1.1 {status} Status\r\nX-Request-Id: {identifier}\r\n'
        f'Content-Length: {len(body)}\r\n{line}\r\n\r\n'
    )
    return head.encode() + body
