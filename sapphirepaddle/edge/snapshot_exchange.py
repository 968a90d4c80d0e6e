"""Transfers state snapshots to daemons that cannot reach the source."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.peers import digest, snapshot_codec
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

FETCH_TIMEOUT_SECONDS: typing.Final = 2.0
"""Timeout for a complete snapshot."""
MAX_SNAPSHOT_BYTES: typing.Final = 33554432
"""Maximum size of a snapshot; enough for all targets of a large fleet."""


class SnapshotExchange:
    """Serves snapshots and fetches them.

    Attributes:
        address: Address to listen on; the port is the same on all VMs.
        make_snapshot: Returns the snapshot of this daemon.
        server: Listening server; None before it is opened.
        logger: Log of snapshots that could not be sent.
    """

    def __init__(
        self,
        address: edge.Address,
        make_snapshot: abc.Callable[[], digest.Snapshot],
    ) -> None:
        """Initialize without opening the socket."""
        self.address = address
        self.make_snapshot = make_snapshot
        self.server: asyncio.Server | None = None
        self.logger = logs.get_logger('snapshots')

    async def open(self) -> None:
        """Start listening."""
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
            PeerError: If there is none in time or it is malformed.
        """
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_SECONDS):
                encoded = await read_to_end(host, self.address.port)
        except OSError as error:
            detail = f'{host}: {type(error).__name__}'
            raise errors.PeerError(codes.PEER_MALFORMED, detail) from error
        return snapshot_codec.decode(encoded)

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()


async def read_to_end(host: str, port: int) -> bytes:
    """Read from a daemon until it closes or the maximum size is reached."""
    reader, writer = await asyncio.open_connection(host, port)
    chunks: list[bytes] = []
    size = 0
    try:
        while size < MAX_SNAPSHOT_BYTES:
            chunk = await reader.read(CHUNK_BYTES)
            if not chunk:
                break
            chunks.append(chunk)
            size += len(chunk)
    finally:
        writer.close()
    return b''.join(chunks)


CHUNK_BYTES: typing.Final = 65536
