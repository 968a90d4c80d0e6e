"""Limits on the bytes that a connection buffers before they are parsed."""

import asyncio
import typing

READ_BYTES: typing.Final = 16384
"""Bytes that a connection reads at a time, and beyond which its stream stops
reading until they are parsed. The defaults of asyncio allow 0.4 MB for each of
thousands of connections."""


def limit_reads(writer: asyncio.StreamWriter) -> None:
    """Limit what the transport of a stream reads at a time."""
    transport: typing.Any = writer.transport
    transport.max_size = READ_BYTES
