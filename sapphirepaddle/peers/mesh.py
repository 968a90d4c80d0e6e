"""Peer connections of a daemon, each served by its own task."""

import asyncio
import collections
import contextlib
import inspect
import itertools
import random
import typing
from collections import abc

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.peers import (
    codec,
    handshake,
    members,
    messages,
    peer_connection,
    registry,
)
from sapphirepaddle.settings import base, entry
from sapphirepaddle.telemetry import logs

HANDSHAKE_SECONDS: typing.Final = 1
"""Time limit for opening a connection, and for its handshake."""
MessageHandler = abc.Callable[[registry.Message, str], typing.Any]


class Mesh:
    """All peer connections of a daemon.

    Attributes:
        identity: Identity and credentials of this daemon.
        listen_address: Address of the peer listener; its host is also the
            source address of outgoing connections.
        settings: Intervals and timeouts of the peer connections.
        members: The VMs of the fleet.
        connections: Open connections by VM.
        message_handlers: Called with a message and the sender's name, by
            message type; a result is sent as the reply.
        build_heartbeat: Returns the heartbeat to send.
        build_summaries: Returns the summaries of the stored gossip items.
        pending: Futures of requests that await a reply, by request ID.
        request_ids: Generator of request IDs.
        tasks: Tasks of the connections and other running tasks.
        connecting: Tasks that open a connection, by VM.
        last_received_at: Monotonic time of the last frame from each VM.
        closed_connection_bytes: Bytes sent over connections that are closed.
        logger: Logs connections closed because of a malformed frame, or of a
            failed handshake or authentication.
    """

    def __init__(
        self,
        identity: handshake.Identity,
        listen_address: base.Listener,
        settings: entry.MembershipSettings,
        fleet_members: members.Members,
    ) -> None:
        """Initialize without connections or message handlers."""
        self.identity = identity
        self.listen_address = listen_address
        self.settings = settings
        self.members = fleet_members
        self.connections: dict[str, list[peer_connection.PeerConnection]] = (
            collections.defaultdict(list)
        )
        self.message_handlers: dict[type, MessageHandler] = {}
        self.build_heartbeat: abc.Callable[[], messages.Heartbeat] = (
            empty_heartbeat
        )
        self.build_summaries: abc.Callable[[], messages.TopicSummaries] = (
            messages.TopicSummaries
        )
        self.pending: dict[int, asyncio.Future[registry.Message]] = {}
        self.request_ids = itertools.count(1)
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        self.connecting: dict[str, asyncio.Task[None]] = {}
        self.last_received_at: dict[str, float] = {}
        self.closed_connection_bytes = 0
        self.logger = logs.get_logger('peers')

    def spawn(
        self,
        coroutine: abc.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> 'asyncio.Task[typing.Any]':
        """Run a coroutine as a task that close() cancels."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a connection opened by a peer until it ends."""
        task = typing.cast(
            'asyncio.Task[typing.Any]',
            asyncio.current_task(),
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        with contextlib.suppress(asyncio.CancelledError):
            await self.serve(peer_connection.PeerConnection(reader, writer))

    async def connect(self, name: str, address: str, port: int) -> None:
        """Open a connection to a peer and serve it in a task.

        Returns when the connection is established, when the attempt failed,
        or after HANDSHAKE_SECONDS.
        """
        attempt: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.spawn(self.open(address, port, attempt))
        with contextlib.suppress(TimeoutError, errors.PeerError):
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                await attempt

    async def open(
        self,
        address: str,
        port: int,
        attempt: 'asyncio.Future[None]',
    ) -> None:
        """Open a connection from the listening host and serve it.

        Args:
            address: IP address of the peer.
            port: TCP port of the peer.
            attempt: Completed when the attempt succeeded or failed.
        """
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                streams = await asyncio.open_connection(
                    address,
                    port,
                    local_addr=(self.listen_address.host, 0),
                )
        except OSError:
            finish(attempt)
            return
        await self.serve(peer_connection.PeerConnection(*streams), attempt)

    async def serve(
        self,
        connection: peer_connection.PeerConnection,
        attempt: 'asyncio.Future[None] | None' = None,
    ) -> None:
        """Perform the handshake and serve a connection until it ends."""
        heartbeat_task = None
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                await handshake.perform_handshake(connection, self.identity)
            heartbeat_task = self.spawn(self.send_heartbeats(connection))
            await self.receive(connection, attempt)
        except (errors.PeerError, OSError) as error:
            self.log_disconnect(connection, error)
        finally:
            finish(attempt)
            self.drop(connection, heartbeat_task)

    async def receive(
        self,
        connection: peer_connection.PeerConnection,
        attempt: 'asyncio.Future[None] | None',
    ) -> None:
        """Handle the frames of a connection until it ends.

        The peer counts as connected after its first authenticated frame.
        """
        await self.handle(connection, await connection.receive())
        self.connections[connection.peer.vm].append(connection)
        finish(attempt)
        while True:
            await self.handle(connection, await connection.receive())

    async def handle(
        self, connection: peer_connection.PeerConnection, frame: codec.Frame
    ) -> None:
        """Deliver a reply, or pass a message to its handler."""
        self.last_received_at[connection.peer.vm] = connection.last_received_at
        if frame.reply_to:
            self.deliver_reply(frame)
            return
        handler = self.message_handlers.get(type(frame.body))
        if handler is None:
            return
        reply = handler(frame.body, connection.peer.vm)
        if inspect.isawaitable(reply):
            self.spawn(self.send_reply(connection, frame, reply))
        elif reply is not None:
            connection.send(codec.Frame(reply, reply_to=frame.request_id))

    def deliver_reply(self, frame: codec.Frame) -> None:
        """Complete the request that a frame replies to, if still pending."""
        future = self.pending.get(frame.reply_to)
        if future is not None and not future.done():
            future.set_result(frame.body)

    async def send_reply(
        self,
        connection: peer_connection.PeerConnection,
        frame: codec.Frame,
        reply: abc.Awaitable[registry.Message],
    ) -> None:
        """Await the result of a handler and send it, or a Failure."""
        try:
            body = await reply
        except errors.PaddleError as error:
            body = messages.Failure(error.code.number)
        if frame.request_id and not connection.writer.is_closing():
            connection.send(codec.Frame(body, reply_to=frame.request_id))

    async def send_heartbeats(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        """Send heartbeats and topic summaries until the peer is silent.

        Closes the connection after a silence of `silence_seconds`.
        """
        heartbeats_per_summary = (
            self.settings.digest_seconds / self.settings.heartbeat_seconds
        )
        for count in itertools.count():
            connection.send(codec.Frame(self.build_heartbeat()))
            if count % max(1, round(heartbeats_per_summary)) == 0:
                connection.send(codec.Frame(self.build_summaries()))
            await asyncio.sleep(self.settings.heartbeat_seconds)
            silence = clock.monotonic() - connection.last_received_at
            if silence > self.settings.silence_seconds:
                connection.close()
                return

    def drop(
        self,
        connection: peer_connection.PeerConnection,
        heartbeat_task: 'asyncio.Task[typing.Any] | None',
    ) -> None:
        """Close and remove a connection and stop its heartbeats."""
        if heartbeat_task is not None:
            heartbeat_task.cancel()
        connection.close()
        self.closed_connection_bytes += connection.bytes_sent
        connections = self.connections.get(connection.peer.vm, [])
        if connection in connections:
            connections.remove(connection)
        if not connections:
            self.connections.pop(connection.peer.vm, None)

    def log_disconnect(
        self, connection: peer_connection.PeerConnection, error: Exception
    ) -> None:
        """Log a connection that ended for a reason other than the network."""
        code = getattr(error, 'code', codes.PEER_UNREACHABLE)
        if code is not codes.PEER_UNREACHABLE:
            self.logger.warning(
                'connection refused',
                peer=connection.peer.vm,
                code=code.number,
                detail=str(error),
            )

    def send(self, name: str, body: registry.Message) -> bool:
        """Send a message to a VM if a connection to it is open.

        Returns:
            Whether the message was queued.
        """
        connections = self.connections.get(name)
        if not connections:
            return False
        connections[-1].send(codec.Frame(body))
        return True

    async def request(
        self,
        name: str,
        body: registry.Message,
        seconds: float,
    ) -> registry.Message:
        """Send a request to a VM and return its reply.

        Args:
            name: Name of the VM.
            body: The request.
            seconds: Time limit, including the time to connect.

        Raises:
            PeerError: If the VM is unreachable, does not reply in time or
                replies with a Failure.
        """
        request_id = next(self.request_ids)
        future = asyncio.get_running_loop().create_future()
        self.pending[request_id] = future
        try:
            async with asyncio.timeout(seconds):
                await self.ensure_connected(name)
                self.connections[name][-1].send(
                    codec.Frame(body, request_id=request_id)
                )
                reply = await future
        except (TimeoutError, LookupError) as error:
            raise errors.PeerError(codes.PEER_UNREACHABLE, name) from error
        finally:
            self.pending.pop(request_id, None)
        if isinstance(reply, messages.Failure):
            raise errors.PeerError(codes.PEER_UNREACHABLE, str(reply.code))
        return reply

    async def ensure_connected(self, name: str) -> None:
        """Open a connection to a known VM unless one is open.

        Concurrent callers share one attempt.
        """
        member_entry = self.members.vms.get(name)
        if self.connections.get(name) or member_entry is None:
            return
        connect_task = self.connecting.get(name)
        if connect_task is None or connect_task.done():
            connect_task = self.spawn(
                self.connect(name, member_entry.address, member_entry.port),
            )
            self.connecting[name] = connect_task
        await asyncio.shield(connect_task)

    async def maintain_connections(self) -> None:
        """Keep connections to the successors open until cancelled.

        The pause between attempts is `retry_seconds` times a random factor
        from 1 to 2.
        """
        while True:
            successors = self.members.successors()
            missing = [
                name for name in successors if not self.connections.get(name)
            ]
            await asyncio.gather(*map(self.ensure_connected, missing))
            retry_seconds = self.settings.retry_seconds
            await asyncio.sleep(retry_seconds * (1 + random.random()))

    def bytes_sent(self) -> int:
        """Return the number of bytes sent to all peers since the start."""
        open_bytes = (
            connection.bytes_sent
            for connections in self.connections.values()
            for connection in connections
        )
        return self.closed_connection_bytes + sum(open_bytes)

    def broadcast(self, body: registry.Message, excluded: str = '') -> None:
        """Send a message to every connected VM except one.

        Args:
            body: The message.
            excluded: Name of the VM that the message came from.
        """
        for name, connections in self.connections.items():
            if name != excluded:
                connections[-1].send(codec.Frame(body))

    async def close(self) -> None:
        """Cancel all tasks, which closes all connections."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def finish(attempt: 'asyncio.Future[None] | None') -> None:
    """Complete the future of a connection attempt, if there is one."""
    if attempt is not None and not attempt.done():
        attempt.set_result(None)


def empty_heartbeat() -> messages.Heartbeat:
    """Return the heartbeat of a daemon without a configuration."""
    return messages.Heartbeat(0, 0, False)
