"""Fakes of targets, peer connections and store for the policy benchmark."""

import asyncio
import dataclasses
import math
import random
import typing
from collections import abc

from sapphirepaddle import clock, errors
from sapphirepaddle.gateway import answer, attempt, target_client
from sapphirepaddle.peers import handshake, members, registry, ring
from sapphirepaddle.settings import base
from sapphirepaddle.standins import modes
from sapphirepaddle.store import memory, stored_object

HOP_SECONDS = 0.001
QUEUE_CAPACITY = 4
Fault = attempt.Fault


class FakeTarget:
    """A target with slots, a queue, shedding and gray modes.

    Attributes:
        name: Name of the target.
        zone: Availability zone of the target.
        mean_seconds: Mean execution time.
        capacity: Requests that it accepts, in slots and queue together.
        slots: Semaphore of its slots.
        in_flight: Requests in slots and queue.
        modes: Gray modes in effect.
        runs: Order identifiers of the executed requests; empty for reads.
        rng: Source of randomness.
    """

    def __init__(
        self, name: str, zone: str, slots: int, mean_seconds: float
    ) -> None:
        """Initialize a healthy target."""
        self.name = name
        self.zone = zone
        self.mean_seconds = mean_seconds
        self.capacity = slots + QUEUE_CAPACITY
        self.slots = asyncio.Semaphore(slots)
        self.in_flight = 0
        self.modes = modes.TargetModes()
        self.runs: list[str] = []
        self.rng = random.Random(name)

    async def run(self, identifier: str) -> answer.Answer:
        """Queue and execute one request.

        Raises:
            AttemptFailedError: If the target sheds the request or truncates
                its answer.
        """
        if self.in_flight >= self.capacity:
            raise attempt.AttemptFailedError(Fault.REFUSED, 'request shed')
        self.in_flight += 1
        try:
            async with self.slots:
                return await self.execute(identifier)
        finally:
            self.in_flight -= 1

    async def execute(self, identifier: str) -> answer.Answer:
        """Execute one request in a slot.

        Raises:
            AttemptFailedError: If the target truncates its answer.
        """
        self.runs.append(identifier)
        is_healthy_phase = self.modes.is_in_healthy_phase(clock.monotonic())
        active_modes = modes.NO_FAULTS if is_healthy_phase else self.modes
        duration_factor = self.rng.lognormvariate(-0.125, 0.5)
        await asyncio.sleep(
            self.mean_seconds * duration_factor + active_modes.slow_ms / 1000
        )
        if self.rng.random() < active_modes.stall_share:
            await asyncio.sleep(3600)
        if self.rng.random() < active_modes.short_share:
            raise attempt.AttemptFailedError(Fault.BROKEN, 'answer truncated')
        is_error = self.rng.random() < active_modes.error_share
        headers = [(b'x-load', b'%d' % self.in_flight)]
        return answer.Answer(500 if is_error else 200, headers)


class FakeClient:
    """Client of a target, subject to partitions between zones.

    Attributes:
        target: The fake target.
        zone: Availability zone of the daemon.
        partitioned_zones: Zones of target and daemon between which answers
            are lost.
    """

    def __init__(
        self,
        target: FakeTarget,
        zone: str,
        partitioned_zones: set[tuple[str, str]],
    ) -> None:
        """Initialize a client in a zone."""
        self.target = target
        self.zone = zone
        self.partitioned_zones = partitioned_zones

    async def send(
        self, outgoing: target_client.OutgoingRequest
    ) -> answer.Answer:
        """Send a request to the target and return the answer.

        Raises:
            AttemptFailedError: If there is no complete answer in time.
        """
        try:
            async with asyncio.timeout(outgoing.timeout_seconds):
                return await self.exchange(outgoing)
        except TimeoutError:
            raise attempt.AttemptFailedError(Fault.TIMEOUT) from None

    async def exchange(
        self, outgoing: target_client.OutgoingRequest
    ) -> answer.Answer:
        """Send a request without a timeout."""
        await asyncio.sleep(HOP_SECONDS)
        received = await self.target.run(outgoing.headers.get('order', ''))
        if (self.target.zone, self.zone) in self.partitioned_zones:
            await asyncio.sleep(3600)
        await asyncio.sleep(HOP_SECONDS)
        return received


