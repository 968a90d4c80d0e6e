"""A loopback proxy in front of the store, one for each daemon."""

import asyncio
import contextlib
import dataclasses

CHUNK_BYTES = 65536
POLL_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class LinkFaults:
    """What goes wrong on a link.

    Attributes:
        delay: Seconds that each part is held up.
        is_cut_out: Whether nothing passes from the daemon.
        is_cut_back: Whether nothing passes to the daemon.
    """

    delay_seconds: float = 0
    is_outbound_partitioned: bool = False
    is_inbound_partitioned: bool = False


class Relay:
    """Passes connections on to one address.

    Attributes:
        host: Host of the address.
        port: Its port.
        faults: What goes wrong now.
        writers: Both ends of all connections.
    """

    def __init__(self, host: str, port: int) -> None:
        """Start without faults."""
        self.host = host
        self.port = port
        self.faults = LinkFaults()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Start to listen and return the port."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass one connection on."""
        try:
            far = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.close()
            return
        ends = {writer, far[1]}
        self.writers |= ends
        out = asyncio.create_task(self.copy(reader, far[1], is_out=True))
        back = asyncio.create_task(self.copy(far[0], writer, is_out=False))
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait((out, back), return_when='FIRST_COMPLETED')
        for task in (out, back):
            task.cancel()
        for end in ends:
            end.close()
        self.writers -= ends

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_out: bool,
    ) -> None:
        """Copy one direction."""
        with contextlib.suppress(OSError):
            while part := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.faults.delay_seconds)
                while self.is_partitioned(is_out):
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(part)
                await writer.drain()

    def is_partitioned(self, is_out: bool) -> bool:
        """Tell whether a direction is cut now."""
        if is_out:
            return self.faults.is_outbound_partitioned
        return self.faults.is_inbound_partitioned

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self.writers):
            writer.transport.abort()
