"""The faults of one run, drawn from its seed."""

import asyncio
import collections
import functools
import random
import time
import typing

from soak import checker, datagram_cuts, target, world

Fault = typing.Callable[[world.World, float], typing.Awaitable[None]]
FAULTS: dict[str, Fault] = {}
MOST_GRAY = 4


def fault(work: Fault) -> Fault:
    """Register a kind of fault under its name."""
    FAULTS[work.__name__] = work
    return work


Entry = tuple[float, str, float]


CUT_PAUSE_SECONDS = 3.0
MOST_CUT_SECONDS = 6.0
CUT_SEEDS = 1000
"""Distance of the seeds that draw cuts of datagrams from the others."""
LATE_SEEDS = 2000
"""The same for late reads of the store."""
LATE_PAUSE_SECONDS = 4.0
MOST_LATE_SECONDS = 5.0


class Schedule:
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
        self.entries: list[Entry] = []
        while at < seconds - 4:
            kind = chance.choice(sorted(FAULTS))
            self.entries.append((at, kind, chance.uniform(0.5, 5)))
            at += chance.expovariate(1 / 1.2)
        self.cuts = random.Random(seed * CUT_SEEDS + 1)
        self.lags = random.Random(seed * LATE_SEEDS + 1)

    async def run(self, held: world.World) -> None:
        """Let the faults happen."""
        start = time.monotonic()
        running = []
        for at, kind, seconds in self.entries:
            await asyncio.sleep(max(0, start + at - time.monotonic()))
            work = FAULTS[kind](held, seconds)
            running.append(asyncio.create_task(work))
        await asyncio.gather(*running)

    async def cut_datagrams(self, held: world.World, until: float) -> None:
        """Cut datagrams between daemons, again and again."""
        hosts = [daemon.host for daemon in held.daemons.values()]
        while len(hosts) > 1:
            await asyncio.sleep(self.cuts.expovariate(1 / CUT_PAUSE_SECONDS))
            if time.monotonic() > until:
                return
            held.cuts.change(datagram_cuts.draw(self.cuts, hosts))
            await asyncio.sleep(self.cuts.uniform(0.5, MOST_CUT_SECONDS))
            held.cuts.change(())

    async def delay_reads(self, held: world.World, until: float) -> None:
        """Let reads that may be late see no change, again and again."""
        while True:
            pause = self.lags.expovariate(1 / LATE_PAUSE_SECONDS)
            await asyncio.sleep(pause)
            if time.monotonic() > until:
                return
            held.source.stale_revision = held.source.revision
            await asyncio.sleep(self.lags.uniform(0.5, MOST_LATE_SECONDS))
            held.source.stale_revision = None

    def kinds(self) -> dict[str, int]:
        """Return how often each kind comes."""
        return dict(collections.Counter(kind for _, kind, _ in self.entries))


def pick(held: world.World) -> typing.Any:
    """Return a daemon that runs, or None."""
    able = [
        daemon
        for daemon in held.daemons.values()
        if daemon.takes_callers and not daemon.is_paused
    ]
    if len(able) < len(held.daemons) / 2:
        return None
    chosen = held.chance.choice(able)
    chosen.is_paused = True
    return chosen


@fault
async def kill(held: world.World, _seconds: float) -> None:
    """Kill a daemon; it starts again."""
    daemon = pick(held)
    if daemon is not None:
        await held.kill_daemon(daemon)
        daemon.is_paused = False


@fault
async def stop(held: world.World, _seconds: float) -> None:
    """Stop a daemon as planned; it starts again."""
    daemon = pick(held)
    if daemon is not None:
        await held.stop_daemon(daemon)
        daemon.is_paused = False


@fault
async def pause(held: world.World, seconds: float) -> None:
    """Let a daemon stand still."""
    daemon = pick(held)
    if daemon is not None:
        await held.pause_daemon(daemon, seconds)
        daemon.is_paused = False


@fault
async def store(held: world.World, seconds: float) -> None:
    """Let the store refuse, be silent or slow, or lose answers."""
    start = time.monotonic()
    faults = held.store.faults
    which = held.chance.choice(('refuse', 'silent', 'slow', 'lose'))
    faults.is_refusing = which == 'refuse'
    faults.is_silent = which == 'silent'
    faults.are_answers_lost = which == 'lose'
    faults.delay = 0.5 if which == 'slow' else 0
    await asyncio.sleep(seconds)
    held.store.faults = type(faults)()
    held.note(which, checker.STORE, start)


@fault
async def history(held: world.World, _seconds: float) -> None:
    """Let the store forget its history."""
    start = time.monotonic()
    held.source.drop_history()
    held.note('history', checker.STORE, start)


@fault
async def link(held: world.World, seconds: float) -> None:
    """Cut, slow or reset the links of some daemons to the store."""
    start = time.monotonic()
    names = held.chance.sample(sorted(held.links), len(held.links) // 3 + 1)
    which = held.chance.choice(('out', 'back', 'both', 'delay', 'reset'))
    for name in names:
        faults = held.links[name].faults
        faults.is_cut_out = which in {'out', 'both'}
        faults.is_cut_back = which in {'back', 'both'}
        faults.delay = 0.3 if which == 'delay' else 0
        if which == 'reset':
            held.links[name].reset()
    await asyncio.sleep(seconds)
    for name in names:
        held.links[name].faults = type(held.links[name].faults)()
        held.note(f'link {which}', name, start)


async def gray(held: world.World, seconds: float, way: str) -> None:
    """Let some targets fail a part of what they get, in one way."""
    start = time.monotonic()
    able = sorted(held.targets)
    names = held.chance.sample(able, min(MOST_GRAY, len(able)))
    for name in names:
        faults = held.targets[name].faults
        faults.share = held.chance.uniform(0.1, 0.9)
        faults.way = way
        faults.slowness = held.chance.choice((1, 1, 5))
    await asyncio.sleep(seconds)
    for name in names:
        held.note('gray', name, start)
        if name in held.targets:
            held.targets[name].faults = target.TargetFaults()


FAULTS.update(
    (f'gray {way}', functools.partial(gray, way=way)) for way in target.FAILURES
)


@fault
async def crash(held: world.World, seconds: float) -> None:
    """Let a target die and come back as another start."""
    able = sorted(held.targets)
    if len(able) < world.TARGETS_A_SERVICE:
        return
    start = time.monotonic()
    gone = held.targets.pop(held.chance.choice(able))
    await gone.stop()
    await asyncio.sleep(seconds)
    await held.write(gone.name, None)
    held.note('crash', gone.name, start)
    await held.add_target(gone.service)


@fault
async def replace(held: world.World, _seconds: float) -> None:
    """Empty a target and give its address to another service."""
    able = sorted(held.targets)
    if len(able) > world.TARGETS_A_SERVICE:
        await held.replace(held.targets[held.chance.choice(able)])


@fault
async def configure(held: world.World, _seconds: float) -> None:
    """Write some configurations in quick succession."""
    for _ in range(held.chance.randint(1, 3)):
        await held.configure(held.turn + held.chance.randint(0, 1))
        await asyncio.sleep(0.3)
