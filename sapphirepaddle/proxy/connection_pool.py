"""Kept connections to targets."""

import typing

from sapphirepaddle import clock
from sapphirepaddle.proxy import target_connection

MAX_IDLE_PER_TARGET: typing.Final = 4
"""Idle connections kept to one target."""

Address = tuple[str, int]


class ConnectionPool:
    """Idle connections by place.

    Attributes:
        idle: Idle connections, the latest used last.
        opened: Connections opened so far.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self.idle: dict[Address, list[target_connection.TargetConnection]] = {}
        self.opened = 0

    async def acquire_idle(
        self,
        place: Address,
        most_idle: float,
    ) -> target_connection.TargetConnection | None:
        """Return a kept connection, or None.

        Args:
            place: Host and port.
            most_idle: Longest idleness in seconds.
        """
        held = self.idle.get(place, [])
        while held:
            kept = held.pop()
            is_recent = clock.monotonic() - kept.idle_since <= most_idle
            if is_recent and await kept.stop_idle():
                return kept
            kept.close()
        return None

    async def open(
        self,
        place: Address,
        seconds: float,
    ) -> target_connection.TargetConnection:
        """Open a new connection.

        Raises:
            TargetError: If it does not open in time; nothing was sent.
        """
        self.opened += 1
        return await target_connection.connect(*place, seconds)

    def return_idle(
        self,
        place: Address,
        used: target_connection.TargetConnection,
    ) -> None:
        """Keep a connection after an exchange, or close it."""
        held = self.idle.setdefault(place, [])
        if not used.start_idle():
            used.close()
            return
        held.append(used)
        used.add_unexpected_data_callback(lambda: self.drop(place, used))
        if len(held) > MAX_IDLE_PER_TARGET:
            held.pop(0).close()

    def drop(
        self,
        place: Address,
        used: target_connection.TargetConnection,
    ) -> None:
        """Close an idle connection that its target closed or disturbed."""
        held = self.idle.get(place, [])
        if used in held:
            held.remove(used)
            used.close()
        if not held:
            self.idle.pop(place, None)

    def close(self) -> None:
        """Close all idle connections."""
        for held in tuple(self.idle.values()):
            for used in tuple(held):
                used.close()
        self.idle.clear()
