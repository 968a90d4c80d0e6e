"""Calls of the daemon's own over a kept connection."""

import asyncio
import socket
import typing

from sapphirepaddle import errors
from sapphirepaddle.proxy import connection_pool, http_message

CONNECT_SECONDS: typing.Final = 0.6
"""Longest wait for a connection; the source is milliseconds away."""
MAX_IDLE_SECONDS: typing.Final = 5
"""Idleness after which a connection is not used again."""
KEEP_ALIVE_SECONDS: typing.Final = 1
"""Time between the kernel's probes of a silent connection."""
KEEP_ALIVE_PROBES: typing.Final = 2
"""Unanswered probes after which the kernel ends it."""
USER_TIMEOUT_MS: typing.Final = 2500
"""Time in milliseconds after which unacknowledged bytes end it."""


class HttpClient:
    """Makes calls to one address.

    Attributes:
        place: Host and port.
        connections: Kept connections.
    """

    def __init__(self, host: str, port: int) -> None:
        """Start without connections."""
        self.address = (host, port)
        self.connection_pool = connection_pool.ConnectionPool()

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        seconds: float,
    ) -> http_message.ReceivedAnswer:
        """Make one call.

        Raises:
            SourceError: If there is no whole answer in time.
        """
        headers = [
            (b'Host', ('%s:%d' % self.address).encode()),
            (b'Content-Type', b'application/json'),
        ]
        if body or method in {'POST', 'PUT'}:
            headers.append((b'Content-Length', b'%d' % len(body)))
        asked = http_message.OutgoingRequest(
            method=method.encode(),
            target=path.encode(),
            headers=headers,
            body=body,
        )
        try:
            async with asyncio.timeout(seconds):
                return await self.exchange(asked)
        except (errors.TargetError, TimeoutError) as error:
            detail = f'{method} {path}: {error or type(error).__name__}'
            raise errors.SourceError(detail) from error

    async def exchange(
        self, asked: http_message.OutgoingRequest
    ) -> http_message.ReceivedAnswer:
        """Send a call and read its answer."""
        used = await self.connection_pool.acquire_idle(
            self.address, MAX_IDLE_SECONDS
        )
        if used is None:
            used = await self.connection_pool.open(
                self.address, CONNECT_SECONDS
            )
            enable_keep_alive(used.writer.get_extra_info('socket'))
        try:
            received = await used.exchange(asked)
        except BaseException:
            used.close()
            raise
        if received.is_reusable:
            self.connection_pool.return_idle(self.address, used)
        else:
            used.close()
        return received


def enable_keep_alive(opened: socket.socket) -> None:
    """Let the kernel end a connection that went silent."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, name, setting in options:
        opened.setsockopt(level, name, setting)
