"""A target of the platform's dialect that misbehaves as a test says."""

import asyncio
import collections
import dataclasses
import socket
import struct
import typing

Script = typing.Callable[['ReceivedRequest'], typing.Awaitable[None]]


@dataclasses.dataclass
class ReceivedRequest:
    """One request at a target.

    Attributes:
        method: HTTP method.
        path: Path and query.
        headers: Headers with names in lower case.
        body: The body.
        writer: The connection.
        target: The target.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    target: 'ScriptedTarget'

    @property
    def identifier(self) -> str:
        """Return the request's identifier."""
        return self.headers['x-request-id']

    def head(
        self,
        status: int,
        length: int | None,
        *lines: str,
        identifier: str = '',
        stamp: str = 'stamp',
    ) -> bytes:
        """Return the head of an answer."""
        stated = [f'HTTP/1.1 {status} Status']
        stated.append(f'X-Request-Id: {identifier or self.identifier}')
        if stamp:
            stated.append(f'X-Response-Stamp: {stamp}')
        if length is not None:
            stated.append(f'Content-Length: {length}')
        return '\r\n'.join([*stated, *lines, '', '']).encode()

    def answer(self, status: int = 200, body: bytes = b'done') -> None:
        """Write a whole answer."""
        self.writer.write(self.head(status, len(body)) + body)

    def reset(self) -> None:
        """Reset the connection."""
        opened = self.writer.get_extra_info('socket')
        opened.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            struct.pack('ii', 1, 0),
        )
        self.writer.transport.abort()

    def refuse(self, status: int = 503) -> None:
        """Say that the request has not run."""
        self.writer.write(
            self.head(status, 0, 'X-Not-Executed: 1', stamp=''),
        )


async def answer_ok(asked: ReceivedRequest) -> None:
    """Answer every request."""
    asked.answer()


class ScriptedTarget:
    """A target.

    Attributes:
        script: Answers requests.
        asked: Requests that arrived.
        runs: How often each identifier arrived.
        closed: Identifiers whose connection was closed while they ran.
        port: Where it listens.
    """

    def __init__(self, script: Script = answer_ok) -> None:
        """Store the script."""
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.arrival_counts: collections.Counter[str] = collections.Counter()
        self.disconnected: list[str] = []
        self.port = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop to listen and close all connections."""
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        self.writers.append(writer)
        try:
            while True:
                await self.serve_one(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    async def serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read a request and run the script until the caller closes."""
        asked = await read_request(reader, writer, self)
        self.received.append(asked)
        self.arrival_counts[asked.identifier] += 1
        work = asyncio.create_task(self.script(asked))
        gone = asyncio.create_task(reader.read(1))
        await asyncio.wait((work, gone), return_when='FIRST_COMPLETED')
        if not work.done():
            self.disconnected.append(asked.identifier)
            work.cancel()
            raise ConnectionResetError
        gone.cancel()
        await asyncio.wait((gone,))
        work.result()
        await writer.drain()


async def read_request(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    target: ScriptedTarget,
) -> ReceivedRequest:
    """Read one request."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    method, path, _ = first.split(' ')
    headers = {}
    for line in lines:
        name, _, value = line.partition(': ')
        headers[name.lower()] = value
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length)
    return ReceivedRequest(method, path, headers, body, writer, target)
