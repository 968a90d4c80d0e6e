"""One connection to a peer."""

import asyncio
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.peers import codec, messages, frame_authentication

LENGTH_BYTES: typing.Final = 4
MAX_WRITE_BUFFER_BYTES: typing.Final = 8388608


class PeerConnection:
    """Frames over one TCP connection.

    Attributes:
        reader: Incoming bytes.
        writer: Outgoing bytes.
        peer: The peer's hello.
        signer: Signs what is sent, once the handshake is over.
        verifier: Checks what is received, once the handshake is over.
        heard: Time of the last frame received.
        bytes_out: Bytes sent.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Take over the streams of a new connection."""
        self.reader = reader
        self.writer = writer
        self.peer = messages.Hello('', '', 0, b'')
        self.signer: frame_authentication.Signer | None = None
        self.verifier: frame_authentication.Verifier | None = None
        self.last_received_at = clock.monotonic()
        self.bytes_out = 0

    def send(self, frame: codec.Frame) -> None:
        """Queue a frame; a peer that does not read loses its connection."""
        raw = codec.encode(frame)
        code = self.signer.sign(raw) if self.signer else b''
        length = len(code) + len(raw)
        self.bytes_out += length + LENGTH_BYTES
        self.writer.write(length.to_bytes(LENGTH_BYTES, 'big') + code + raw)
        transport = self.writer.transport
        if transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            transport.abort()

    async def receive(self) -> codec.Frame:
        """Return the next frame.

        Raises:
            PeerError: If the frame is malformed, too large or not from the
                peer, or if the connection is closed.
        """
        try:
            content = await self.read()
        except (OSError, asyncio.IncompleteReadError) as error:
            raise errors.PeerError(codes.PEER_UNREACHABLE, 'closed') from error
        frame = codec.decode(self.verify_frame(content))
        self.last_received_at = clock.monotonic()
        return frame

    async def read(self) -> bytes:
        """Read the bytes of one frame.

        Raises:
            PeerError: If it is too large.
        """
        prefix = await self.reader.readexactly(LENGTH_BYTES)
        length = int.from_bytes(prefix, 'big')
        if length > codec.MAX_FRAME_BYTES:
            raise errors.PeerError(codes.PEER_MALFORMED, f'{length} bytes')
        return await self.reader.readexactly(length)

    def verify_frame(self, content: bytes) -> bytes:
        """Check and strip the authentication code."""
        if self.verifier is None:
            return content
        raw = content[frame_authentication.MAC_BYTES :]
        self.verifier.verify(content[: frame_authentication.MAC_BYTES], raw)
        return raw

    def close(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()
