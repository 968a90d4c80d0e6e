"""A TCP relay that can partition the link between two daemons in one direction.

Bytes of a partitioned direction are delayed until the partition ends, as if
their packets were lost and retransmitted.
"""

import asyncio
import contextlib
import socket
import threading
import typing
from unittest import mock

from sapphirepaddle.standins import fleet

CHUNK_BYTES = 65536
POLL_SECONDS = 0.02


class Relay:
    """Relays in front of the peer listeners of all daemons, in one thread.

    Attributes:
        partitioned_links: Pairs of source and destination host whose bytes are
            delayed.
        sockets: Listening sockets of the relays.
        loop: Event loop of the thread.
        thread: Thread that runs the event loop.
    """

    def __init__(self) -> None:
        """Start a thread with an event loop."""
        self.partitioned_links: set[tuple[str, str]] = set()
        self.sockets: list[socket.socket] = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()

    def open_listener(self, host: str, port: int) -> int:
        """Open a relay in front of a listener and return its port."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.sockets.append(listener)
        future = asyncio.run_coroutine_threadsafe(
            self.listen(listener, host, port),
            self.loop,
        )
        future.result()
        return listener.getsockname()[1]

    async def listen(
        self, listener: socket.socket, host: str, port: int
    ) -> None:
        """Relay each connection on a socket to a host and port."""

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            source = writer.get_extra_info('peername')[0]
            try:
                upstream = await asyncio.open_connection(host, port)
            except OSError:
                writer.close()
                return
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(
                    self.copy(reader, upstream[1], (source, host)),
                    self.copy(upstream[0], writer, (host, source)),
                )

        await asyncio.start_server(serve, sock=listener)

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: tuple[str, str],
    ) -> None:
        """Copy one direction; wait while it is partitioned."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                while direction in self.partitioned_links:
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def partition(self, source: str, destination: str) -> None:
        """Partition the link from one host to another."""
        self.partitioned_links.add((source, destination))

    def heal(self) -> None:
        """End all partitions."""
        self.partitioned_links.clear()

    def close(self) -> None:
        """End all connections and stop the event loop."""
        asyncio.run_coroutine_threadsafe(end_tasks(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        for listener in self.sockets:
            listener.close()
        self.loop.close()


async def end_tasks() -> None:
    """Cancel all other tasks and wait until they end."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.contextmanager
def relay_all_peers(relay: Relay) -> typing.Iterator[None]:
    """Make daemons that start meanwhile advertise a relay to their peers."""
    original = fleet.Fleet.assign_addresses

    def assign_relayed(
        running_fleet: fleet.Fleet,
        name: str,
        zone: str,
        number: int,
    ) -> None:
        original(running_fleet, name, zone, number)
        addresses = running_fleet.daemons[name]
        port = relay.open_listener(addresses.host, addresses.peers_port)
        addresses.advertised_peers = ('127.0.0.1', port)

    with mock.patch.object(fleet.Fleet, 'assign_addresses', assign_relayed):
        yield
