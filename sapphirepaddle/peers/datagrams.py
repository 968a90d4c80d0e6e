"""Datagrams between daemons over UDP."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import errors
from sapphirepaddle.peers import digest, digest_codec
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import counters, logs

Receive = abc.Callable[[digest.Body, str], None]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    A datagram that cannot be sent is counted: the next one carries the
    same totals.

    Attributes:
        port: Port of every daemon.
        receive: Takes what arrives, with the sender's host.
        counters: Totals for metrics.
        transport: The socket, once it is open.
        logger: Log of what cannot be read.
    """

    def __init__(
        self,
        port: int,
        receive: Receive,
        totals: counters.Counters,
    ) -> None:
        """Start closed."""
        self.port = port
        self.on_datagram = receive
        self.counters = totals
        self.transport: asyncio.DatagramTransport | None = None
        self.logger = logs.get_logger('datagrams')

    async def open(self, place: edge.Address) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(place.host, place.port),
        )

    def connection_made(self, transport: typing.Any) -> None:
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, raw: bytes, sender: typing.Any) -> None:
        """Decode a datagram and hand it on."""
        try:
            body = digest_codec.decode(raw)
        except errors.PeerError as error:
            self.counters.add('datagrams_malformed')
            self.logger.warning(
                'datagram malformed',
                host=sender[0],
                reason=error.detail,
            )
            return
        self.counters.add('datagrams_received')
        self.on_datagram(body, sender[0])

    def error_received(self, error: Exception) -> None:
        """Count an error that the network reported."""
        self.counters.add('datagram_errors', type(error).__name__)

    def send(self, body: digest.Body, hosts: abc.Iterable[str]) -> None:
        """Send a datagram to several daemons."""
        if self.transport is None:
            return
        raw = digest_codec.encode(body)
        for host in hosts:
            self.transport.sendto(raw, (host, self.port))
            self.counters.add('datagrams_sent')
            self.counters.add('datagram_bytes_sent', '', len(raw))

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
