"""A target that answers with arbitrary bytes."""

import asyncio
import typing

Script = typing.Callable[
    [str, asyncio.StreamWriter],
    typing.Awaitable[None],
]


class RawTarget:
    """Reads requests one after the other and lets a script answer them.

    Attributes:
        script: Called with the identifier of a request and the connection.
        request_heads: Heads of all requests received.
        port: Port it listens on; 0 before it is started.
    """

    def __init__(self, script: Script) -> None:
        """Initialize without requests."""
        self.script = script
        self.request_heads: list[str] = []
        self.port = 0

    async def start(self) -> None:
        """Start listening on a free port of the loopback address."""
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
        """Serve one connection until the peer closes it."""
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
        """Read and discard a body with a stated length."""
        for line in head.lower().splitlines():
            if line.startswith('content-length:'):
                await reader.readexactly(int(line.partition(':')[2]))

    async def stop(self) -> None:
        """Stop listening."""
        self.server.close()


def identifier_of(head: str) -> str:
    """Return the identifier in a request head; empty if there is none."""
    for line in head.splitlines():
        name, _, value = line.partition(': ')
        if name.lower() == 'x-request-id':
            return value
    return ''


def complete_answer(identifier: str, echo: bool = True) -> bytes:
    """Return a complete answer, which echoes its request if `echo` is set."""
    body = f'answer to {identifier}'.encode()
    echo_header = f'X-Request-Id: {identifier}\r\n' if echo else ''
    head = (
        f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{echo_header}\r\n'
    )
    return head.encode() + body
