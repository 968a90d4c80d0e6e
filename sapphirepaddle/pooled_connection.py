"""Pooled HTTP connections that never deliver the answer to another request."""

import typing

import aiosonic
from aiosonic import connection, connectors, pools


class PooledConnection(connection.Connection):
    """A connection that is reused only after a complete exchange.

    aiosonic itself keeps a persistent connection open when a request is
    cancelled or times out, and would deliver its late answer to the next
    request.
    """

    def reuse(self, urlparsed: typing.Any, verify: bool) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        return super().reuse(urlparsed, verify) and not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Return whether bytes or the end of the stream are unread."""
        reader = self.reader
        if reader is None:
            return True
        unread = reader._buffer  # noqa: SLF001, WPS437
        return bool(unread) or reader.at_eof()

    async def __aexit__(
        self,
        kind: typing.Any,
        error: typing.Any,
        traceback: typing.Any,
    ) -> None:
        """Close the connection after any failure or cancellation."""
        if kind is not None:
            self.keep = False
            self.close()
        await super().__aexit__(kind, error, traceback)


def create_client(
    pool_config: pools.PoolConfig | None = None,
) -> aiosonic.HTTPClient:
    """Return an HTTP client with pooled connections.

    Args:
        pool_config: Limits of the pool; None for those of aiosonic.
    """
    return aiosonic.HTTPClient(
        connectors.TCPConnector(
            pool_configs={':default': pool_config or pools.PoolConfig()},
            connection_cls=PooledConnection,
        ),
    )
