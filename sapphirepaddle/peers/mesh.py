"""Connections with other daemons: one task for each, news and questions."""

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
    peer_connection,
    members,
    messages,
    registry,
)
from sapphirepaddle.settings import base, entry
from sapphirepaddle.telemetry import logs

HANDSHAKE_SECONDS: typing.Final = 1
MessageHandler = abc.Callable[[registry.Message, str], typing.Any]


class Mesh:
    """All peer connections of a daemon.

    Attributes:
        own: How this daemon introduces itself.
        place: Where it listens; also the source of its connections.
        settings: Times of heartbeats and comparisons.
        members: The VMs of the fleet.
        links: Open connections by VM.
        answerers: Called with a message and the sender's name, by type.
        heartbeat: Returns the heartbeat to send now.
        summaries: Returns the summaries of the news held.
        pending: Questions waiting for an answer by number.
        numbers: Numbers of questions.
        tasks: One task for each connection and other running tasks.
        connecting: VMs to which a connection is being opened.
        last_heard: Time of the last frame from each VM.
        bytes_closed: Bytes sent over connections that ended.
    """

    def __init__(
        self,
        own: handshake.Identity,
        place: base.Listener,
        settings: entry.MembershipSettings,
        known: members.Members,
    ) -> None:
        """Start without connections."""
        self.identity = own
        self.listen_address = place
        self.settings = settings
        self.members = known
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
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        self.connecting: dict[str, asyncio.Task[None]] = {}
        self.last_received_at: dict[str, float] = {}
        self.bytes_closed = 0
        self.logger = logs.get_logger('peers')

    def spawn(
        self,
        work: abc.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> 'asyncio.Task[typing.Any]':
        """Run a coroutine as a task that ends with the mesh."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a connection that a peer opened."""
        task = typing.cast(
            'asyncio.Task[typing.Any]',
            asyncio.current_task(),
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        with contextlib.suppress(asyncio.CancelledError):
            await self.serve(peer_connection.PeerConnection(reader, writer))

    async def connect(self, name: str, address: str, port: int) -> None:
        """Open a connection to a peer and serve it in a task."""
        opened: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.spawn(self.open(address, port, opened))
        with contextlib.suppress(TimeoutError, errors.PeerError):
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                await opened

    async def open(
        self,
        address: str,
        port: int,
        opened: 'asyncio.Future[None]',
    ) -> None:
        """Open a connection from this daemon's own address, and serve it."""
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                streams = await asyncio.open_connection(
                    address,
                    port,
                    local_addr=(self.listen_address.host, 0),
                )
        except OSError:
            finish(opened)
            return
        await self.serve(peer_connection.PeerConnection(*streams), opened)

    async def serve(
        self,
        served: peer_connection.PeerConnection,
        opened: 'asyncio.Future[None] | None' = None,
    ) -> None:
        """Serve one connection from its introduction to its end."""
        beating = None
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                await handshake.perform_handshake(served, self.identity)
            beating = self.spawn(self.send_heartbeats(served))
            await self.receive(served, opened)
        except (errors.PeerError, OSError) as error:
            self.log_disconnect(served, error)
        finally:
            finish(opened)
            self.drop(served, beating)

    async def receive(
        self,
        served: peer_connection.PeerConnection,
        opened: 'asyncio.Future[None] | None',
    ) -> None:
        """Handle the frames of one connection until it ends.

        The peer counts as connected after its first authentic frame.
        """
        await self.handle(served, await served.receive())
        self.connections[served.peer.vm].append(served)
        finish(opened)
        while True:
            await self.handle(served, await served.receive())

    async def handle(
        self, served: peer_connection.PeerConnection, frame: codec.Frame
    ) -> None:
        """Handle one frame."""
        self.last_received_at[served.peer.vm] = served.last_received_at
        if frame.reply_to:
            self.deliver_reply(frame)
            return
        answerer = self.message_handlers.get(type(frame.body))
        if answerer is None:
            return
        outcome = answerer(frame.body, served.peer.vm)
        if inspect.isawaitable(outcome):
            self.spawn(self.send_reply(served, frame, outcome))
        elif outcome is not None:
            served.send(codec.Frame(outcome, reply_to=frame.request_id))

    def deliver_reply(self, frame: codec.Frame) -> None:
        """Hand an answer to the question that waits for it."""
        waiting = self.pending.get(frame.reply_to)
        if waiting is not None and not waiting.done():
            waiting.set_result(frame.body)

    async def send_reply(
        self,
        served: peer_connection.PeerConnection,
        frame: codec.Frame,
        outcome: abc.Awaitable[registry.Message],
    ) -> None:
        """Answer a question once its answer is there."""
        try:
            body = await outcome
        except errors.PaddleError as error:
            body = messages.Failure(error.code.number)
        if frame.request_id and not served.writer.is_closing():
            served.send(codec.Frame(body, reply_to=frame.request_id))

    async def send_heartbeats(
        self, served: peer_connection.PeerConnection
    ) -> None:
        """Send heartbeats and comparisons; end a silent connection."""
        every = self.settings.digest_seconds / self.settings.heartbeat_seconds
        for count in itertools.count():
            served.send(codec.Frame(self.build_heartbeat()))
            if count % max(1, round(every)) == 0:
                served.send(codec.Frame(self.build_summaries()))
            await asyncio.sleep(self.settings.heartbeat_seconds)
            silent = clock.monotonic() - served.last_received_at
            if silent > self.settings.silence_seconds:
                served.close()
                return

    def drop(
        self,
        served: peer_connection.PeerConnection,
        beating: 'asyncio.Task[typing.Any] | None',
    ) -> None:
        """Forget a connection that ended and stop its heartbeats."""
        if beating is not None:
            beating.cancel()
        served.close()
        self.bytes_closed += served.bytes_out
        held = self.connections.get(served.peer.vm, [])
        if served in held:
            held.remove(served)
        if not held:
            self.connections.pop(served.peer.vm, None)

    def log_disconnect(
        self, served: peer_connection.PeerConnection, error: Exception
    ) -> None:
        """Log a connection that ended for a fault of the peer."""
        code = getattr(error, 'code', codes.PEER_UNREACHABLE)
        if code is not codes.PEER_UNREACHABLE:
            self.logger.warning(
                'connection refused',
                peer=served.peer.vm,
                code=code.number,
                detail=str(error),
            )

    def send(self, name: str, body: registry.Message) -> bool:
        """Send a message to a VM with an open connection.

        Returns:
            Whether there is one.
        """
        held = self.connections.get(name)
        if not held:
            return False
        held[-1].send(codec.Frame(body))
        return True

    async def request(
        self,
        name: str,
        body: registry.Message,
        seconds: float,
    ) -> registry.Message:
        """Ask a VM and return its answer.

        Raises:
            PeerError: If it cannot be reached or does not answer in time.
        """
        number = next(self.numbers)
        waiting = asyncio.get_running_loop().create_future()
        self.pending[number] = waiting
        try:
            async with asyncio.timeout(seconds):
                await self.ensure_connected(name)
                self.connections[name][-1].send(
                    codec.Frame(body, request_id=number)
                )
                answer = await waiting
        except (TimeoutError, LookupError) as error:
            raise errors.PeerError(codes.PEER_UNREACHABLE, name) from error
        finally:
            self.pending.pop(number, None)
        if isinstance(answer, messages.Failure):
            raise errors.PeerError(codes.PEER_UNREACHABLE, str(answer.code))
        return answer

    async def ensure_connected(self, name: str) -> None:
        """Open a connection to a VM unless there is one."""
        listed = self.members.vms.get(name)
        if self.connections.get(name) or listed is None:
            return
        running = self.connecting.get(name)
        if running is None or running.done():
            running = self.spawn(
                self.connect(name, listed.address, listed.port),
            )
            self.connecting[name] = running
        await asyncio.shield(running)

    async def maintain_connections(self) -> None:
        """Keep connections to the successors on the ring."""
        while True:
            wanted = self.members.successors()
            missing = [
                name for name in wanted if not self.connections.get(name)
            ]
            await asyncio.gather(*map(self.ensure_connected, missing))
            pause = self.settings.retry_seconds
            await asyncio.sleep(pause * (1 + random.random()))

    def bytes_sent(self) -> int:
        """Return the bytes sent to all peers since the start."""
        opened = (
            served.bytes_out
            for held in self.connections.values()
            for served in held
        )
        return self.bytes_closed + sum(opened)

    def broadcast(self, body: registry.Message, skipped: str = '') -> None:
        """Send a message over every connection but one.

        Args:
            body: The message.
            skipped: The VM it came from.
        """
        for name, held in self.connections.items():
            if name != skipped:
                held[-1].send(codec.Frame(body))

    async def close(self) -> None:
        """End all connections."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def finish(opened: 'asyncio.Future[None] | None') -> None:
    """Tell a waiting opener that the attempt is over."""
    if opened is not None and not opened.done():
        opened.set_result(None)


def empty_heartbeat() -> messages.Heartbeat:
    """Return the heartbeat of a daemon that knows nothing."""
    return messages.Heartbeat(0, 0, False)
