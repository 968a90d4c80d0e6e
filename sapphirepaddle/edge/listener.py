"""Listens for HTTP connections."""

import asyncio
import typing

from sapphirepaddle import codes, errors
from sapphirepaddle.proxy import caller_connection, handler, stream_limits
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

BACKLOG: typing.Final = 512
"""Connections that wait to be accepted; a connection that finds the backlog
full is delayed by seconds."""


class Listener:
    """Accepts connections and serves each in its own task.

    Attributes:
        address: Address to listen on.
        handler: Answers the requests.
        connections: Open connections and the tasks that serve them.
        server: Listening server; None before it is opened.
        logger: Log of connections that end with an error.
    """

    def __init__(
        self, address: edge.Address, request_handler: handler.Handler
    ) -> None:
        """Initialize without opening the socket."""
        self.address = address
        self.handler = request_handler
        self.connections: dict[
            caller_connection.CallerConnection,
            asyncio.Task[None],
        ] = {}
        self.server: asyncio.Server | None = None
        self.logger = logs.get_logger('listener')

    async def open(self) -> None:
        """Start listening.

        Raises:
            SettingsError: If the address is in use.
        """
        try:
            self.server = await asyncio.start_server(
                self.serve,
                self.address.host,
                self.address.port,
                limit=stream_limits.READ_BYTES,
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
        """Serve one connection until it is closed."""
        stream_limits.limit_reads(writer)
        connection = caller_connection.CallerConnection(
            reader,
            writer,
            self.handler,
        )
        task = asyncio.create_task(connection.run())
        self.connections[connection] = task
        await asyncio.wait((task,))
        self.connections.pop(connection)
        if not task.cancelled() and task.exception() is not None:
            self.logger.error('connection failed', exc_info=task.exception())

    def close_idle(self) -> None:
        """Close the connections without a pending request."""
        for connection in tuple(self.connections):
            connection.close_idle()

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        if self.server is not None:
            self.server.close()

    async def shut_down(self) -> None:
        """Stop listening and cancel all connections."""
        self.stop_accepting()
        tasks = tuple(self.connections.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
