"""A target that answers bytes as a test says."""

import asyncio
import typing

Script = typing.Callable[
    [str, asyncio.StreamWriter],
    typing.Awaitable[None],
]


class RawTarget:
    """Reads one request after the other and lets a script answer.

    Attributes:
        script: Gets the request's identifier and the connection.
        heads: Heads of all requests received.
        port: Where it listens.
    """

    def __init__(self, script: Script) -> None:
        """Store the script."""
        self.script = script
        self.request_heads: list[str] = []
        self.port = 0

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(
            self.serve,
            '127.0.0.1',
            0,
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                self.request_heads.append(head)
                await self.read_body(reader, head)
                await self.script(identifier_of(head), writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def read_body(self, reader: asyncio.StreamReader, head: str) -> None:
        """Read a body with a stated length."""
        for line in head.lower().splitlines():
            if line.startswith('content-length:'):
                await reader.readexactly(int(line.partition(':')[2]))

    async def stop(self) -> None:
        """Stop listening."""
        self.server.close()


def identifier_of(head: str) -> str:
    """Return the identifier of a request."""
    for line in head.splitlines():
        name, _, value = line.partition(': ')
        if name.lower() == 'x-request-id':
            return value
    return ''


def complete_answer(identifier: str, echo: bool = True) -> bytes:
    """Return a whole answer that names its request."""
    body = f'answer to {identifier}'.encode()
    named = f'X-Request-Id: {identifier}\r\n' if echo else ''
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{named}\r\n'
    return head.encode() + body
