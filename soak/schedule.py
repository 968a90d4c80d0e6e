"""Faults of a run, drawn from its seed."""

import asyncio
import collections
import functools
import random
import time
import typing

from soak import (
    checker,
    datagram_partitions,
    returned_store,
    target,
    testbed,
    testbed_settings,
)

Fault = typing.Callable[[testbed.Testbed, float], typing.Awaitable[None]]
FAULTS: dict[str, Fault] = {}
MAX_GRAY_TARGETS = 4
SHED_RATIOS = (0.6, 0.8)
EMPTY_SECONDS = 5.0
"""Time for which a zone is emptied beyond the length of the fault."""


def fault(inject: Fault) -> Fault:
    """Register a kind of fault under the name of its function."""
    FAULTS[inject.__name__] = inject
    return inject


NOTICES: dict[str, Fault] = {}
"""Kinds of faults in which targets state something in their answers. They run
beside the scheduled ones, so that seeds keep the schedules that they had."""


def notice(inject: Fault) -> Fault:
    """Register a kind of notice under the name of its function."""
    NOTICES[inject.__name__] = inject
    return inject


PAIRS: dict[str, Fault] = {}
"""Kinds of faults that compose events that are harmless alone. They run beside
the others, too."""


def pair(inject: Fault) -> Fault:
    """Register a composition of events under the name of its function."""
    PAIRS[inject.__name__] = inject
    return inject


ZONES: dict[str, Fault] = {}
"""Kinds of planned work on availability zones, which run beside the others."""


def zone_work(inject: Fault) -> Fault:
    """Register planned work on a zone under the name of its function."""
    ZONES[inject.__name__] = inject
    return inject


ScheduledFault = tuple[float, str, float]
"""Seconds from the start of the run, kind, and length in seconds."""

MEAN_PARTITION_PAUSE_SECONDS = 3.0
MAX_PARTITION_SECONDS = 6.0
PARTITION_SEED_STRIDE = 1000
"""Separates the seeds of datagram partitions from those of the faults."""
STALE_SEED_STRIDE = 2000
"""Separates the seeds of stale reads from those of the faults."""
NOTICE_SEED_STRIDE = 3000
"""Separates the seeds of the notices of targets from those of the faults."""
PAIR_SEED_STRIDE = 4000
"""Separates the seeds of composed events from those of the faults."""
ZONE_SEED_STRIDE = 5000
"""Separates the seeds of emptied zones from those of the faults."""
RETURN_SEED_STRIDE = 6000
"""Separates the seeds of returns of the store from those of the faults."""
MEAN_ZONE_PAUSE_SECONDS = 2.0
MEAN_NOTICE_PAUSE_SECONDS = 2.5
MEAN_PAIR_PAUSE_SECONDS = 2.0
MEAN_STALE_PAUSE_SECONDS = 4.0
MAX_STALE_SECONDS = 5.0


