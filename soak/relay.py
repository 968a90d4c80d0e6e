"""Loopback TCP relay between a daemon and the store, which injects faults."""

import asyncio
import contextlib
import dataclasses

CHUNK_BYTES = 65536
POLL_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class LinkFaults:
    """Faults on the link between a daemon and the store.

    Attributes:
        delay_seconds: Delay of each chunk of data.
        is_outbound_partitioned: Whether data from the daemon is held back.
        is_inbound_partitioned: Whether data to the daemon is held back.
    """

    delay_seconds: float = 0
    is_outbound_partitioned: bool = False
    is_inbound_partitioned: bool = False


class Relay:
    """Relays connections to one address.

    Attributes:
        host: Host that connections are relayed to.
        port: Port that connections are relayed to.
        faults: Faults in effect.
        writers: Writers of both sides of all connections.
    """

    def __init__(self, host: str, port: int) -> None:
        """Initialize a relay without faults."""
        self.host = host
        self.port = port
        self.faults = LinkFaults()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Start listening on a free port and return the port."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Relay one connection until either side closes it."""
        try:
            upstream = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.close()
            return
        both_writers = {writer, upstream[1]}
        self.writers |= both_writers
        outbound = asyncio.create_task(
            self.copy(reader, upstream[1], is_outbound=True)
        )
        inbound = asyncio.create_task(
            self.copy(upstream[0], writer, is_outbound=False)
        )
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(
                (outbound, inbound), return_when='FIRST_COMPLETED'
            )
        for task in (outbound, inbound):
            task.cancel()
        for each_writer in both_writers:
            each_writer.close()
        self.writers -= both_writers

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_outbound: bool,
    ) -> None:
        """Copy one direction of a connection, subject to the faults."""
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.faults.delay_seconds)
                while self.is_partitioned(is_outbound):
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(chunk)
                await writer.drain()

    def is_partitioned(self, is_outbound: bool) -> bool:
        """Return whether data in a direction is held back."""
        if is_outbound:
            return self.faults.is_outbound_partitioned
        return self.faults.is_inbound_partitioned

    def reset(self) -> None:
        """Abort all connections."""
        for writer in tuple(self.writers):
            writer.transport.abort()
