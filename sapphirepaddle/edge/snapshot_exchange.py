"""Handing on what a daemon knows to one that cannot reach the source."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.peers import digest, snapshot_codec
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

FETCH_TIMEOUT_SECONDS: typing.Final = 2.0
"""Longest wait for a whole snapshot."""
MAX_SNAPSHOT_BYTES: typing.Final = 33554432
"""Largest snapshot; all targets of a large fleet."""


class SnapshotExchange:
    """Serves snapshots and fetches them.

    Attributes:
        place: Address to listen on; the port is the same on all VMs.
        make: Returns the own snapshot.
        server: The listening socket, once it is open.
        logger: Log of fetches.
    """

    def __init__(
        self,
        place: edge.Address,
        make: abc.Callable[[], digest.Snapshot],
    ) -> None:
        """Start closed."""
        self.address = place
        self.make_snapshot = make
        self.server: asyncio.Server | None = None
        self.logger = logs.get_logger('snapshots')

    async def open(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(
            self.serve,
            self.address.host,
            self.address.port,
            reuse_address=True,
        )

    async def serve(
        self,
        _reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send the snapshot to a daemon that connected, and close."""
        try:
            writer.write(snapshot_codec.encode(self.make_snapshot()))
            async with asyncio.timeout(FETCH_TIMEOUT_SECONDS):
                await writer.drain()
        except OSError as error:
            self.logger.info('snapshot not sent', reason=str(error))
        finally:
            writer.close()

    async def fetch(self, host: str) -> digest.Snapshot:
        """Return the snapshot of another daemon.

        Raises:
            PeerError: If there is none in time.
        """
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_SECONDS):
                raw = await read_to_end(host, self.address.port)
        except OSError as error:
            detail = f'{host}: {type(error).__name__}'
            raise errors.PeerError(codes.PEER_MALFORMED, detail) from error
        return snapshot_codec.decode(raw)

    def close(self) -> None:
        """Stop to listen."""
        if self.server is not None:
            self.server.close()


async def read_to_end(host: str, port: int) -> bytes:
    """Read all that a daemon sends."""
    reader, writer = await asyncio.open_connection(host, port)
    parts: list[bytes] = []
    size = 0
    try:
        while size < MAX_SNAPSHOT_BYTES:
            part = await reader.read(CHUNK_BYTES)
            if not part:
                break
            parts.append(part)
            size += len(part)
    finally:
        writer.close()
    return b''.join(parts)


CHUNK_BYTES: typing.Final = 65536