class FakeMesh:
    """Mesh of peer connections as delayed calls within the process.

    Attributes:
        identity: Identity of the daemon in handshakes.
        meshes: Meshes of all daemons by VM.
        members: Members of the fleet.
        message_handlers: Handlers by type of message, as in the real mesh.
        connections: Connections by VM, to the neighbours on the ring.
        build_summaries: Callback of the real mesh, which is never called.
        tasks: Running tasks.
        sent: Number of messages sent and received as answers.
    """

    def __init__(
        self,
        vm: str,
        zone: str,
        meshes: dict[str, 'FakeMesh'],
        member_list: members.Members,
    ) -> None:
        """Initialize a mesh without connections."""
        self.identity = handshake.Identity(vm, zone, 1, ('-',))
        self.meshes = meshes
        self.members = member_list
        self.message_handlers: dict[type, abc.Callable[..., typing.Any]] = {}
        self.connections: dict[str, list[str]] = {}
        self.build_summaries: typing.Any = None
        self.tasks: set[typing.Any] = set()
        self.sent = 0

    def connect(self) -> None:
        """Connect to the neighbours on the ring."""
        names = ring.neighbours(self.identity.vm, self.meshes.keys())
        self.connections = {name: [name] for name in sorted(names)}

    def spawn(
        self,
        coroutine: abc.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> 'asyncio.Task[typing.Any]':
        """Run a coroutine as a task that the mesh references."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def ensure_connected(self, name: str) -> None:
        """Do nothing, as every VM counts as connected."""

    def send(self, name: str, body: registry.Message) -> bool:
        """Deliver a message after a delay and return True."""
        self.sent += 1
        loop = asyncio.get_running_loop()
        loop.call_later(HOP_SECONDS, self.deliver, name, body)
        return True

    def deliver(self, name: str, body: registry.Message) -> None:
        """Pass a message to the handler of its receiver."""
        self.meshes[name].message_handlers[type(body)](body, self.identity.vm)

    async def request(
        self,
        name: str,
        body: registry.Message,
        seconds: float,
    ) -> registry.Message:
        """Send a request to a VM and return its answer.

        Raises:
            PeerError: If the VM does not answer in time.
        """
        self.sent += 2
        await asyncio.sleep(HOP_SECONDS)
        reply = self.meshes[name].message_handlers[type(body)](
            body, self.identity.vm
        )
        if asyncio.iscoroutine(reply):
            try:
                async with asyncio.timeout(seconds):
                    reply = await reply
            except TimeoutError as error:
                raise errors.PeerError(
                    errors.codes.PEER_UNREACHABLE,
                ) from error
        await asyncio.sleep(HOP_SECONDS)
        return reply


class FaultyStore(memory.MemoryStore):
    """A store in memory with a delay and simulated outages.

    Attributes:
        is_unavailable: Whether all calls fail.
    """

    is_unavailable = False

    async def read(self, key: str) -> stored_object.StoredObject | None:
        """Return an object after a delay."""
        await self.simulate_call()
        return await super().read(key)

    async def write(
        self,
        key: str,
        body: bytes,
        expected: int,
    ) -> stored_object.StoredObject:
        """Write an object after a delay."""
        await self.simulate_call()
        return await super().write(key, body, expected)

    async def list_page(
        self, prefix: str, after: str
    ) -> list[stored_object.StoredObject]:
        """Return a page of objects after a delay."""
        await self.simulate_call()
        return await super().list_page(prefix, after)

    async def simulate_call(self) -> None:
        """Wait for the duration of a call.

        Raises:
            PlatformUnavailableError: If the store is unavailable.
        """
        await asyncio.sleep(0.004)
        if self.is_unavailable:
            raise errors.PlatformUnavailableError('simulated outage')


@dataclasses.dataclass(slots=True)
class AccountStats:
    """Requests of one client account.

    Attributes:
        sent_times: When they were sent, in seconds from the start of the run.
        served: Number of requests served.
        refused: Number of requests refused as over the rate.
    """

    sent_times: list[float] = dataclasses.field(default_factory=list)
    served: int = 0
    refused: int = 0


def unused_listener() -> base.Listener:
    """Return an address that nothing listens on."""
    return base.Listener(host='127.0.0.1', port=1)


def fraction(numerator: float, denominator: float) -> float:
    """Return a ratio; 1 if the denominator is 0."""
    return numerator / denominator if denominator else 1


def format_number(number: float) -> str:
    """Return a number for a table; a dash for infinity."""
    return '-' if math.isinf(number) else f'{number:.2f}'
