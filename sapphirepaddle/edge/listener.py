"""Listening for connections of one kind."""

import asyncio
import typing

from sapphirepaddle import codes, errors
from sapphirepaddle.proxy import caller_connection, handler
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

BACKLOG: typing.Final = 512
"""Connections that wait to be accepted; one that finds no room is delayed
by seconds."""


class Listener:
    """Accepts connections and serves each in a task of its own.

    Attributes:
        place: Address to listen on.
        handler: Answers the requests.
        connections: Open connections and the tasks that serve them.
        server: The listening socket, once it is open.
        logger: Log of connections that end with an error.
    """

    def __init__(self, place: edge.Address, served_by: handler.Handler) -> None:
        """Start closed."""
        self.address = place
        self.handler = served_by
        self.connections: dict[
            caller_connection.CallerConnection,
            asyncio.Task[None],
        ] = {}
        self.server: asyncio.Server | None = None
        self.logger = logs.get_logger('listener')

    async def open(self) -> None:
        """Start to listen.

        Raises:
            SettingsError: If the address is taken.
        """
        try:
            self.server = await asyncio.start_server(
                self.serve,
                self.address.host,
                self.address.port,
                backlog=BACKLOG,
                reuse_address=True,
            )
        except OSError as error:
            raise errors.SettingsError(
                codes.ADDRESS_TAKEN,
                f'{self.address.host}:{self.address.port}: {error}',
            ) from error

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        accepted = caller_connection.CallerConnection(
            reader,
            writer,
            self.handler,
        )
        task = asyncio.create_task(accepted.run())
        self.connections[accepted] = task
        await asyncio.wait((task,))
        self.connections.pop(accepted)
        if not task.cancelled() and task.exception() is not None:
            self.logger.error('connection', exc_info=task.exception())

    def close_idle(self) -> None:
        """Close the connections on which nothing is asked."""
        for held in tuple(self.connections):
            held.close_idle()

    def stop_accepting(self) -> None:
        """Stop to listen."""
        if self.server is not None:
            self.server.close()

    async def shut_down(self) -> None:
        """Stop to listen and end all connections."""
        self.stop_accepting()
        tasks = tuple(self.connections.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
