"""A TCP relay that can cut the link between two daemons in one direction.

Bytes of a cut direction are held, as if their packets were lost and sent
again, and go on when the cut ends.
"""

import asyncio
import contextlib
import socket
import threading
import typing
from unittest import mock

from sapphirepaddle.standins import fleet

CHUNK = 65536
POLL_SECONDS = 0.02


class Relay:
    """Relays in front of the peer listeners of all daemons.

    Attributes:
        cuts: Pairs of source and destination host whose bytes are held.
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
        opened = socket.create_server(('127.0.0.1', 0))
        self.sockets.append(opened)
        future = asyncio.run_coroutine_threadsafe(
            self.listen(opened, host, port),
            self.loop,
        )
        future.result()
        return opened.getsockname()[1]

    async def listen(self, opened: socket.socket, host: str, port: int) -> None:
        """Relay each connection to a listener."""

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            source = writer.get_extra_info('peername')[0]
            try:
                far = await asyncio.open_connection(host, port)
            except OSError:
                writer.close()
                return
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(
                    self.copy(reader, far[1], (source, host)),
                    self.copy(far[0], writer, (host, source)),
                )

        await asyncio.start_server(serve, sock=opened)

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: tuple[str, str],
    ) -> None:
        """Copy one direction, holding it while it is cut."""
        try:
            while data := await reader.read(CHUNK):
                while direction in self.partitioned_links:
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def partition(self, source: str, destination: str) -> None:
        """Cut the link from one host to another."""
        self.partitioned_links.add((source, destination))

    def heal(self) -> None:
        """End all cuts."""
        self.partitioned_links.clear()

    def close(self) -> None:
        """End all connections and stop the event loop."""
        asyncio.run_coroutine_threadsafe(end_tasks(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        for opened in self.sockets:
            opened.close()
        self.loop.close()


async def end_tasks() -> None:
    """Cancel all other tasks and wait for their ends."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


@contextlib.contextmanager
def relay_all_peers(relay: Relay) -> typing.Iterator[None]:
    """Place daemons so that peers reach them through a relay."""
    original = fleet.Fleet.assign_addresses

    def placed(
        running: fleet.Fleet,
        name: str,
        zone: str,
        number: int,
    ) -> None:
        original(running, name, zone, number)
        place = running.daemons[name]
        port = relay.open_listener(place.host, place.peers_port)
        place.advertised_peers = ('127.0.0.1', port)

    with mock.patch.object(fleet.Fleet, 'assign_addresses', placed):
        yield
