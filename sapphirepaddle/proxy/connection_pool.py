"""Idle connections to targets, kept for reuse."""

import typing

from sapphirepaddle import clock
from sapphirepaddle.proxy import body_memory, target_connection

MAX_IDLE_PER_TARGET: typing.Final = 4
"""Maximum number of idle connections to one target."""

MAX_REFUSALS: typing.Final = 64
"""Maximum number of refused requests that a kept connection remembers."""

Address = tuple[str, int]


class ConnectionPool:
    """Idle connections by address.

    Attributes:
        idle: Idle connections by address, the most recently used one last.
        opened_count: Number of connections opened so far.
        answer_memory: Memory budget for the bodies of answers.
    """

    def __init__(self, answer_memory: body_memory.BodyMemoryBudget) -> None:
        """Initialize without connections."""
        self.answer_memory = answer_memory
        self.idle: dict[Address, list[target_connection.TargetConnection]] = {}
        self.opened_count = 0

    async def acquire_idle(
        self,
        address: Address,
        max_idle_seconds: float,
        identifier: str = '',
    ) -> target_connection.TargetConnection | None:
        """Return an idle connection, or None if none is usable.

        Args:
            address: Host and port.
            max_idle_seconds: Maximum idle time of the connection.
            identifier: Identifier of the request; a connection on which it
                was refused stays idle.
        """
        idle_connections = self.idle.get(address, [])
        usable = [
            connection
            for connection in idle_connections
            if identifier not in connection.refused_identifiers
        ]
        for connection in reversed(usable):
            # Another request may have taken or closed it meanwhile.
            if connection not in idle_connections:
                continue
            idle_connections.remove(connection)
            is_recent = (
                clock.monotonic() - connection.idle_since <= max_idle_seconds
            )
            if is_recent and await connection.stop_idle():
                return connection
            connection.close()
        return None

    async def open(
        self,
        address: Address,
        timeout_seconds: float,
    ) -> target_connection.TargetConnection:
        """Open a new connection.

        Raises:
            TargetError: If it does not open in time; nothing was sent.
        """
        self.opened_count += 1
        return await target_connection.connect(
            *address, timeout_seconds, self.answer_memory
        )

    def return_idle(
        self,
        address: Address,
        connection: target_connection.TargetConnection,
    ) -> None:
        """Keep a connection for reuse after an exchange, or close it."""
        if len(connection.refused_identifiers) > MAX_REFUSALS:
            connection.close()
            return
        idle_connections = self.idle.setdefault(address, [])
        if not connection.start_idle():
            connection.close()
            return
        idle_connections.append(connection)
        connection.add_unexpected_data_callback(
            lambda: self.drop(address, connection)
        )
        if len(idle_connections) > MAX_IDLE_PER_TARGET:
            idle_connections.pop(0).close()

    def drop(
        self,
        address: Address,
        connection: target_connection.TargetConnection,
    ) -> None:
        """Close an idle connection on which its target closed or sent data."""
        idle_connections = self.idle.get(address, [])
        if connection in idle_connections:
            idle_connections.remove(connection)
            connection.close()
        if not idle_connections:
            self.idle.pop(address, None)

    def close(self) -> None:
        """Close all idle connections."""
        for idle_connections in tuple(self.idle.values()):
            for connection in tuple(idle_connections):
                connection.close()
        self.idle.clear()
