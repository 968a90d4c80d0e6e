"""Framing of messages on a TCP connection to a peer."""

import asyncio
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.peers import codec, frame_authentication, messages

LENGTH_BYTES: typing.Final = 4
"""Size of the length that precedes each frame."""
MAX_WRITE_BUFFER_BYTES: typing.Final = 8388608
"""Unsent bytes above which a connection is aborted: its peer does not read."""


class PeerConnection:
    """Sends and receives frames over one TCP connection.

    Attributes:
        reader: Incoming bytes.
        writer: Outgoing bytes.
        peer: The peer's hello; empty until the handshake.
        signer: Signs outgoing frames; None until the handshake.
        verifier: Verifies incoming frames; None until the handshake.
        last_received_at: Monotonic time of the last valid frame.
        bytes_sent: Number of bytes queued for sending so far.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Initialize with the streams of a new connection."""
        self.reader = reader
        self.writer = writer
        self.peer = messages.Hello('', '', 0, b'')
        self.signer: frame_authentication.Signer | None = None
        self.verifier: frame_authentication.Verifier | None = None
        self.last_received_at = clock.monotonic()
        self.bytes_sent = 0

    def send(self, frame: codec.Frame) -> None:
        """Queue a frame.

        The connection is aborted if more than MAX_WRITE_BUFFER_BYTES are
        unsent.
        """
        raw = codec.encode(frame)
        mac = self.signer.sign(raw) if self.signer else b''
        length = len(mac) + len(raw)
        self.bytes_sent += length + LENGTH_BYTES
        self.writer.write(length.to_bytes(LENGTH_BYTES, 'big') + mac + raw)
        transport = self.writer.transport
        if transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            transport.abort()

    async def receive(self) -> codec.Frame:
        """Return the next frame.

        Raises:
            PeerError: If the frame is malformed, too large or fails
                authentication, or if the connection is closed.
        """
        try:
            content = await self.read_frame()
        except (OSError, asyncio.IncompleteReadError) as error:
            raise errors.PeerError(
                codes.PEER_UNREACHABLE, 'connection closed'
            ) from error
        frame = codec.decode(self.verify_frame(content))
        self.last_received_at = clock.monotonic()
        return frame

    async def read_frame(self) -> bytes:
        """Read the bytes of one frame.

        Raises:
            PeerError: If the frame is larger than MAX_FRAME_BYTES.
        """
        prefix = await self.reader.readexactly(LENGTH_BYTES)
        length = int.from_bytes(prefix, 'big')
        if length > codec.MAX_FRAME_BYTES:
            raise errors.PeerError(
                codes.PEER_MALFORMED, f'frame of {length} bytes is too large'
            )
        return await self.reader.readexactly(length)

    def verify_frame(self, content: bytes) -> bytes:
        """Verify and strip the MAC, once the handshake is done.

        Raises:
            PeerError: If the MAC is wrong.
        """
        if self.verifier is None:
            return content
        raw = content[frame_authentication.MAC_BYTES :]
        self.verifier.verify(content[: frame_authentication.MAC_BYTES], raw)
        return raw

    def close(self) -> None:
        """Abort the connection; unsent frames are discarded."""
        self.writer.transport.abort()
