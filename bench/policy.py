"""The policy beside two baselines and earlier versions, on virtual time.

Run with python -m bench.policy: it writes docs/MEASURES.md anew. The
modules that decide are those that the daemon runs; targets, peer
connections and the store are small fakes within one process.
"""

import collections
import concurrent.futures
import dataclasses
import functools
import itertools
import logging
import math
import statistics
import sys
import typing

import structlog

from bench import policy_fakes, policy_simulation, virtual_time
from sapphirepaddle.replay import accounts

DAEMONS = 36
WORKERS = 6
SILENT = logging.CRITICAL
POLICIES = ('round robin', 'consecutive errors', 'alone', 'ours')
SCENARIOS = (
    'calm',
    'slow',
    'erring',
    'stalling',
    'flapping',
    'zone cut',
    'zone emptied',
    'flood',
    'store outage',
    'all',
)
Simulation = policy_simulation.Simulation
FAULT_AT_SECONDS = policy_simulation.FAULT_AT_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One line of the table.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the policy.
        detection: Seconds until half the daemons excluded a faulty target.
        false: Healthy targets that half the daemons excluded.
        avoided: Pairs of daemon and healthy target that was avoided.
        worst: Served of those within rate, for the worst-served account.
        best: The same for the best-served account.
        refused: Requests refused as over rate although within it.
        reads: Share of reads served.
        orders: Share of orders served.
        twice: Orders that ran more than once.
        median_ms: Milliseconds to the answer of reads, at the median.
        most_ms: The same for 99 in 100.
    """

    deployment: str
    scenario: str
    policy: str
    detection_seconds: float
    false_ejections: int
    avoided_pairs: int
    worst_ratio: float
    best_ratio: float
    refused_within_rate: int
    reads_served_ratio: float
    orders_served_ratio: float
    orders_run_twice: int
    median_ms: float
    p99_ms: float


def silence_logs() -> None:
    """Log nothing."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(SILENT),
    )


def measure(
    deployment: str,
    scenario: str,
    policy: str,
    daemons: int = DAEMONS,
) -> Row:
    """Run one scenario under one policy."""
    silence_logs()
    return run_simulation(
        functools.partial(Simulation, deployment, policy, scenario, daemons),
    )


def run_simulation(create: typing.Callable[[], 'Simulation']) -> Row:
    """Run a world on virtual time and measure it."""
    held: list[Simulation] = []

    async def work() -> policy_simulation.RunStats:  # noqa: WPS430
        held.append(create())
        return await held[0].run()

    tally = virtual_time.run(work)
    world = held[0]
    ratios = {}
    refused = 0
    for name, booked in tally.accounts.items():
        account = world.current.accounts[name]
        times = sorted(booked.times)
        within = accounts.count_within_rate(times, account.rate, account.burst)
        ratios[name] = min(1, policy_fakes.fraction(booked.served, within))
        refused += max(0, booked.refused - (len(times) - within))
    runs = collections.Counter(
        run for target in world.targets.values() for run in target.runs if run
    )
    detection = min(
        (
            tally.excluded_seconds.get(name, math.inf) - FAULT_AT_SECONDS
            for name in world.faulty
        ),
        default=math.inf,
    )
    times = sorted(tally.read_seconds) or [0]
    return Row(
        deployment=world.deployment,
        scenario=world.scenario,
        policy=world.policy,
        detection_seconds=detection,
        false_ejections=len(tally.excluded_seconds.keys() - world.faulty),
        avoided_pairs=len(tally.avoided_pairs),
        worst_ratio=min(ratios.values()),
        best_ratio=max(ratios.values()),
        refused_within_rate=refused,
        reads_served_ratio=policy_fakes.fraction(
            tally.reads_served, tally.reads
        ),
        orders_served_ratio=policy_fakes.fraction(
            tally.orders_served, tally.orders
        ),
        orders_run_twice=sum(count > 1 for count in runs.values()),
        median_ms=statistics.median(times) * 1000,
        p99_ms=times[int(len(times) * 0.99)] * 1000,
    )


COLUMNS = (
    'scenario',
    'policy',
    'detection s',
    'false ejections',
    'avoided pairs',
    'worst account',
    'best account',
    'refused within rate',
    'reads served',
    'orders served',
    'orders twice',
    'median ms',
    '99 in 100 ms',
)


def line(row: Row) -> str:
    """Return a line of the table."""
    cells = (
        row.scenario,
        row.policy,
        policy_fakes.format_number(row.detection_seconds),
        row.false_ejections,
        row.avoided_pairs,
        f'{row.worst_ratio:.3f}',
        f'{row.best_ratio:.3f}',
        row.refused_within_rate,
        f'{row.reads_served_ratio:.3f}',
        f'{row.orders_served_ratio:.3f}',
        row.orders_run_twice,
        f'{row.median_ms:.0f}',
        f'{row.p99_ms:.0f}',
    )
    return f'| {" | ".join(map(str, cells))} |'


def render(rows: list[Row], pooled: list[str]) -> str:
    """Return the page."""
    parts = [
        HEAD.format(
            seed=policy_simulation.SEED.number,
            daemons=DAEMONS,
            seconds=policy_simulation.TRACE_SECONDS,
        )
    ]
    for deployment in ('brimweave', 'hejaz'):
        parts.append(f'## {deployment}\n')
        parts.append(f'| {" | ".join(COLUMNS)} |')
        parts.append('|---' * len(COLUMNS) + '|')
        parts.extend(line(row) for row in rows if row.deployment == deployment)
        parts.append('')
    parts.append('## Detection by number of daemons\n')
    parts.append('| daemons | pooled s | alone s |\n|---|---|---|')
    parts.extend(pooled)
    return '\n'.join(parts) + '\n'


HEAD = """# Measures

Written by `python -m bench.policy`, seed {seed}, on virtual time: {daemons}
daemons in three zones, {seconds} s, each account at 0.9 of its rate (the
first account at 4 times its rate in "flood" and "all"), one request in five
an order. Targets, peer connections and the store are fakes within one
process; the deciding modules are those that the daemon runs.

Policies: "round robin" takes targets in turn and ejects nothing;
"consecutive errors" ejects after five errors in a row, in each daemon for
itself, for 30 s and longer, at most half; "alone" is our version without
pooled evidence; "ours" pools it. All have the same limits, retries and
deadlines. Detection is the time from the fault until half of the daemons no
longer send to the target. A false ejection is a healthy target that half of
the daemons excluded; an avoided pair is one daemon that for a while did not
send to one healthy target. "Worst account" is the share served of what was
within rate, for the worst-served account.
"""


def pooled_line(daemons: int) -> str:
    """Return the detection with and without pooling at a fleet size."""
    shown = (
        policy_fakes.format_number(
            measure('brimweave', 'erring', policy, daemons).detection_seconds,
        )
        for policy in ('ours', 'alone')
    )
    return f'| {daemons} | {" | ".join(shown)} |'


def main() -> None:
    """Run everything and write the page."""
    jobs = list(
        itertools.product(('brimweave', 'hejaz'), SCENARIOS, POLICIES),
    )
    if len(sys.argv) > 1:
        jobs = [job for job in jobs if job[1] in sys.argv[1:]]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as workers:
        rows = list(workers.map(measure, *zip(*jobs, strict=True)))
        print('\n'.join(map(line, rows)))
        if len(sys.argv) == 1:
            pooled = list(workers.map(pooled_line, (3, 12, 36, 72)))
            page = render(rows, pooled)
            (policy_simulation.ROOT / 'docs' / 'MEASURES.md').write_text(page)


if __name__ == '__main__':
    main()
