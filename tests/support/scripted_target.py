"""A target that speaks the protocol of the platform and runs a script."""

import asyncio
import collections
import dataclasses
import socket
import struct
import typing

Script = typing.Callable[['ReceivedRequest'], typing.Awaitable[None]]


@dataclasses.dataclass
class ReceivedRequest:
    """A request received by a target.

    Attributes:
        method: The HTTP method.
        path: Path and query.
        headers: The headers, by name in lower case.
        body: The body.
        writer: Writer of the connection.
        target: Target that received it.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    target: 'ScriptedTarget'

    @property
    def identifier(self) -> str:
        """The identifier in the header X-Request-Id."""
        return self.headers['x-request-id']

    def head(
        self,
        status: int,
        length: int | None,
        *lines: str,
        identifier: str = '',
        stamp: str = 'stamp',
    ) -> bytes:
        """Return the head of an answer.

        Args:
            status: The HTTP status.
            length: Length of the body; None for no Content-Length.
            lines: More header lines.
            identifier: Identifier to echo; empty for that of the request.
            stamp: Value of X-Response-Stamp; empty for no such header.
        """
        header_lines = [f'HTTP/1.1 {status} Status']
        header_lines.append(f'X-Request-Id: {identifier or self.identifier}')
        if stamp:
            header_lines.append(f'X-Response-Stamp: {stamp}')
        if length is not None:
            header_lines.append(f'Content-Length: {length}')
        return '\r\n'.join([*header_lines, *lines, '', '']).encode()

    def answer(self, status: int = 200, body: bytes = b'done') -> None:
        """Write a complete answer."""
        self.writer.write(self.head(status, len(body)) + body)

    def reset(self) -> None:
        """Reset the connection with a TCP RST."""
        client_socket = self.writer.get_extra_info('socket')
        client_socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            struct.pack('ii', 1, 0),
        )
        self.writer.transport.abort()

    def refuse(self, status: int = 503) -> None:
        """Answer that the request was not executed."""
        self.writer.write(
            self.head(status, 0, 'X-Not-Executed: 1', stamp=''),
        )


async def answer_ok(received: ReceivedRequest) -> None:
    """Answer with status 200."""
    received.answer()


class ScriptedTarget:
    """A target whose answers a script determines.

    Attributes:
        script: Answers a request.
        received: Requests that arrived.
        arrival_counts: How often each identifier arrived.
        disconnected: Identifiers of requests whose connection was closed
            while the script ran.
        port: Port it listens on; 0 before it is started.
        writers: Writers of all connections.
    """

    def __init__(self, script: Script = answer_ok) -> None:
        """Initialize without requests."""
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.arrival_counts: collections.Counter[str] = collections.Counter()
        self.disconnected: list[str] = []
        self.port = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Start listening on a free port of the loopback address."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection until either side closes it."""
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
        """Read a request and run the script.

        Raises:
            ConnectionResetError: The peer closed the connection, or sent more,
                while the script ran.
        """
        received = await read_request(reader, writer, self)
        self.received.append(received)
        self.arrival_counts[received.identifier] += 1
        script_task = asyncio.create_task(self.script(received))
        closed_task = asyncio.create_task(reader.read(1))
        await asyncio.wait(
            (script_task, closed_task), return_when='FIRST_COMPLETED'
        )
        if not script_task.done():
            self.disconnected.append(received.identifier)
            script_task.cancel()
            raise ConnectionResetError
        closed_task.cancel()
        await asyncio.wait((closed_task,))
        script_task.result()
        await writer.drain()


async def read_request(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    target: ScriptedTarget,
) -> ReceivedRequest:
    """Read one request with a body of stated length."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    request_line, *lines = head.strip().split('\r\n')
    method, path, _ = request_line.split(' ')
    headers = {}
    for line in lines:
        name, _, value = line.partition(': ')
        headers[name.lower()] = value
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length)
    return ReceivedRequest(method, path, headers, body, writer, target)
