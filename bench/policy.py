"""Comparison of the load balancing policy with baselines, on virtual time.

Run with python -m bench.policy: it rewrites docs/MEASURES.md. The modules
that decide about requests are those of the daemon; targets, peer connections
and the store are fakes within one process.
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
SILENT_LEVEL = logging.CRITICAL
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
    """Results of one run, a row of the table.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the policy.
        detection_seconds: Time from the fault until half of the daemons
            excluded a faulty target.
        false_ejections: Healthy targets that half of the daemons excluded.
        avoided_pairs: Pairs of a daemon and a healthy target that it avoided.
        worst_ratio: Ratio of requests within the rate that were served, for
            the worst-served account.
        best_ratio: The same for the best-served account.
        refused_within_rate: Requests within the rate refused as over it.
        reads_served_ratio: Ratio of reads that were served.
        orders_served_ratio: Ratio of orders that were served.
        orders_run_twice: Orders that ran more than once.
        median_ms: Median latency of served reads in milliseconds.
        p99_ms: Latency that 99 in 100 served reads do not exceed, in
            milliseconds.
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
    """Disable logging below the level CRITICAL."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(SILENT_LEVEL),
    )


def measure(
    deployment: str,
    scenario: str,
    policy: str,
    daemons: int = DAEMONS,
) -> Row:
    """Run one scenario under one policy and return its results."""
    silence_logs()
    return run_simulation(
        functools.partial(Simulation, deployment, policy, scenario, daemons),
    )


def run_simulation(create: typing.Callable[[], 'Simulation']) -> Row:
    """Run a simulation on virtual time and return its results."""
    created: list[Simulation] = []

    async def create_and_run() -> policy_simulation.RunStats:  # noqa: WPS430
        created.append(create())
        return await created[0].run()

    stats = virtual_time.run(create_and_run)
    simulation = created[0]
    served_ratios = {}
    refused = 0
    for name, account_stats in stats.accounts.items():
        client_account = simulation.current.accounts[name]
        sent_times = sorted(account_stats.sent_times)
        requests_within_rate = accounts.count_within_rate(
            sent_times, client_account.rate, client_account.burst
        )
        served_ratios[name] = min(
            1, policy_fakes.fraction(account_stats.served, requests_within_rate)
        )
        refused += max(
            0, account_stats.refused - (len(sent_times) - requests_within_rate)
        )
    run_counts = collections.Counter(
        identifier
        for target in simulation.targets.values()
        for identifier in target.runs
        if identifier
    )
    detection = min(
        (
            stats.excluded_seconds.get(name, math.inf) - FAULT_AT_SECONDS
            for name in simulation.faulty
        ),
        default=math.inf,
    )
    read_latencies = sorted(stats.read_seconds) or [0]
    return Row(
        deployment=simulation.deployment,
        scenario=simulation.scenario,
        policy=simulation.policy,
        detection_seconds=detection,
        false_ejections=len(stats.excluded_seconds.keys() - simulation.faulty),
        avoided_pairs=len(stats.avoided_pairs),
        worst_ratio=min(served_ratios.values()),
        best_ratio=max(served_ratios.values()),
        refused_within_rate=refused,
        reads_served_ratio=policy_fakes.fraction(
            stats.reads_served, stats.reads
        ),
        orders_served_ratio=policy_fakes.fraction(
            stats.orders_served, stats.orders
        ),
        orders_run_twice=sum(count > 1 for count in run_counts.values()),
        median_ms=statistics.median(read_latencies) * 1000,
        p99_ms=read_latencies[int(len(read_latencies) * 0.99)] * 1000,
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


def format_row(row: Row) -> str:
    """Return a row of the table in Markdown."""
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


def render(rows: list[Row], pooled_lines: list[str]) -> str:
    """Return the page in Markdown."""
    page_parts = [
        PAGE_HEAD.format(
            seed=policy_simulation.SEED.number,
            daemons=DAEMONS,
            seconds=policy_simulation.TRACE_SECONDS,
        )
    ]
    for deployment in ('brimweave', 'hejaz'):
        page_parts.append(f'## {deployment}\n')
        page_parts.append(f'| {" | ".join(COLUMNS)} |')
        page_parts.append('|---' * len(COLUMNS) + '|')
        page_parts.extend(
            format_row(row) for row in rows if row.deployment == deployment
        )
        page_parts.append('')
    page_parts.append('## Detection by number of daemons\n')
    page_parts.append('| daemons | pooled s | alone s |\n|---|---|---|')
    page_parts.extend(pooled_lines)
    return '\n'.join(page_parts) + '\n'


PAGE_HEAD = """# Measures

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


def format_pooled_line(daemons: int) -> str:
    """Return detection times with and without pooling at a fleet size."""
    detections = (
        policy_fakes.format_number(
            measure('brimweave', 'erring', policy, daemons).detection_seconds,
        )
        for policy in ('ours', 'alone')
    )
    return f'| {daemons} | {" | ".join(detections)} |'


def main() -> None:
    """Run the scenarios and print the rows.

    Arguments name the scenarios to run; without arguments all run and the
    page is written.
    """
    jobs = list(
        itertools.product(('brimweave', 'hejaz'), SCENARIOS, POLICIES),
    )
    if len(sys.argv) > 1:
        jobs = [job for job in jobs if job[1] in sys.argv[1:]]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as workers:
        rows = list(workers.map(measure, *zip(*jobs, strict=True)))
        print('\n'.join(map(format_row, rows)))
        if len(sys.argv) == 1:
            pooled_lines = list(
                workers.map(format_pooled_line, (3, 12, 36, 72))
            )
            page = render(rows, pooled_lines)
            (policy_simulation.ROOT / 'docs' / 'MEASURES.md').write_text(page)


if __name__ == '__main__':
    main()
