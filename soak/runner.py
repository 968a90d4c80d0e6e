"""Run of the soak test with one seed."""

import asyncio
import dataclasses
import pathlib
import random
import tempfile
import time
import typing

from sapphirepaddle.platform import settings_file
from soak import callers, checker, schedule, testbed, testbed_settings

KEYS_BY_ACCOUNT = {'usual': 'key-usual', 'limited': 'key-limited'}
CALLER_KIND_COUNT = 4
CALLER_SEED_STRIDE = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a run.

    Attributes:
        seconds: How long the callers send requests.
        daemons: Number of daemons.
        callers: Number of callers.
        returns_store: Whether the store also returns from older copies.
    """

    seconds: float = 20
    daemons: int = 6
    callers: int = 24
    returns_store: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Result of a run.

    Attributes:
        sent: Number of requests sent.
        served: Number of requests answered with status 200.
        faults: Number of faults by kind.
        findings: Violations that the checker found.
        logs: Folder of the daemons' logs.
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
    """Run the soak test with one seed.

    Args:
        seed: Seed of the faults and the requests.
        size: Size of the run.
        prelude: Python code that each daemon runs before it starts.
        logs: Folder for the daemons' logs; None for a new temporary folder.
        scheduled_faults: Replaces the faults that the seed draws.
    """
    folder = logs or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    folder.mkdir(parents=True, exist_ok=True)
    system = testbed.Testbed(folder, random.Random(seed), prelude)
    fault_schedule = schedule.FaultSchedule(seed, size.seconds)
    if scheduled_faults is not None:
        fault_schedule.scheduled_faults = scheduled_faults
    try:
        await system.start(size.daemons)
        until = time.monotonic() + size.seconds
        running_callers = [
            callers.Caller(
                f's{seed}c{number}',
                system.caller_addresses,
                key_source(number, system),
                system.observations,
                random.Random(seed * CALLER_SEED_STRIDE + number),
            ).run(until)
            for number in range(size.callers)
        ]
        partitions = fault_schedule.partition_datagrams(system, until)
        notices = fault_schedule.make_notices(system, until)
        stale_reads = fault_schedule.make_reads_stale(system, until)
        returns = (
            [fault_schedule.return_store(system, until)]
            if size.returns_store
            else []
        )
        composed_events = fault_schedule.compose_events(system, until)
        await asyncio.gather(
            fault_schedule.run(system),
            partitions,
            stale_reads,
            notices,
            composed_events,
            fault_schedule.empty_zones(system, until),
            *returns,
            *running_callers,
        )
    finally:
        await system.close()
    bounds = settings_file.read_bounds(list(testbed_settings.BOUNDS))
    requests = system.observations.requests.values()
    return RunResult(
        len(requests),
        sum(request.status == testbed_settings.OK for request in requests),
        fault_schedule.kinds(),
        checker.Checker(system.observations, bounds).check(),
        folder,
    )


def key_source(
    number: int,
    system: testbed.Testbed,
) -> typing.Callable[[], tuple[str, str]]:
    """Return a function that returns account and key for a caller's requests.

    The number of the caller determines the account: of four callers, one uses
    the limited account, one the account whose key changes and two the usual
    account.
    """
    caller_kind = number % CALLER_KIND_COUNT
    if caller_kind == 0:
        return lambda: ('limited', KEYS_BY_ACCOUNT['limited'])
    if caller_kind == 1:
        return lambda: ('turning', f'turn-{system.key_version}')
    return lambda: ('usual', KEYS_BY_ACCOUNT['usual'])
