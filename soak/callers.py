"""Callers of a soak: kept connections, used until the daemon closes them."""

import asyncio
import contextlib
import itertools
import random
import time
import typing

from soak import observations, testbed_settings

ANSWER_SECONDS: typing.Final = 6.0
CONNECT_SECONDS: typing.Final = 1.0
MAX_PIPELINED: typing.Final = 3

DaemonAddress = tuple[str, str, int]


class Caller:
    """One caller with a connection to one daemon at a time.

    Attributes:
        name: Start of its identifiers.
        places: Returns the daemons that take callers: name, host, port.
        key: Returns account and key for the next request.
        seen: Where requests are recorded.
        chance: Source of randomness.
        pause: Seconds between requests, on average.
    """

    def __init__(
        self,
        name: str,
        places: typing.Callable[[], list[DaemonAddress]],
        key: typing.Callable[[], tuple[str, str]],
        seen: observations.Observations,
        chance: random.Random,
    ) -> None:
        """Start without a connection."""
        self.name = name
        self.daemon_addresses = places
        self.next_key = key
        self.observations = seen
        self.rng = chance
        self.mean_pause_seconds = 0.15
        self.numbers = itertools.count()

    async def run(self, until: float) -> None:
        """Send requests until a time."""
        while time.monotonic() < until:
            places = self.daemon_addresses()
            if not places:
                await asyncio.sleep(0.1)
                continue
            place = self.rng.choice(places)
            with contextlib.suppress(OSError, TimeoutError):
                await self.use_connection(place, until)

    async def use_connection(self, place: DaemonAddress, until: float) -> None:
        """Use one connection until it ends."""
        daemon, host, port = place
        async with asyncio.timeout(CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            while time.monotonic() < until:
                wait = self.rng.expovariate(1 / self.mean_pause_seconds)
                await asyncio.sleep(wait)
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
        """Send an order or some reads; tell whether to go on."""
        kind = self.rng.choice(
            (testbed_settings.READS, testbed_settings.ORDERS)
        )
        count = 1
        if kind == testbed_settings.READS:
            count = self.rng.randint(1, MAX_PIPELINED)
        asked = [self.compose(daemon, kind) for _ in range(count)]
        for sent in asked:
            writer.write(render(sent))
        for sent in asked:
            try:
                async with asyncio.timeout(ANSWER_SECONDS):
                    goes_on = await read_answer(reader, sent)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                goes_on = False
            sent.ended_at = time.monotonic()
            if not goes_on:
                return False
        return True

    def compose(self, daemon: str, kind: str) -> observations.SentRequest:
        """Return the next request."""
        number = next(self.numbers)
        account, key = self.next_key()
        identifier = f'{self.name}-{number}'
        sent = observations.SentRequest(
            identifier=identifier,
            kind=kind,
            path=f'/{kind}/{number}?c={self.name}',
            account=account,
            key=key,
            daemon=daemon,
            sent_at=time.monotonic(),
        )
        self.observations.requests[identifier] = sent
        return sent


def render(sent: observations.SentRequest) -> bytes:
    """Return the bytes of a request."""
    method, body = 'GET', b''
    length = ''
    if sent.kind == testbed_settings.ORDERS:
        method, body = 'POST', b'order ' + sent.identifier.encode()
        length = f'Content-Length: {len(body)}\r\n'
    head = (
        f'{method} {sent.path} HTTP/1.1\r\nHost: {testbed_settings.HOST}\r\n'
        f'X-Request-Id: {sent.identifier}\r\nX-Deadline-Ms: 3000\r\n'
        f'Authorization: Bearer {sent.key}\r\n{length}\r\n'
    )
    return head.encode() + body


async def read_answer(
    reader: asyncio.StreamReader,
    sent: observations.SentRequest,
) -> bool:
    """Read one answer; tell whether the connection goes on."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    pairs = (line.partition(': ') for line in lines)
    headers = {name.lower(): text for name, _, text in pairs}
    sent.status = int(first.split(' ')[1])
    sent.answer_identifier = headers.get('x-request-id', '')
    sent.is_stamped = 'x-response-stamp' in headers
    sent.body = await reader.readexactly(int(headers['content-length']))
    sent.is_whole = True
    return headers.get('connection') != 'close'
