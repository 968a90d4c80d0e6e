"""A deployment on virtual time: real deciding parts, fake surroundings."""

import asyncio
import collections
import dataclasses
import itertools
import pathlib
import random

from bench import baselines, policy_fakes
from sapphirepaddle import clock, codes, errors
from sapphirepaddle.claims import claim_log, claimed_requests
from sapphirepaddle.cli import settings_check
from sapphirepaddle.fleet import observation_exchange
from sapphirepaddle.gateway import request_context, dispatch, head, limiter
from sapphirepaddle.limits import owner, ownership, quota_limiter
from sapphirepaddle.objects import change, configuration
from sapphirepaddle.peers import gossip, members
from sapphirepaddle.settings import entry, loader
from sapphirepaddle.telemetry import counters

ROOT = pathlib.Path(__file__).parent.parent
TRACE_SECONDS = 20
FAULT_AT_SECONDS = 6
WARMUP_SECONDS = 12
MEAN_SECONDS = 0.06
SAMPLE_SECONDS = 0.05
BASELINES = frozenset(('round robin', 'consecutive errors'))


@dataclasses.dataclass(slots=True)
class Seed:
    """Seed of all randomness of a run.

    Attributes:
        number: The seed.
    """

    number: int = 11


SEED = Seed()


class PolicyDispatcher(dispatch.Dispatcher):
    """A dispatcher whose clients reach fake targets."""

    fake_targets: dict[str, policy_fakes.FakeTarget]
    partitioned_zones: set[tuple[str, str]]
    zone: str

    def client(self, chosen, configured):
        """Return the client of a fake target."""
        fake = self.fake_targets[chosen.target.name]
        return policy_fakes.FakeClient(fake, self.zone, self.partitioned_zones)


class Node:
    """One daemon: the deciding parts, without listeners."""

    def __init__(self, world: 'Simulation', name: str, zone: str) -> None:
        """Create and connect the parts."""
        settings = world.settings
        self.members = members.Members(name, zone)
        self.mesh = policy_fakes.FakeMesh(
            name,
            zone,
            world.meshes,
            self.members,
        )
        world.meshes[name] = self.mesh
        totals = counters.Counters()
        self.gossip = gossip.Gossip(self.mesh, totals)
        self.table = baselines.PolicyTable(
            zone,
            settings.routing,
            clock.monotonic,
            random.Random(f'{name} {SEED.number}'),
        )
        self.table.policy = world.policy
        self.dispatcher = PolicyDispatcher(
            settings.routing,
            self.table,
            totals,
            name,
        )
        self.dispatcher.fake_targets = world.targets
        self.dispatcher.partitioned_zones = world.partitioned_zones
        self.dispatcher.zone = zone
        self.evidence = observation_exchange.ObservationExchange(
            settings.routing,
            self.dispatcher,
            self.members,
            self.gossip,
            totals,
        )
        self.owner = owner.QuotaOwner(
            name,
            settings.limits,
            world.current.accounts.get,
        )
        self.limits = world.create_limiter(settings.limits, self, totals)
        claims = claim_log.ClaimLog(
            settings.claims,
            world.store,
            self.members,
            self.mesh,
        )
        self.orders = claimed_requests.ClaimedRequestRunner(
            settings.claims,
            claims,
            self.dispatcher,
            totals,
        )

    def start(self, world: 'Simulation') -> None:
        """Take up the configuration and the ownership of quota."""
        self.table.configure(world.current)
        if world.policy in BASELINES:
            self.use_baseline_views()
        self.owner.resume(clock.monotonic())
        self.owner.apply_ownership(world.owners, 1, clock.monotonic())
        self.mesh.connect()

    def use_baseline_views(self) -> None:
        """Take evidence as the baselines do."""
        for room in self.table.queues.values():
            for held in room.pool.views.values():
                held.__class__ = baselines.BaselineView

    async def tick_owner(self) -> None:
        """Note that the process runs."""
        while True:
            self.owner.tick(clock.monotonic())
            await asyncio.sleep(0.1)


@dataclasses.dataclass(slots=True)
class RunStats:
    """What happened in one run.

    Attributes:
        accounts: By client account.
        times: Seconds to the answers of served reads.
        reads: Reads sent.
        reads_served: Reads served.
        orders: Orders sent.
        orders_served: Orders served.
        excluded: Seconds until half the daemons excluded each target.
        avoided: Pairs of daemon and healthy target that was avoided.
    """

    accounts: dict[str, policy_fakes.AccountStats] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(
            policy_fakes.AccountStats,
        ),
    )
    read_seconds: list[float] = dataclasses.field(default_factory=list)
    reads: int = 0
    reads_served: int = 0
    orders: int = 0
    orders_served: int = 0
    excluded_seconds: dict[str, float] = dataclasses.field(default_factory=dict)
    avoided_pairs: set[tuple[str, str]] = dataclasses.field(default_factory=set)


