"""HTTP load generator with reused connections and exact latencies."""

import asyncio
import time

from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


class LoadGenerator:
    """Sends the same request repeatedly and measures each answer.

    Attributes:
        host: IP address of the server.
        port: TCP port of the server.
        request: Bytes of the request.
        idle: Open connections that are not in use.
        latencies: Histogram of the microseconds from the start of a request
            to its complete answer.
        failed: Number of answers with another status than 200.
    """

    def __init__(self, host: str, port: int, request: bytes) -> None:
        """Initialize a generator without connections."""
        self.host = host
        self.port = port
        self.request = request
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.latencies = histogram.HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self.failed = 0

    async def run(self, rate: float, seconds: float) -> None:
        """Send in an open loop, at a rate in requests per second."""
        started_at = time.perf_counter()
        tasks = []
        for number in range(int(rate * seconds)):
            planned_at = started_at + number / rate
            pause = planned_at - time.perf_counter()
            if pause > 0:
                await asyncio.sleep(pause)
            tasks.append(asyncio.create_task(self.send(time.perf_counter())))
        await asyncio.gather(*tasks)

    async def run_closed_loop(self, callers: int, seconds: float) -> int:
        """Send from concurrent callers in a closed loop.

        Returns:
            The number of answers.
        """
        until = time.perf_counter() + seconds
        counts = await asyncio.gather(
            *(self.call_until(until) for _ in range(callers)),
        )
        return sum(counts)

    async def call_until(self, until: float) -> int:
        """Send one request after the other until a time.

        Returns:
            The number of answers.
        """
        count = 0
        while time.perf_counter() < until:
            await self.send(time.perf_counter())
            count += 1
        return count

    async def send(self, started_at: float) -> None:
        """Send one request and record its latency.

        Args:
            started_at: Start of the request on the performance counter, from
                which the latency counts.
        """
        reader, writer = await self.acquire_connection()
        writer.write(self.request)
        head = await reader.readuntil(b'\r\n\r\n')
        lowercase_head = head.lower()
        value_start = lowercase_head.index(b'content-length:') + len(
            b'content-length:'
        )
        await reader.readexactly(
            int(lowercase_head[value_start:].split(b'\r\n')[0])
        )
        self.failed += b' 200 ' not in head[:16]
        self.latencies.record_value(
            int((time.perf_counter() - started_at) * 1e6)
        )
        self.idle.append((reader, writer))

    async def acquire_connection(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return an idle connection that is still open, or a new one."""
        while self.idle:
            idle_connection = self.idle.pop()
            if not idle_connection[0].at_eof():
                return idle_connection
        return await asyncio.open_connection(self.host, self.port)

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self.idle:
            writer.close()

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        return self.latencies.get_value_at_percentile(percent) / 1000
