"""Simulated callers, which reuse a connection until the daemon closes it."""

import asyncio
import contextlib
import itertools
import random
import time
import typing

from soak import observations, testbed_settings

ANSWER_TIMEOUT_SECONDS: typing.Final = 6.0
CONNECT_TIMEOUT_SECONDS: typing.Final = 1.0
MAX_PIPELINED: typing.Final = 3
SEND_AGAIN_RATIO: typing.Final = 0.5
"""Ratio of refused orders that are sent again at once, as they were."""
MAX_SENT_AGAIN: typing.Final = 3

DaemonAddress = tuple[str, str, int]


class Caller:
    """A caller with a connection to one daemon at a time.

    Attributes:
        name: Name of the caller, the prefix of its request identifiers.
        daemon_addresses: Returns name, host and port of the daemons that
            accept callers.
        next_key: Returns account and key for the next request.
        observations: Records the requests.
        rng: Source of randomness.
        mean_pause_seconds: Mean time between batches of requests; the times
            are exponentially distributed.
        numbers: Counter that numbers the requests.
        send_again_rng: Draws which refused orders are sent again, so that the
            other choices of a seed stay as they were.
    """

    def __init__(
        self,
        name: str,
        daemon_addresses: typing.Callable[[], list[DaemonAddress]],
        next_key: typing.Callable[[], tuple[str, str]],
        run_observations: observations.Observations,
        rng: random.Random,
    ) -> None:
        """Initialize a caller without a connection."""
        self.name = name
        self.daemon_addresses = daemon_addresses
        self.next_key = next_key
        self.observations = run_observations
        self.rng = rng
        self.mean_pause_seconds = 0.15
        self.numbers = itertools.count()
        self.send_again_rng = random.Random(name)

    async def run(self, until: float) -> None:
        """Send requests until a time on the monotonic clock."""
        while time.monotonic() < until:
            addresses = self.daemon_addresses()
            if not addresses:
                await asyncio.sleep(0.1)
                continue
            address = self.rng.choice(addresses)
            with contextlib.suppress(OSError, TimeoutError):
                await self.use_connection(address, until)

    async def use_connection(
        self, address: DaemonAddress, until: float
    ) -> None:
        """Send batches over one connection until either side closes it."""
        daemon, host, port = address
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            while time.monotonic() < until:
                pause_seconds = self.rng.expovariate(
                    1 / self.mean_pause_seconds
                )
                await asyncio.sleep(pause_seconds)
                if not await self.send_batch(daemon, reader, writer):
                    return
        finally:
            writer.close()

    async def send_batch(
        self,
        daemon: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one order or up to three pipelined reads.

        Returns:
            Whether the connection can be used for another batch.
        """
        kind = self.rng.choice(
            (testbed_settings.READS, testbed_settings.ORDERS)
        )
        count = 1
        if kind == testbed_settings.READS:
            count = self.rng.randint(1, MAX_PIPELINED)
        requests = [self.compose(daemon, kind) for _ in range(count)]
        for request in requests:
            writer.write(render(request))
        for request in requests:
            if not await self.receive(request, reader):
                return False
        while self.may_send_again(request):
            request.sent_again_at.append(time.monotonic())
            request.status = 0
            writer.write(render(request))
            if not await self.receive(request, reader):
                return False
        return True

    async def receive(
        self, request: observations.SentRequest, reader: asyncio.StreamReader
    ) -> bool:
        """Read the answer to a request.

        Returns:
            Whether the connection can be used further.
        """
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                is_reusable = await read_answer(reader, request)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            is_reusable = False
        request.ended_at = time.monotonic()
        return is_reusable

    def may_send_again(self, request: observations.SentRequest) -> bool:
        """Return whether the caller sends a refused order again at once."""
        return (
            request.kind == testbed_settings.ORDERS
            and request.status == testbed_settings.UNAVAILABLE
            and len(request.sent_again_at) < MAX_SENT_AGAIN
            and self.send_again_rng.random() < SEND_AGAIN_RATIO
        )

    def compose(self, daemon: str, kind: str) -> observations.SentRequest:
        """Create and record the next request."""
        number = next(self.numbers)
        account, key = self.next_key()
        identifier = f'{self.name}-{number}'
        request = observations.SentRequest(
            identifier=identifier,
            kind=kind,
            path=f'/{kind}/{number}?c={self.name}',
            account=account,
            key=key,
            daemon=daemon,
            sent_at=time.monotonic(),
        )
        self.observations.requests[identifier] = request
        return request


def render(request: observations.SentRequest) -> bytes:
    """Return a request as bytes of HTTP/1.1."""
    method, body = 'GET', b''
    length_header = ''
    if request.kind == testbed_settings.ORDERS:
        method, body = 'POST', b'order ' + request.identifier.encode()
        length_header = f'Content-Length: {len(body)}\r\n'
    head = (
        f'{method} {request.path} HTTP/1.1\r\nHost: {testbed_settings.HOST}\r\n'
        f'X-Request-Id: {request.identifier}\r\nX-Deadline-Ms: 3000\r\n'
        f'Authorization: Bearer {request.key}\r\n{length_header}\r\n'
    )
    return head.encode() + body


async def read_answer(
    reader: asyncio.StreamReader,
    request: observations.SentRequest,
) -> bool:
    """Read one answer into the record of its request.

    Returns:
        Whether the daemon keeps the connection open.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    status_line, *header_lines = head.strip().split('\r\n')
    pairs = (line.partition(': ') for line in header_lines)
    headers = {name.lower(): text for name, _, text in pairs}
    request.status = int(status_line.split(' ')[1])
    request.answer_identifier = headers.get('x-request-id', '')
    request.is_stamped = 'x-response-stamp' in headers
    request.body = await reader.readexactly(int(headers['content-length']))
    request.is_whole = True
    return headers.get('connection') != 'close'
