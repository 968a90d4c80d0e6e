"""A target that answers 1 KB at once, as plainly as possible."""

import asyncio
import sys

BODY = b'x' * 1024
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 1024\r\n\r\n' + BODY


class Target(asyncio.Protocol):
    """Answers each request head."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the connection."""
        self.transport = transport
        self.held = b''

    def data_received(self, data: bytes) -> None:
        """Answer every head that is whole."""
        self.held += data
        count = self.held.count(b'\r\n\r\n')
        if count:
            self.held = self.held.rpartition(b'\r\n\r\n')[2]
            self.transport.write(ANSWER * count)  # type: ignore[attr-defined]


async def main(port: int) -> None:
    """Serve until ended."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Target, '127.0.0.1', port)
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1])))
