"""A target that executes requests and injects failures."""

import asyncio
import contextlib
import dataclasses
import random
import time

from soak import observations, testbed_settings

FAILURES = ('error', 'reset', 'truncate', 'extra', 'mute', 'other', 'garbage')


@dataclasses.dataclass(slots=True)
class TargetFaults:
    """Faults of a target.

    Attributes:
        failure_ratio: Ratio of requests that fail, from 0 to 1.
        failure: How they fail, one of FAILURES.
        slowdown_factor: Factor of the execution time of every request.
        pause_seconds: Time that it states when it turns a request away; 0 if
            it turns none away.
    """

    failure_ratio: float = 0
    failure: str = 'error'
    slowdown_factor: float = 1
    pause_seconds: float = 0


class Target:
    """One incarnation of a target.

    Attributes:
        slots: Slots that the target announces. It rejects requests beyond
            three times as many.
        name: Name of the target.
        service: Service of the target.
        zone: Availability zone of the target.
        observations: Records the arrivals.
        rng: Source of randomness.
        faults: Faults in effect.
        in_flight: Number of requests being executed.
        is_leaving: Whether it states in its answers that it leaves.
        shed_ratio: Ratio of requests that it rejects as if it were full.
        copies_refusals: Whether it writes a refusal once more, before the next
            answer on the connection of the refusal.
        refusals: Its last refusal on each connection.
        port: Port that it listens on.
        writers: Writers of the open connections.
        started_ms: Start of the incarnation in Unix milliseconds.
        cold_until: Time until which it is cold, on the monotonic clock.
        report_number: Number of the last report since its start.
    """

    slots = 4

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        run_observations: observations.Observations,
        rng: random.Random,
    ) -> None:
        """Initialize a target without faults."""
        self.name = name
        self.service = service
        self.zone = zone
        self.observations = run_observations
        self.rng = rng
        self.faults = TargetFaults()
        self.in_flight = 0
        self.is_leaving = False
        self.shed_ratio = 0.0
        self.copies_refusals = False
        self.refusals: dict[asyncio.StreamWriter, bytes] = {}
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.started_ms = int(time.time() * 1000)
        self.cold_until = 0.0
        self.report_number = 0

    async def start(self, port: int = 0) -> None:
        """Start listening on a free port or on that of a stopped target."""
        self.server = await asyncio.start_server(
            self.serve,
            '127.0.0.1',
            port,
            reuse_address=True,
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    def entry(self, state: str = 'ready') -> dict:
        """Return the next report of the target as its directory entry."""
        self.report_number += 1
        return {
            'address': f'127.0.0.1:{self.port}',
            'born': self.started_ms,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': state,
                'seq': self.report_number,
                'warmupLeftS': max(0, self.cold_until - time.monotonic()),
            },
        }

    def turn_cold(self) -> None:
        """Become cold for WARMUP_SECONDS; the entry states it from now on."""
        now = time.monotonic()
        self.cold_until = now + testbed_settings.WARMUP_SECONDS
        self.observations.cold_periods.append((self.name, now, self.cold_until))

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a connection until it is closed."""
        self.writers.add(writer)
        with contextlib.suppress(
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            while True:
                await self.serve_request(reader, writer)
        self.writers.discard(writer)
        self.refusals.pop(writer, None)
        writer.close()

    async def serve_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read, record and answer one request."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        request_line, *header_lines = head.strip().split('\r\n')
        pairs = (line.partition(': ') for line in header_lines)
        headers = {name.lower(): text for name, _, text in pairs}
        await reader.readexactly(int(headers.get('content-length', 0)))
        identifier = headers['x-request-id']
        if headers['x-expect-instance'] != self.name:
            writer.write(answer(421, b'', identifier, 'X-Instance-Id: other'))
            return
        is_pausing = self.faults.pause_seconds > 0 and (
            self.rng.random() < TURNED_AWAY_RATIO
        )
        is_overloaded = (
            is_pausing
            or self.in_flight >= self.slots * 3
            or self.rng.random() < self.shed_ratio
        )
        is_failing = (
            not is_overloaded and self.rng.random() < self.faults.failure_ratio
        )
        self.observations.arrivals.append(
            observations.Arrival(
                identifier=identifier,
                target=self.name,
                service=self.service,
                path=request_line.split(' ')[1],
                account=headers.get('x-tenant-id', ''),
                has_key='authorization' in headers,
                at=time.monotonic(),
                is_executed=not is_overloaded,
                is_failed=is_failing,
                zone=self.zone,
            ),
        )
        if is_pausing:
            self.write_pause(identifier, writer)
            return
        if is_overloaded:
            refusal = answer(503, b'', identifier, 'X-Not-Executed: 1')
            writer.write(refusal)
            self.refusals[writer] = refusal
            return
        if self.copies_refusals:
            writer.write(self.refusals.pop(writer, b''))
        await self.simulate_work()
        if is_failing:
            await self.write_failure(identifier, writer)
            return
        body = testbed_settings.answer_body(identifier)
        header_lines = STAMP
        if self.is_leaving:
            header_lines = f'{STAMP}\r\nServer-Leaving: 1'
            self.record_statement(identifier)
        writer.write(answer(200, body, identifier, header_lines))
        await writer.drain()

    def write_pause(
        self, identifier: str, writer: asyncio.StreamWriter
    ) -> None:
        """Turn a request away and state a pause."""
        seconds = self.faults.pause_seconds
        self.record_statement(identifier, seconds)
        header_lines = f'X-Not-Executed: 1\r\nRetry-After: {seconds:.2f}'
        writer.write(answer(503, b'', identifier, header_lines))

    def record_statement(
        self, identifier: str, pause_seconds: float = 0
    ) -> None:
        """Record what an answer states about the target."""
        self.observations.statements.append(
            observations.Statement(
                identifier, self.name, time.monotonic(), pause_seconds
            )
        )

    async def simulate_work(self) -> None:
        """Wait for the execution time of one request."""
        self.in_flight += 1
        try:
            seconds = self.rng.uniform(0.02, 0.2) * self.faults.slowdown_factor
            await asyncio.sleep(seconds)
        finally:
            self.in_flight -= 1

    async def write_failure(
        self,
        identifier: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Fail a request that was executed."""
        body = testbed_settings.answer_body(identifier)
        failure = self.faults.failure
        if failure == 'error':
            writer.write(answer(500, b'failed', identifier, STAMP))
        elif failure == 'truncate':
            writer.write(answer(200, body, identifier, STAMP)[:-20])
            writer.close()
        elif failure == 'extra':
            writer.write(answer(500, b'failed', identifier, STAMP))
            writer.write(answer(200, b'extra', 'other', STAMP))
        elif failure == 'other':
            writer.write(answer(200, b'other body', 'other', STAMP))
            writer.close()
        elif failure == 'garbage':
            writer.write(b'\x16\x03\x01 not http\r\n\r\n')
        elif failure == 'mute':
            await asyncio.sleep(30)
        if failure in {'reset', 'garbage', 'mute'}:
            writer.transport.abort()


TURNED_AWAY_RATIO = 0.5
"""Ratio of requests that a target with a pause turns away."""
STAMP = 'X-Response-Stamp: stamp'


def answer(
    status: int, body: bytes, identifier: str, header_line: str
) -> bytes:
    """Return an answer as bytes of HTTP/1.1.

    Args:
        status: HTTP status.
        body: Body.
        identifier: Request identifier.
        header_line: Further header line without line end.
    """
    head = (
        f'HTTP/1.1 {status} Status\r\nX-Request-Id: {identifier}\r\n'
        f'Content-Length: {len(body)}\r\n{header_line}\r\n\r\n'
    )
    return head.encode() + body