class Simulation:
    """A deployment under one policy in one scenario."""

    def __init__(
        self,
        deployment: str,
        policy: str,
        scenario: str,
        daemons: int,
    ) -> None:
        """Read the sample configuration and create everything."""
        self.deployment = deployment
        self.policy = policy
        self.scenario = scenario
        self.rng = random.Random(f'{deployment} {scenario} {SEED.number}')
        folder = ROOT / 'samples' / deployment
        self.settings = read_settings(folder, policy)
        self.current = read_configuration(folder)
        self.zones = sorted(self.current.zones)
        self.targets = {
            held.name: policy_fakes.FakeTarget(
                held.name,
                held.zone,
                self.current.services[held.service].slots,
                MEAN_SECONDS,
            )
            for held in self.current.targets.values()
        }
        self.partitioned_zones: set[tuple[str, str]] = set()
        self.store = policy_fakes.FaultyStore()
        self.meshes: dict[str, policy_fakes.FakeMesh] = {}
        self.nodes = [
            Node(self, f'vm{number}', self.zones[number % 3])
            for number in range(daemons)
        ]
        names = [node.members.local_vm for node in self.nodes]
        empty = ownership.Ownership()
        self.owners = ownership.Ownership(
            ownership.assign(
                empty,
                range(self.settings.limits.partitions),
                names,
            ),
        )
        self.stats = RunStats()
        self.started: float = 0
        self.faulty: set[str] = set()

    async def run(self) -> RunStats:
        """Run the scenario."""
        self.set_members()
        for node in self.nodes:
            node.start(self)
        standing = [
            asyncio.create_task(work)
            for node in self.nodes
            for work in (node.evidence.run(), node.tick_owner())
        ]
        await asyncio.sleep(WARMUP_SECONDS)
        self.started = clock.monotonic()
        standing.append(asyncio.create_task(self.sample_exclusions()))
        standing.append(asyncio.create_task(self.inject_faults()))
        await asyncio.gather(*(self.send(*line) for line in self.requests()))
        for task in standing:
            task.cancel()
        await asyncio.gather(*standing, return_exceptions=True)
        return self.stats

    def create_limiter(
        self,
        settings: entry.LimitSettings,
        node: Node,
        totals: counters.Counters,
    ) -> limiter.Limiter:
        """Return what limits client accounts at a daemon."""
        return quota_limiter.QuotaLimiter(
            settings, node.owner, node.mesh, totals
        )

    def set_members(self) -> None:
        """Make all daemons know each other."""
        for node in self.nodes:
            node.members.replace(
                {
                    other.members.local_vm: members.local_entry(
                        policy_fakes.unused_listener(),
                        other.members.local_zone,
                        'live',
                    )
                    for other in self.nodes
                }
            )

    def requests(self) -> list[tuple[float, str, str, str]]:
        """Return time, account, route and order identifier of requests."""
        routes = [
            held
            for held in self.current.routes.values()
            if held.access == 'keyed'
        ]
        reads = [held.name for held in routes if held.idempotent]
        writes = [held.name for held in routes if not held.idempotent]
        numbers = itertools.count()
        found = []
        for account in self.current.accounts.values():
            rate = account.rate * (
                0.9 if self.is_within_rate(account.name) else 4
            )
            at = self.rng.expovariate(rate)
            while at < TRACE_SECONDS:
                order = self.rng.random() < 0.2
                route = self.rng.choice(writes if order else reads)
                name = f'o{next(numbers)}' if order else ''
                found.append((at, account.name, route, name))
                at += self.rng.expovariate(rate)
        return sorted(found)

    def is_within_rate(self, account: str) -> bool:
        """Tell whether an account keeps to its rate."""
        first = next(iter(self.current.accounts))
        return self.scenario not in {'flood', 'all'} or account != first

    async def send(
        self,
        at: float,
        account: str,
        route: str,
        order: str,
    ) -> None:
        """Send one request to a daemon and note what became of it."""
        await asyncio.sleep(self.started + at - clock.monotonic())
        node = self.choose_node()
        held = self.current.accounts[account]
        booked = self.stats.accounts[account]
        booked.times.append(at)
        self.stats.orders += bool(order)
        self.stats.reads += not order
        try:
            await node.limits.admit(held)
            await self.run_request(node, account, route, order)
        except errors.RefusedError as error:
            booked.refused += error.code is codes.OVER_RATE
            return
        booked.served += 1
        self.stats.orders_served += bool(order)
        if not order:
            self.stats.reads_served += 1
            elapsed = clock.monotonic() - self.started - at
            self.stats.read_seconds.append(elapsed)

    def choose_node(self) -> Node:
        """Return the daemon that gets the next request."""
        return self.rng.choice(self.nodes)

    async def run_request(
        self,
        node: Node,
        account: str,
        route: str,
        order: str,
    ) -> None:
        """Run one request at a daemon.

        Raises:
            RefusedError: If it is refused or answered with an error.
        """
        index = {b'idempotency-key': order.encode()} if order else {}
        request = request_context.RequestContext(
            order or 'r',
            head.Head(
                'POST', '/', '/', [(b'order', order.encode())], index, ''
            ),
            self.current.routes[route],
            self.current.accounts[account],
        )
        run = node.orders.run if order else node.dispatcher.run
        received = await run(request)
        if received.status >= 500:
            raise errors.RefusedError(codes.ANSWER_BROKEN)

    def first_target(self, number: int = 0) -> policy_fakes.FakeTarget:
        """Return a target of the first read service."""
        reads = [
            held
            for held in self.current.routes.values()
            if held.idempotent and held.access == 'keyed'
        ]
        names = [
            held.name
            for held in self.current.targets.values()
            if held.service == reads[0].service
        ]
        return self.targets[names[number]]

    async def inject_faults(self) -> None:
        """Bring about the faults of the scenario."""
        await asyncio.sleep(FAULT_AT_SECONDS)
        everything = self.scenario == 'all'
        single = {
            'slow': {'slow_ms': 2000},
            'erring': {'error_share': 1},
            'stalling': {'stall_share': 1},
            'flapping': {'error_share': 1, 'flap_seconds': 1.5},
        }
        gray = single.get(self.scenario)
        if everything:
            gray = single['stalling']
        if gray:
            fake = self.first_target()
            fake.modes = policy_fakes.modes.TargetModes(**gray)
            self.faulty.add(fake.name)
        if self.scenario == 'zone cut' or everything:
            self.partitioned_zones.add((self.zones[1], self.zones[0]))
        if self.scenario == 'zone emptied' or everything:
            self.empty_zone(self.zones[2])
        if self.scenario == 'store outage' or everything:
            self.store.down = True

    def empty_zone(self, zone: str) -> None:
        """Empty a zone at every daemon."""
        held = self.current.zones[zone]
        self.current.zones[zone] = dataclasses.replace(held, state='emptied')
        for node in self.nodes:
            node.table.configure(self.current)

    async def sample_exclusions(self) -> None:
        """Note which targets daemons exclude."""
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            now = clock.monotonic()
            counts: collections.Counter[str] = collections.Counter()
            for node in self.nodes:
                counts.update(self.excluded_by(node, now))
            for name, count in counts.items():
                if count * 2 >= len(self.nodes):
                    self.stats.excluded_seconds.setdefault(
                        name, now - self.started
                    )

    def excluded_by(self, node: Node, now: float) -> list[str]:
        """Return the targets that a daemon excludes by evidence."""
        found = [
            name
            for room in node.table.queues.values()
            for name, held in room.pool.views.items()
            if name not in room.pool.unavailable
            and held not in room.pool.routing_set(now)
        ]
        self.stats.avoided_pairs.update(
            (node.members.local_vm, name)
            for name in found
            if name not in self.faulty
        )
        return found


def read_settings(folder: pathlib.Path, policy: str) -> entry.EntrySettings:
    """Read the sample settings; the version "alone" pools no evidence."""
    settings = loader.load(folder / 'entry.jsonc', entry.EntrySettings)
    routing = settings.routing.model_copy(update={'judge': policy == 'ours'})
    return settings.model_copy(update={'routing': routing})


def read_configuration(folder: pathlib.Path) -> configuration.Configuration:
    """Read the sample configuration."""
    current = configuration.Configuration()
    current.apply(
        change.Change(
            revision=1,
            author='bench',
            reason='bench',
            token='bench',
            at=0,
            puts=settings_check.read_objects(folder / 'configuration.jsonc'),
        ),
    )
    return current
