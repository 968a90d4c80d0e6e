"""Connections to targets that reject misdirected and truncated answers."""

import re
import typing

from aiosonic import exceptions

from sapphirepaddle import pooled_connection
from sapphirepaddle.gateway import attempt

MAX_HEAD_BYTES: typing.Final = 65536
MAX_CHUNK_BYTES: typing.Final = 16777216
"""Maximum size of a chunk; aiosonic reads each chunk into memory as a whole."""
STATUS_LINE_PATTERN: typing.Final = re.compile(
    rb'HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n'
)
BLANK_LINES: typing.Final = frozenset((b'\r\n', b'\n'))
CHUNK_SIZE_PATTERN: typing.Final = re.compile(rb'[0-9a-fA-F]{1,8}\r\n|\r\n')


class TargetConnection(pooled_connection.PooledConnection):
    """A connection that sends each request at most once.

    aiosonic resends an idempotent request by itself when a reused connection
    drops; to prevent this, no connection is ever reported as reused. aiosonic
    also accepts the end of the stream as the end of a head, so each line is
    checked here.
    """

    @property
    def reused(self) -> bool:
        """Return False, so that aiosonic never resends a request."""
        return False

    @reused.setter
    def reused(self, _value: bool) -> None:
        """Ignore the value that aiosonic sets."""

    def write(self, data: bytes) -> None:
        """Record in the attempt that bytes may be sent, then write them."""
        current_attempt = attempt.CURRENT.get()
        if current_attempt is not None:
            current_attempt.has_written = True
            current_attempt.is_reading_head = True
            current_attempt.drain = self.drain
            current_attempt.close_unowned = self.close_unowned
        super().write(data)

    def close_unowned(self) -> None:
        """Close the connection unless a request owns it.

        aiosonic returns a connection to the pool after the head of an answer
        that states no body, also if more bytes follow.
        """
        if not self.blocked:
            self.keep = False
            self.close()

    async def drain(self) -> None:
        """Wait until the send buffer has space."""
        if self.writer is not None:
            await self.writer.drain()

    async def readuntil(self, separator: bytes = b'\n') -> bytes:
        """Read and check the status line."""
        line = await super().readuntil(separator)
        self.check_line(line)
        return line

    async def readline(self) -> bytes:
        """Read and check a line of the head or of the chunk framing.

        Raises:
            ConnectionDisconnected: If the stream ends within the line.
            HttpParsingError: If the line is malformed or the head is
                too large.
        """
        line = await super().readline()
        self.check_line(line)
        return line

    def check_line(self, line: bytes) -> None:
        """Check a line of the head or of the chunk framing.

        Raises:
            ConnectionDisconnected: If the stream ended within the line.
            HttpParsingError: If the line is malformed or the head is too
                large.
        """
        if not line.endswith(b'\n'):
            raise exceptions.ConnectionDisconnected()
        current_attempt = attempt.CURRENT.get()
        if current_attempt is None:
            return
        if not current_attempt.is_reading_head:
            check_chunk_size(line)
            return
        current_attempt.head_bytes += len(line)
        current_attempt.is_reading_head = line not in BLANK_LINES
        check_head_line(line, current_attempt)

    async def readexactly(self, size: int) -> bytes:
        """Read an exact number of bytes.

        Raises:
            HttpParsingError: If the size is over the limit of a chunk.
        """
        if size > MAX_CHUNK_BYTES:
            raise exceptions.HttpParsingError(
                f'chunk of {size} bytes is too large'
            )
        return await super().readexactly(size)


def check_chunk_size(line: bytes) -> None:
    """Check that a line of the chunk framing is a hexadecimal size or blank.

    Python's int() would also accept signs and underscores.

    Raises:
        HttpParsingError: If it is neither.
    """
    if not CHUNK_SIZE_PATTERN.fullmatch(line):
        raise exceptions.HttpParsingError('malformed chunk size')


def check_head_line(line: bytes, current_attempt: attempt.Attempt) -> None:
    """Check a line of the head and the size of the head so far.

    Of the status aiosonic takes as many digits as there are, also those of
    other scripts, and ignores what follows.

    Raises:
        HttpParsingError: If a header line has no colon, the status line has
            no status of HTTP or the head is over the limit.
    """
    if current_attempt.head_bytes > MAX_HEAD_BYTES:
        raise exceptions.HttpParsingError(
            f'head exceeds {MAX_HEAD_BYTES} bytes'
        )
    if current_attempt.head_bytes == len(line):
        if not STATUS_LINE_PATTERN.fullmatch(line):
            raise exceptions.HttpParsingError('malformed status line')
    elif current_attempt.is_reading_head and b':' not in line:
        raise exceptions.HttpParsingError('head line without a colon')