class FaultSchedule:
    """Draws and injects the faults of one run.

    Attributes:
        scheduled_faults: Faults in the order of their start.
        partition_rng: Draws the datagram partitions, which run beside the
            scheduled faults.
        notice_rng: Draws the notices of targets, which run beside the scheduled
            faults.
        pair_rng: Draws the composed events, which run beside the scheduled
            faults.
        stale_rng: Draws the periods of stale reads of the store, which run
            beside the scheduled faults as well.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        """Draw the faults, which may overlap and repeat."""
        rng = random.Random(seed)
        at = 1.0
        self.scheduled_faults: list[ScheduledFault] = []
        while at < seconds - 4:
            kind = rng.choice(sorted(FAULTS))
            self.scheduled_faults.append((at, kind, rng.uniform(0.5, 5)))
            at += rng.expovariate(1 / 1.2)
        self.partition_rng = random.Random(seed * PARTITION_SEED_STRIDE + 1)
        self.notice_rng = random.Random(seed * NOTICE_SEED_STRIDE + 1)
        self.stale_rng = random.Random(seed * STALE_SEED_STRIDE + 1)
        self.pair_rng = random.Random(seed * PAIR_SEED_STRIDE + 1)
        self.zone_rng = random.Random(seed * ZONE_SEED_STRIDE + 1)
        self.return_rng = random.Random(seed * RETURN_SEED_STRIDE + 1)

    async def run(self, system: testbed.Testbed) -> None:
        """Inject the scheduled faults and wait until all have ended."""
        start = time.monotonic()
        tasks = []
        for at, kind, seconds in self.scheduled_faults:
            await asyncio.sleep(max(0, start + at - time.monotonic()))
            injection = (FAULTS | NOTICES | PAIRS | ZONES)[kind](
                system, seconds
            )
            tasks.append(asyncio.create_task(injection))
        await asyncio.gather(*tasks)

    async def partition_datagrams(
        self, system: testbed.Testbed, until: float
    ) -> None:
        """Partition datagrams between daemons repeatedly until a time."""
        hosts = [daemon.host for daemon in system.daemons.values()]
        while len(hosts) > 1:
            await asyncio.sleep(
                self.partition_rng.expovariate(1 / MEAN_PARTITION_PAUSE_SECONDS)
            )
            if time.monotonic() > until:
                return
            system.datagram_partitions.replace_links(
                datagram_partitions.draw_links(self.partition_rng, hosts)
            )
            await asyncio.sleep(
                self.partition_rng.uniform(0.5, MAX_PARTITION_SECONDS)
            )
            system.datagram_partitions.replace_links(())

    async def make_notices(self, system: testbed.Testbed, until: float) -> None:
        """Let targets state that they leave or want a pause, repeatedly."""
        await repeat(
            system, until, NOTICES, MEAN_NOTICE_PAUSE_SECONDS, self.notice_rng
        )

    async def compose_events(
        self, system: testbed.Testbed, until: float
    ) -> None:
        """Make events coincide that are harmless alone, repeatedly."""
        await repeat(
            system, until, PAIRS, MEAN_PAIR_PAUSE_SECONDS, self.pair_rng
        )

    async def empty_zones(self, system: testbed.Testbed, until: float) -> None:
        """Empty availability zones and take them back, one after the other."""
        await repeat(
            system, until, ZONES, MEAN_ZONE_PAUSE_SECONDS, self.zone_rng
        )

    async def return_store(self, system: testbed.Testbed, until: float) -> None:
        """Let the store return from older copies, repeatedly."""
        returns = returned_store.ReturnedStore(system, self.return_rng)
        await returns.run(until)

    async def make_reads_stale(
        self, system: testbed.Testbed, until: float
    ) -> None:
        """Hide new changes from reads that allow stale data, repeatedly."""
        while True:
            pause_seconds = self.stale_rng.expovariate(
                1 / MEAN_STALE_PAUSE_SECONDS
            )
            await asyncio.sleep(pause_seconds)
            if time.monotonic() > until:
                return
            system.source.stale_revision = system.source.revision
            await asyncio.sleep(self.stale_rng.uniform(0.5, MAX_STALE_SECONDS))
            system.source.stale_revision = None

    def kinds(self) -> dict[str, int]:
        """Return the number of scheduled faults by kind."""
        return dict(
            collections.Counter(kind for _, kind, _ in self.scheduled_faults)
        )


async def repeat(
    system: testbed.Testbed,
    until: float,
    kinds: dict[str, Fault],
    mean_pause_seconds: float,
    rng: random.Random,
) -> None:
    """Inject faults of some kinds one after the other until a time."""
    while True:
        await asyncio.sleep(rng.expovariate(1 / mean_pause_seconds))
        seconds = rng.uniform(3, 5)
        if time.monotonic() + seconds > until:
            return
        await kinds[rng.choice(sorted(kinds))](system, seconds)


def select_daemon(system: testbed.Testbed) -> typing.Any:
    """Select a daemon for a fault.

    Returns:
        A running daemon, marked as faulted; None if less than half of the
        daemons run without a fault.
    """
    candidates = [
        daemon
        for daemon in system.daemons.values()
        if daemon.accepts_callers and not daemon.has_fault
    ]
    if len(candidates) < len(system.daemons) / 2:
        return None
    selected = system.rng.choice(candidates)
    selected.has_fault = True
    return selected


@fault
async def kill(system: testbed.Testbed, _seconds: float) -> None:
    """Kill a daemon and start it again."""
    daemon = select_daemon(system)
    if daemon is not None:
        await system.kill_daemon(daemon)
        daemon.has_fault = False


@fault
async def stop(system: testbed.Testbed, _seconds: float) -> None:
    """Stop a daemon with SIGTERM and start it again."""
    daemon = select_daemon(system)
    if daemon is not None:
        await system.stop_daemon(daemon)
        daemon.has_fault = False


@fault
async def pause(system: testbed.Testbed, seconds: float) -> None:
    """Suspend a daemon."""
    daemon = select_daemon(system)
    if daemon is not None:
        await system.pause_daemon(daemon, seconds)
        daemon.has_fault = False


@fault
async def store(system: testbed.Testbed, seconds: float) -> None:
    """Make the store refuse, hang, answer slowly or lose answers."""
    start = time.monotonic()
    faults = system.store.faults
    mode = system.rng.choice(('refuse', 'silent', 'slow', 'lose'))
    faults.is_refusing = mode == 'refuse'
    faults.is_silent = mode == 'silent'
    faults.loses_answers = mode == 'lose'
    faults.delay_seconds = 0.5 if mode == 'slow' else 0
    await asyncio.sleep(seconds)
    system.store.faults = type(faults)()
    system.record_disturbance(mode, checker.STORE, start)


@fault
async def history(system: testbed.Testbed, _seconds: float) -> None:
    """Make the store drop its history of changes."""
    start = time.monotonic()
    system.source.drop_history()
    system.record_disturbance('history', checker.STORE, start)


@fault
async def link(system: testbed.Testbed, seconds: float) -> None:
    """Partition, delay or reset the store links of a third of the daemons."""
    start = time.monotonic()
    names = system.rng.sample(
        sorted(system.store_relays), len(system.store_relays) // 3 + 1
    )
    mode = system.rng.choice(('out', 'back', 'both', 'delay', 'reset'))
    for name in names:
        faults = system.store_relays[name].faults
        faults.is_outbound_partitioned = mode in {'out', 'both'}
        faults.is_inbound_partitioned = mode in {'back', 'both'}
        faults.delay_seconds = 0.3 if mode == 'delay' else 0
        if mode == 'reset':
            system.store_relays[name].reset()
    await asyncio.sleep(seconds)
    for name in names:
        system.store_relays[name].faults = type(
            system.store_relays[name].faults
        )()
        system.record_disturbance(f'link {mode}', name, start)


async def gray(system: testbed.Testbed, seconds: float, failure: str) -> None:
    """Make some targets slow and fail a share of their requests."""
    start = time.monotonic()
    candidates = sorted(system.targets)
    names = system.rng.sample(
        candidates, min(MAX_GRAY_TARGETS, len(candidates))
    )
    for name in names:
        faults = system.targets[name].faults
        faults.failure_ratio = system.rng.uniform(0.1, 0.9)
        faults.failure = failure
        faults.slowdown_factor = system.rng.choice((1, 1, 5))
    await asyncio.sleep(seconds)
    for name in names:
        system.record_disturbance('gray', name, start)
        if name in system.targets:
            system.targets[name].faults = target.TargetFaults()


FAULTS.update(
    (f'gray {failure}', functools.partial(gray, failure=failure))
    for failure in target.FAILURES
)


@fault
async def crash(system: testbed.Testbed, seconds: float) -> None:
    """Crash a target and add a new one to its service."""
    candidates = sorted(system.targets)
    if len(candidates) < testbed.TARGETS_PER_SERVICE:
        return
    start = time.monotonic()
    crashed = system.targets.pop(system.rng.choice(candidates))
    await crashed.stop()
    await asyncio.sleep(seconds)
    await system.write_target(crashed.name, None)
    system.record_disturbance('crash', crashed.name, start)
    await system.add_target(crashed.service)


@fault
async def replace(system: testbed.Testbed, _seconds: float) -> None:
    """Drain a target and give its address to another service."""
    candidates = sorted(system.targets)
    if len(candidates) > testbed.TARGETS_PER_SERVICE:
        await system.replace_target(
            system.targets[system.rng.choice(candidates)]
        )


@notice
async def turn_away(system: testbed.Testbed, seconds: float) -> None:
    """Let some targets turn requests away and state pauses."""
    start = time.monotonic()
    candidates = sorted(system.targets)
    names = system.rng.sample(candidates, len(candidates) // 3)
    for name in names:
        system.targets[name].faults.pause_seconds = system.rng.uniform(1, 3)
    await asyncio.sleep(seconds)
    for name in names:
        system.record_disturbance('turn away', name, start)
        if name in system.targets:
            system.targets[name].faults = target.TargetFaults()


@notice
async def leave(system: testbed.Testbed, seconds: float) -> None:
    """Let a target state that it leaves, without a change of its entry."""
    candidates = sorted(system.targets)
    if len(candidates) < testbed.TARGETS_PER_SERVICE:
        return
    start = time.monotonic()
    leaving = system.targets.pop(system.rng.choice(candidates))
    leaving.is_leaving = True
    await system.add_target(leaving.service)
    await asyncio.sleep(seconds)
    await system.write_target(leaving.name, None)
    await leaving.stop()
    system.record_disturbance('leave', leaving.name, start)


@pair
async def full_targets_that_copy(
    system: testbed.Testbed, seconds: float
) -> None:
    """Let targets reject most requests and write refusals once more."""
    await copy_refusals(system, seconds)


@pair
async def full_targets_that_copy_in_a_stop(
    system: testbed.Testbed, seconds: float
) -> None:
    """Stop a daemon while targets reject requests and copy refusals."""
    await asyncio.gather(copy_refusals(system, seconds), stop(system, seconds))


async def copy_refusals(system: testbed.Testbed, seconds: float) -> None:
    """Let all targets reject requests at random, and copy their refusals."""
    start = time.monotonic()
    full_targets = tuple(system.targets.values())
    for full_target in full_targets:
        full_target.shed_ratio = system.rng.uniform(*SHED_RATIOS)
        full_target.copies_refusals = True
    await asyncio.sleep(seconds)
    for full_target in full_targets:
        full_target.shed_ratio = 0
        full_target.copies_refusals = False
        system.record_disturbance('full', full_target.name, start)


@fault
async def configure(system: testbed.Testbed, _seconds: float) -> None:
    """Write up to three configurations in quick succession."""
    for _ in range(system.rng.randint(1, 3)):
        await system.configure(system.key_version + system.rng.randint(0, 1))
        await asyncio.sleep(0.3)


@zone_work
async def empty(system: testbed.Testbed, seconds: float) -> None:
    """Empty a zone for longer than it may take, and take it back cold."""
    await system.empty_zone(
        system.rng.choice(testbed_settings.ZONES), seconds + EMPTY_SECONDS
    )


@zone_work
async def return_cold(system: testbed.Testbed, seconds: float) -> None:
    """Empty a zone and take it back before all its requests have moved."""
    await system.empty_zone(
        system.rng.choice(testbed_settings.ZONES), seconds / 2
    )
