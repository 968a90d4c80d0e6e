"""Small fakes of targets and peer connections for the policy benchmark."""

import asyncio
import dataclasses
import math
import random
import typing
from collections import abc

from sapphirepaddle import clock, errors
from sapphirepaddle.gateway import answer, attempt, target_client
from sapphirepaddle.peers import handshake, members, registry, ring
from sapphirepaddle.store import memory, stored_object
from sapphirepaddle.settings import base
from sapphirepaddle.standins import modes

HOP_SECONDS = 0.001
QUEUE = 4
Fault = attempt.Fault


class FakeTarget:
    """A target with slots, a queue, shedding and gray modes.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        mean: Mean time of a run in seconds.
        room: Requests that it holds.
        inside: Requests inside.
        modes: Gray modes in force.
        runs: Identifiers of its runs.
    """

    def __init__(self, name: str, zone: str, slots: int, mean: float) -> None:
        """Start healthy."""
        self.name = name
        self.zone = zone
        self.mean = mean
        self.capacity = slots + QUEUE
        self.slots = asyncio.Semaphore(slots)
        self.in_flight = 0
        self.modes = modes.TargetModes()
        self.runs: list[str] = []
        self.rng = random.Random(name)

    async def run(self, identifier: str) -> answer.Answer:
        """Run one request.

        Raises:
            AttemptFailedError: If it sheds, or cuts its answer short.
        """
        if self.in_flight >= self.capacity:
            raise attempt.AttemptFailedError(Fault.REFUSED, 'shed')
        self.in_flight += 1
        try:
            async with self.slots:
                return await self.execute(identifier)
        finally:
            self.in_flight -= 1

    async def execute(self, identifier: str) -> answer.Answer:
        """Run one request in a slot."""
        self.runs.append(identifier)
        off = self.modes.is_in_healthy_phase(clock.monotonic())
        mode = modes.NO_FAULTS if off else self.modes
        spread = self.rng.lognormvariate(-0.125, 0.5)
        await asyncio.sleep(self.mean * spread + mode.slow_ms / 1000)
        if self.rng.random() < mode.stall_share:
            await asyncio.sleep(3600)
        if self.rng.random() < mode.short_share:
            raise attempt.AttemptFailedError(Fault.BROKEN, 'short')
        erring = self.rng.random() < mode.error_share
        headers = [(b'x-load', b'%d' % self.in_flight)]
        return answer.Answer(500 if erring else 200, headers)


class FakeClient:
    """Reaches a target from one zone, unless the way is cut.

    Attributes:
        target: The target.
        zone: Zone of the daemon.
        cuts: Pairs of zones whose answers do not arrive.
    """

    def __init__(
        self,
        target: FakeTarget,
        zone: str,
        cuts: set[tuple[str, str]],
    ) -> None:
        """Store the way."""
        self.target = target
        self.zone = zone
        self.partitioned_zones = cuts

    async def send(
        self, sending: target_client.OutgoingRequest
    ) -> answer.Answer:
        """Run a request at the target.

        Raises:
            AttemptFailedError: If there is no whole answer in time.
        """
        try:
            async with asyncio.timeout(sending.timeout_seconds):
                return await self.exchange(sending)
        except TimeoutError:
            raise attempt.AttemptFailedError(Fault.TIMEOUT) from None

    async def exchange(
        self, sending: target_client.OutgoingRequest
    ) -> answer.Answer:
        """Run a request without a limit of time."""
        await asyncio.sleep(HOP_SECONDS)
        received = await self.target.run(sending.headers.get('order', ''))
        if (self.target.zone, self.zone) in self.partitioned_zones:
            await asyncio.sleep(3600)
        await asyncio.sleep(HOP_SECONDS)
        return received


class FakeMesh:
    """Peer connections as calls within the process, with a delay.

    Attributes:
        own: How the daemon introduces itself.
        others: All meshes by VM.
        answerers: As in the real mesh.
        links: VMs on the ring that news go to.
        sent: Messages sent, by type.
    """

    def __init__(
        self,
        vm: str,
        zone: str,
        others: dict[str, 'FakeMesh'],
        known: members.Members,
    ) -> None:
        """Take part in the fleet."""
        self.identity = handshake.Identity(vm, zone, 1, ('-',))
        self.meshes = others
        self.members = known
        self.message_handlers: dict[type, abc.Callable[..., typing.Any]] = {}
        self.connections: dict[str, list[str]] = {}
        self.build_summaries: typing.Any = None
        self.tasks: set[typing.Any] = set()
        self.sent = 0

    def connect(self) -> None:
        """Link with the ring's neighbours."""
        names = ring.neighbours(self.identity.vm, self.meshes.keys())
        self.connections = {name: [name] for name in sorted(names)}

    def spawn(
        self,
        work: abc.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> 'asyncio.Task[typing.Any]':
        """Run a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def ensure_connected(self, name: str) -> None:
        """Count every VM as connected."""

    def send(self, name: str, body: registry.Message) -> bool:
        """Deliver a message after a delay."""
        self.sent += 1
        loop = asyncio.get_running_loop()
        loop.call_later(HOP_SECONDS, self.deliver, name, body)
        return True

    def deliver(self, name: str, body: registry.Message) -> None:
        """Hand a message to its receiver."""
        self.meshes[name].message_handlers[type(body)](body, self.identity.vm)

    async def request(
        self,
        name: str,
        body: registry.Message,
        seconds: float,
    ) -> registry.Message:
        """Ask a VM and return its answer.

        Raises:
            PeerError: If it does not answer in time.
        """
        self.sent += 2
        await asyncio.sleep(HOP_SECONDS)
        outcome = self.meshes[name].message_handlers[type(body)](
            body, self.identity.vm
        )
        if asyncio.iscoroutine(outcome):
            try:
                async with asyncio.timeout(seconds):
                    outcome = await outcome
            except TimeoutError as error:
                raise errors.PeerError(
                    errors.codes.PEER_UNREACHABLE,
                ) from error
        await asyncio.sleep(HOP_SECONDS)
        return outcome


class FaultyStore(memory.MemoryStore):
    """A store in memory that can be silent.

    Attributes:
        down: Whether it is.
    """

    down = False

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
        """Take the time of a call, or be silent.

        Raises:
            PlatformUnavailableError: If it is silent.
        """
        await asyncio.sleep(0.004)
        if self.down:
            raise errors.PlatformUnavailableError('down')


@dataclasses.dataclass(slots=True)
class AccountStats:
    """Requests of one client account.

    Attributes:
        times: When they were sent.
        served: Requests served.
        refused: Requests refused as over rate.
    """

    times: list[float] = dataclasses.field(default_factory=list)
    served: int = 0
    refused: int = 0


def unused_listener() -> base.Listener:
    """Return an address that nothing listens on."""
    return base.Listener(host='127.0.0.1', port=1)


def fraction(part: float, whole: float) -> float:
    """Return a share; 1 if there is no whole."""
    return part / whole if whole else 1


def format_number(number: float) -> str:
    """Return a number for a table; a dash if there is none."""
    return '-' if math.isinf(number) else f'{number:.2f}'
