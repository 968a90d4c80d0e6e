"""A minimal target that answers each request with 1 KB at once."""

import asyncio
import sys

BODY = b'x' * 1024
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 1024\r\n\r\n' + BODY


class Target(asyncio.Protocol):
    """Answers each request head.

    Attributes:
        transport: Transport of the connection.
        buffer: Received bytes of an incomplete head.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Initialize the state of a connection."""
        self.transport = transport
        self.buffer = b''

    def data_received(self, data: bytes) -> None:
        """Answer every complete head."""
        self.buffer += data
        count = self.buffer.count(b'\r\n\r\n')
        if count:
            self.buffer = self.buffer.rpartition(b'\r\n\r\n')[2]
            self.transport.write(ANSWER * count)  # type: ignore[attr-defined]


async def main(port: int) -> None:
    """Serve until the process is killed."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Target, '127.0.0.1', port)
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1])))
