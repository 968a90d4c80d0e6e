"""The faults of one run, drawn from its seed."""

import asyncio
import collections
import functools
import random
import time
import typing

from soak import checker, datagram_partitions, target, testbed

Fault = typing.Callable[[testbed.Testbed, float], typing.Awaitable[None]]
FAULTS: dict[str, Fault] = {}
MAX_GRAY_TARGETS = 4


def fault(work: Fault) -> Fault:
    """Register a kind of fault under its name."""
    FAULTS[work.__name__] = work
    return work


ScheduledFault = tuple[float, str, float]


PARTITION_PAUSE_SECONDS = 3.0
MAX_PARTITION_SECONDS = 6.0
PARTITION_SEED_STRIDE = 1000
"""Distance of the seeds that draw cuts of datagrams from the others."""
STALE_SEED_STRIDE = 2000
"""The same for late reads of the store."""
STALE_PAUSE_SECONDS = 4.0
MAX_STALE_SECONDS = 5.0


class FaultSchedule:
    """What happens when.

    Attributes:
        entries: Seconds from the start, kind and length of each fault.
        cuts: Draws the cuts of datagrams, which come beside the others.
        lags: Draws when reads of the store may be late, likewise.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        """Draw the faults; some overlap and some come twice."""
        chance = random.Random(seed)
        at = 1.0
        self.scheduled_faults: list[ScheduledFault] = []
        while at < seconds - 4:
            kind = chance.choice(sorted(FAULTS))
            self.scheduled_faults.append((at, kind, chance.uniform(0.5, 5)))
            at += chance.expovariate(1 / 1.2)
        self.partition_rng = random.Random(seed * PARTITION_SEED_STRIDE + 1)
        self.stale_rng = random.Random(seed * STALE_SEED_STRIDE + 1)

    async def run(self, held: testbed.Testbed) -> None:
        """Let the faults happen."""
        start = time.monotonic()
        running = []
        for at, kind, seconds in self.scheduled_faults:
            await asyncio.sleep(max(0, start + at - time.monotonic()))
            work = FAULTS[kind](held, seconds)
            running.append(asyncio.create_task(work))
        await asyncio.gather(*running)

    async def partition_datagrams(
        self, held: testbed.Testbed, until: float
    ) -> None:
        """Cut datagrams between daemons, again and again."""
        hosts = [daemon.host for daemon in held.daemons.values()]
        while len(hosts) > 1:
            await asyncio.sleep(
                self.partition_rng.expovariate(1 / PARTITION_PAUSE_SECONDS)
            )
            if time.monotonic() > until:
                return
            held.datagram_partitions.replace_links(
                datagram_partitions.draw_links(self.partition_rng, hosts)
            )
            await asyncio.sleep(
                self.partition_rng.uniform(0.5, MAX_PARTITION_SECONDS)
            )
            held.datagram_partitions.replace_links(())

    async def make_reads_stale(
        self, held: testbed.Testbed, until: float
    ) -> None:
        """Let reads that may be late see no change, again and again."""
        while True:
            pause = self.stale_rng.expovariate(1 / STALE_PAUSE_SECONDS)
            await asyncio.sleep(pause)
            if time.monotonic() > until:
                return
            held.source.stale_revision = held.source.revision
            await asyncio.sleep(self.stale_rng.uniform(0.5, MAX_STALE_SECONDS))
            held.source.stale_revision = None

    def kinds(self) -> dict[str, int]:
        """Return how often each kind comes."""
        return dict(
            collections.Counter(kind for _, kind, _ in self.scheduled_faults)
        )


def pick_daemon(held: testbed.Testbed) -> typing.Any:
    """Return a daemon that runs, or None."""
    able = [
        daemon
        for daemon in held.daemons.values()
        if daemon.takes_callers and not daemon.is_paused
    ]
    if len(able) < len(held.daemons) / 2:
        return None
    chosen = held.rng.choice(able)
    chosen.is_paused = True
    return chosen


@fault
async def kill(held: testbed.Testbed, _seconds: float) -> None:
    """Kill a daemon; it starts again."""
    daemon = pick_daemon(held)
    if daemon is not None:
        await held.kill_daemon(daemon)
        daemon.is_paused = False


@fault
async def stop(held: testbed.Testbed, _seconds: float) -> None:
    """Stop a daemon as planned; it starts again."""
    daemon = pick_daemon(held)
    if daemon is not None:
        await held.stop_daemon(daemon)
        daemon.is_paused = False


@fault
async def pause(held: testbed.Testbed, seconds: float) -> None:
    """Let a daemon stand still."""
    daemon = pick_daemon(held)
    if daemon is not None:
        await held.pause_daemon(daemon, seconds)
        daemon.is_paused = False


@fault
async def store(held: testbed.Testbed, seconds: float) -> None:
    """Let the store refuse, be silent or slow, or lose answers."""
    start = time.monotonic()
    faults = held.store.faults
    which = held.rng.choice(('refuse', 'silent', 'slow', 'lose'))
    faults.is_refusing = which == 'refuse'
    faults.is_silent = which == 'silent'
    faults.loses_answers = which == 'lose'
    faults.delay_seconds = 0.5 if which == 'slow' else 0
    await asyncio.sleep(seconds)
    held.store.faults = type(faults)()
    held.record_disturbance(which, checker.STORE, start)


@fault
async def history(held: testbed.Testbed, _seconds: float) -> None:
    """Let the store forget its history."""
    start = time.monotonic()
    held.source.drop_history()
    held.record_disturbance('history', checker.STORE, start)


@fault
async def link(held: testbed.Testbed, seconds: float) -> None:
    """Cut, slow or reset the links of some daemons to the store."""
    start = time.monotonic()
    names = held.rng.sample(sorted(held.links), len(held.links) // 3 + 1)
    which = held.rng.choice(('out', 'back', 'both', 'delay', 'reset'))
    for name in names:
        faults = held.links[name].faults
        faults.is_outbound_partitioned = which in {'out', 'both'}
        faults.is_inbound_partitioned = which in {'back', 'both'}
        faults.delay_seconds = 0.3 if which == 'delay' else 0
        if which == 'reset':
            held.links[name].reset()
    await asyncio.sleep(seconds)
    for name in names:
        held.links[name].faults = type(held.links[name].faults)()
        held.record_disturbance(f'link {which}', name, start)


async def gray(held: testbed.Testbed, seconds: float, failure: str) -> None:
    """Let some targets fail a part of what they get, in one way."""
    start = time.monotonic()
    able = sorted(held.targets)
    names = held.rng.sample(able, min(MAX_GRAY_TARGETS, len(able)))
    for name in names:
        faults = held.targets[name].faults
        faults.failure_ratio = held.rng.uniform(0.1, 0.9)
        faults.failure = failure
        faults.slowdown_factor = held.rng.choice((1, 1, 5))
    await asyncio.sleep(seconds)
    for name in names:
        held.record_disturbance('gray', name, start)
        if name in held.targets:
            held.targets[name].faults = target.TargetFaults()


FAULTS.update(
    (f'gray {way}', functools.partial(gray, failure=way))
    for way in target.FAILURES
)


@fault
async def crash(held: testbed.Testbed, seconds: float) -> None:
    """Let a target die and come back as another start."""
    able = sorted(held.targets)
    if len(able) < testbed.TARGETS_PER_SERVICE:
        return
    start = time.monotonic()
    gone = held.targets.pop(held.rng.choice(able))
    await gone.stop()
    await asyncio.sleep(seconds)
    await held.write_target(gone.name, None)
    held.record_disturbance('crash', gone.name, start)
    await held.add_target(gone.service)


@fault
async def replace(held: testbed.Testbed, _seconds: float) -> None:
    """Empty a target and give its address to another service."""
    able = sorted(held.targets)
    if len(able) > testbed.TARGETS_PER_SERVICE:
        await held.replace_target(held.targets[held.rng.choice(able)])


@fault
async def configure(held: testbed.Testbed, _seconds: float) -> None:
    """Write some configurations in quick succession."""
    for _ in range(held.rng.randint(1, 3)):
        await held.configure(held.key_version + held.rng.randint(0, 1))
        await asyncio.sleep(0.3)
