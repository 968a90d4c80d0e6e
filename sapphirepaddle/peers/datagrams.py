"""UDP endpoint for datagrams between daemons."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import errors
from sapphirepaddle.peers import digest, digest_codec
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import counters, logs

DatagramHandler = abc.Callable[[digest.Body, str], None]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    A datagram that cannot be sent is only counted and not sent again, as
    the next one carries the same totals.

    Attributes:
        port: UDP port that every daemon listens on.
        on_datagram: Called with each datagram and the sender's host.
        counters: Counters for metrics.
        transport: The socket; None until it is open.
        logger: Logs malformed datagrams.
    """

    def __init__(
        self,
        port: int,
        on_datagram: DatagramHandler,
        totals: counters.Counters,
    ) -> None:
        """Initialize without opening the socket."""
        self.port = port
        self.on_datagram = on_datagram
        self.counters = totals
        self.transport: asyncio.DatagramTransport | None = None
        self.logger = logs.get_logger('datagrams')

    async def open(self, address: edge.Address) -> None:
        """Open the socket; raises OSError if the address is in use."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(address.host, address.port),
        )

    def connection_made(self, transport: typing.Any) -> None:
        """Store the transport when asyncio has opened the socket."""
        self.transport = transport

    def datagram_received(self, raw: bytes, sender: typing.Any) -> None:
        """Decode a datagram and call the handler; drop malformed ones."""
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
        """Count an error reported by the operating system."""
        self.counters.add('datagram_errors', type(error).__name__)

    def send(self, body: digest.Body, hosts: abc.Iterable[str]) -> None:
        """Send a datagram to hosts; does nothing while the socket is closed."""
        if self.transport is None:
            return
        raw = digest_codec.encode(body)
        for host in hosts:
            self.transport.sendto(raw, (host, self.port))
            self.counters.add('datagrams_sent')
            self.counters.add('datagram_bytes_sent', '', len(raw))

    def close(self) -> None:
        """Close the socket if it is open."""
        if self.transport is not None:
            self.transport.close()
