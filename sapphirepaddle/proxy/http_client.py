"""HTTP client for the daemon's own calls, with kept-alive connections."""

import asyncio
import math
import socket
import typing

from sapphirepaddle import errors
from sapphirepaddle.proxy import body_memory, connection_pool, http_message

CONNECT_SECONDS: typing.Final = 0.6
"""Connect timeout; the source is milliseconds away."""
MAX_IDLE_SECONDS: typing.Final = 5
"""Maximum idle time of a reused connection."""
KEEP_ALIVE_SECONDS: typing.Final = 1
"""Idle time before the first TCP keep-alive probe and between probes."""
KEEP_ALIVE_PROBES: typing.Final = 2
"""Unanswered probes after which the kernel closes the connection."""
USER_TIMEOUT_MS: typing.Final = 2500
"""Time after which unacknowledged data closes the connection."""


class HttpClient:
    """Makes HTTP calls to one address.

    Attributes:
        address: Host and port.
        connection_pool: Idle connections.
    """

    def __init__(self, host: str, port: int) -> None:
        """Initialize with an empty connection pool."""
        self.address = (host, port)
        self.connection_pool = connection_pool.ConnectionPool(
            body_memory.BodyMemoryBudget(math.inf)
        )

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_seconds: float,
    ) -> http_message.ReceivedAnswer:
        """Make one call.

        Raises:
            SourceError: If there is no complete answer in time.
        """
        headers = [
            (b'Host', ('%s:%d' % self.address).encode()),
            (b'Content-Type', b'application/json'),
        ]
        if body or method in {'POST', 'PUT'}:
            headers.append((b'Content-Length', b'%d' % len(body)))
        outgoing = http_message.OutgoingRequest(
            method=method.encode(),
            target=path.encode(),
            headers=headers,
            body=body,
        )
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self.exchange(outgoing)
        except (errors.TargetError, TimeoutError) as error:
            detail = f'{method} {path}: {error or type(error).__name__}'
            raise errors.SourceError(detail) from error

    async def exchange(
        self, outgoing: http_message.OutgoingRequest
    ) -> http_message.ReceivedAnswer:
        """Send a request and read its answer."""
        connection = await self.connection_pool.acquire_idle(
            self.address, MAX_IDLE_SECONDS
        )
        if connection is None:
            connection = await self.connection_pool.open(
                self.address, CONNECT_SECONDS
            )
            enable_keep_alive(connection.writer.get_extra_info('socket'))
        try:
            answer = await connection.exchange(outgoing)
        except BaseException:
            connection.close()
            raise
        if answer.is_reusable:
            self.connection_pool.return_idle(self.address, connection)
        else:
            connection.close()
        return answer


def enable_keep_alive(connection_socket: socket.socket) -> None:
    """Enable TCP keep-alive, so that the kernel closes dead connections."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, option_value in options:
        connection_socket.setsockopt(level, option, option_value)
