"""An open-loop load over kept connections, with exact times."""

import asyncio
import time

from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
DIGITS = 3


class LoadGenerator:
    """Sends the same request at a rate and measures each answer.

    Attributes:
        host: IP address.
        port: TCP port.
        request: The bytes of the request.
        size: Bytes of a whole answer's body.
        idle: Connections that are not in use.
        times: Microseconds from planned sending to whole answer.
        failed: Requests without an answer of status 200.
    """

    def __init__(self, host: str, port: int, request: bytes) -> None:
        """Store the target."""
        self.host = host
        self.port = port
        self.request = request
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.latencies = histogram.HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, DIGITS
        )
        self.failed = 0

    async def run(self, rate: float, seconds: float) -> None:
        """Send at a rate for some seconds."""
        started = time.perf_counter()
        tasks = []
        for number in range(int(rate * seconds)):
            planned = started + number / rate
            pause = planned - time.perf_counter()
            if pause > 0:
                await asyncio.sleep(pause)
            tasks.append(asyncio.create_task(self.send(time.perf_counter())))
        await asyncio.gather(*tasks)

    async def run_closed_loop(self, callers: int, seconds: float) -> int:
        """Send from some callers in a closed loop; return the answers."""
        until = time.perf_counter() + seconds
        counts = await asyncio.gather(
            *(self.call_until(until) for _ in range(callers)),
        )
        return sum(counts)

    async def call_until(self, until: float) -> int:
        """Send one request after the other; return the answers."""
        count = 0
        while time.perf_counter() < until:
            await self.send(time.perf_counter())
            count += 1
        return count

    async def send(self, planned: float) -> None:
        """Send one request and measure its answer."""
        reader, writer = await self.connection()
        writer.write(self.request)
        head = await reader.readuntil(b'\r\n\r\n')
        lowered = head.lower()
        start = lowered.index(b'content-length:') + len(b'content-length:')
        await reader.readexactly(int(lowered[start:].split(b'\r\n')[0]))
        self.failed += b' 200 ' not in head[:16]
        self.latencies.record_value(int((time.perf_counter() - planned) * 1e6))
        self.idle.append((reader, writer))

    async def connection(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return an idle connection that is still open, or a new one."""
        while self.idle:
            kept = self.idle.pop()
            if not kept[0].at_eof():
                return kept
        return await asyncio.open_connection(self.host, self.port)

    def close(self) -> None:
        """Close the connections."""
        for _, writer in self.idle:
            writer.close()

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile in milliseconds."""
        return self.latencies.get_value_at_percentile(percent) / 1000
