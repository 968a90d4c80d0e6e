"""Connections to targets, guarded against crossed and short answers."""

import re
import typing

from aiosonic import connection, exceptions

from sapphirepaddle.gateway import attempt

MAX_HEAD_BYTES: typing.Final = 65536
MAX_CHUNK_BYTES: typing.Final = 16777216
BLANK_LINES: typing.Final = frozenset((b'\r\n', b'\n'))
CHUNK_SIZE_PATTERN: typing.Final = re.compile(rb'[0-9a-fA-F]{1,8}\r\n|\r\n')


class TargetConnection(connection.Connection):
    """A connection that is reused only when nothing is left on it.

    The library sends an idempotent request again by itself when a reused
    connection drops; it is kept from that by never calling a connection
    reused. It also takes the end of the stream for the end of a head.
    """

    @property
    def reused(self) -> bool:
        """Tell the library that no request may be sent again."""
        return False

    @reused.setter
    def reused(self, _value: bool) -> None:
        """Ignore what the library notes."""

    def reuse(self, urlparsed: typing.Any, verify: bool) -> bool:
        """Refuse a connection that has unread bytes or was closed."""
        return super().reuse(urlparsed, verify) and not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Tell whether bytes or an end of stream wait to be read."""
        reader = self.reader
        if reader is None:
            return True
        pending = reader._buffer  # noqa: SLF001, WPS437
        return bool(pending) or reader.at_eof()

    def write(self, data: bytes) -> None:
        """Note that a byte of the request may leave, then send."""
        current = attempt.CURRENT.get()
        if current is not None:
            current.has_written = True
            current.is_reading_head = True
            current.drain = self.drain
        super().write(data)

    async def __aexit__(
        self,
        kind: typing.Any,
        error: typing.Any,
        trace: typing.Any,
    ) -> None:
        """Close the connection after any failure or cancellation.

        The library would keep one that was kept alive before, and hand the
        late answer on it to the next request.
        """
        if kind is not None:
            self.keep = False
            self.close()
        await super().__aexit__(kind, error, trace)

    async def drain(self) -> None:
        """Wait until the send buffer has room."""
        if self.writer is not None:
            await self.writer.drain()

    async def readuntil(self, separator: bytes = b'\n') -> bytes:
        """Read the status line."""
        line = await super().readuntil(separator)
        self.check_line(line)
        return line

    async def readline(self) -> bytes:
        """Read a line of the head or of the chunk framing.

        Raises:
            ConnectionDisconnected: If the stream ends within it.
            HttpParsingError: If the line is malformed or the head is
                too large.
        """
        line = await super().readline()
        self.check_line(line)
        return line

    def check_line(self, line: bytes) -> None:
        """Check one line that was read.

        Raises:
            ConnectionDisconnected: If the stream ended within the line.
            HttpParsingError: If the line is malformed.
        """
        if not line.endswith(b'\n'):
            raise exceptions.ConnectionDisconnected()
        current = attempt.CURRENT.get()
        if current is None:
            return
        if not current.is_reading_head:
            check_chunk_size(line)
            return
        current.head_bytes += len(line)
        current.is_reading_head = line not in BLANK_LINES
        check_head_line(line, current)

    async def readexactly(self, size: int) -> bytes:
        """Read an exact number of bytes, within a bound.

        Raises:
            HttpParsingError: If the size is over the bound.
        """
        if size > MAX_CHUNK_BYTES:
            raise exceptions.HttpParsingError('chunk too large')
        return await super().readexactly(size)


def check_chunk_size(line: bytes) -> None:
    """Refuse a chunk size that is not plain hexadecimal.

    Raises:
        HttpParsingError: If it is not.
    """
    if not CHUNK_SIZE_PATTERN.fullmatch(line):
        raise exceptions.HttpParsingError('chunk size')


def check_head_line(line: bytes, current: attempt.Attempt) -> None:
    """Refuse a head line without a colon and a head over the bound.

    Raises:
        HttpParsingError: If it is one of them.
    """
    if current.head_bytes > MAX_HEAD_BYTES:
        raise exceptions.HttpParsingError('head too large')
    first = current.head_bytes == len(line)
    if current.is_reading_head and not first and b':' not in line:
        raise exceptions.HttpParsingError('head line without a colon')
