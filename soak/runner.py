"""Running one seed."""

import asyncio
import dataclasses
import pathlib
import random
import tempfile
import time
import typing

from sapphirepaddle.platform import settings_file
from soak import callers, checker, schedule, testbed, testbed_settings

KEYS = {'usual': 'key-usual', 'limited': 'key-limited'}
KINDS_OF_CALLERS = 4
CALLER_SEED_STRIDE = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a run.

    Attributes:
        seconds: How long callers send.
        daemons: Number of daemons.
        callers: Number of callers.
    """

    seconds: float = 20
    daemons: int = 6
    callers: int = 24


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """What came of a run.

    Attributes:
        sent: Requests sent.
        served: Requests answered with success.
        faults: How often each kind of fault came.
        findings: Broken promises.
        logs: Where the daemons' logs lie.
    """

    sent: int
    served: int
    faults: dict[str, int]
    findings: list[str]
    logs: pathlib.Path


async def run(
    seed: int,
    size: Size,
    prelude: str = '',
    logs: pathlib.Path | None = None,
    scheduled_faults: list[schedule.ScheduledFault] | None = None,
) -> RunResult:
    """Run one seed.

    Args:
        seed: Draws the faults and the requests.
        size: Size of the run.
        prelude: Python code that runs first in each daemon.
        logs: Where the daemons' logs go; None for a new folder.
        entries: Faults instead of those that the seed draws.
    """
    folder = logs or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    folder.mkdir(parents=True, exist_ok=True)
    held = testbed.Testbed(folder, random.Random(seed), prelude)
    plan = schedule.FaultSchedule(seed, size.seconds)
    if scheduled_faults is not None:
        plan.scheduled_faults = scheduled_faults
    try:
        await held.start(size.daemons)
        until = time.monotonic() + size.seconds
        crowd = [
            callers.Caller(
                f's{seed}c{number}',
                held.caller_addresses,
                key_of(number, held),
                held.observations,
                random.Random(seed * CALLER_SEED_STRIDE + number),
            ).run(until)
            for number in range(size.callers)
        ]
        cutting = plan.partition_datagrams(held, until)
        lagging = plan.make_reads_stale(held, until)
        await asyncio.gather(plan.run(held), cutting, lagging, *crowd)
    finally:
        await held.close()
    bounds = settings_file.read_bounds(list(testbed_settings.BOUNDS))
    sent = held.observations.requests.values()
    return RunResult(
        len(sent),
        sum(each.status == testbed_settings.OK for each in sent),
        plan.kinds(),
        checker.Checker(held.observations, bounds).check(),
        folder,
    )


def key_of(
    number: int,
    held: testbed.Testbed,
) -> typing.Callable[[], tuple[str, str]]:
    """Return what gives a caller its account and key."""
    which = number % KINDS_OF_CALLERS
    if which == 0:
        return lambda: ('limited', KEYS['limited'])
    if which == 1:
        return lambda: ('turning', f'turn-{held.key_version}')
    return lambda: ('usual', KEYS['usual'])
