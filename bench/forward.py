"""Added latency of one daemon, compared with a naive forwarder.

Run with python -m bench.forward. The target answers 1 KB at once. This process
loads the target directly, through the naive forwarder and through the daemon
in turn, for several rounds.
"""

import asyncio
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile

from bench import load_generator
from sapphirepaddle.objects import change
from sapphirepaddle.standins import demonstration, fleet, processes

REQUESTS_PER_SECOND = 300
ROUND_SECONDS = 5
ROUNDS = 5
CALLERS = 8
PERCENTILES = (50, 99, 99.9)
P99_BUDGET_MS = 1.9
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


def start_module(module: str, *arguments: object) -> 'subprocess.Popen[bytes]':
    """Start a module of the benchmarks as a child process."""
    return subprocess.Popen(
        [sys.executable, '-m', f'bench.{module}', *map(str, arguments)],
    )


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_SECOND


def configuration_objects(target_port: int) -> list[change.Put]:
    """Return the objects of a configuration with one target."""
    create_put = change.Put
    return [
        create_put(kind='availability_zone', body={'name': 'a', 'region': 'r'}),
        create_put(kind='service', body={'name': 's', 'slots': 100}),
        create_put(
            kind='target',
            body={
                'name': 't',
                'service': 's',
                'zone': 'a',
                'address': '127.0.0.1',
                'port': target_port,
            },
        ),
        create_put(
            kind='route',
            body={'name': 'x', 'prefix': '/', 'service': 's'},
        ),
        create_put(
            kind='client_account',
            body={'name': 'acc', 'rate': 100_000, 'burst': 100_000},
        ),
    ]


def request(host: str, key: str = '') -> bytes:
    """Return a request as bytes of HTTP/1.1."""
    authorization = f'Authorization: Bearer {key}\r\n' if key else ''
    return f'GET /x HTTP/1.1\r\nHost: {host}\r\n{authorization}\r\n'.encode()


async def measure(
    generators: dict[str, load_generator.LoadGenerator],
    pids: dict[str, int],
) -> None:
    """Load all paths in turn and print the results.

    Args:
        generators: Load generators by name of the path.
        pids: Forwarder processes by name of the path.
    """
    for generator in generators.values():
        await generator.run(REQUESTS_PER_SECOND, 1)
        generator.latencies.reset()
    rounds: dict[str, list[list[float]]] = {name: [] for name in generators}
    for _ in range(ROUNDS):
        for name, generator in generators.items():
            generator.latencies.reset()
            await generator.run(REQUESTS_PER_SECOND, ROUND_SECONDS)
            rounds[name].append(
                [generator.percentile_ms(percent) for percent in PERCENTILES]
            )
    medians = {
        name: [
            statistics.median(column)
            for column in zip(*round_percentiles, strict=True)
        ]
        for name, round_percentiles in rounds.items()
    }
    print(
        f'{REQUESTS_PER_SECOND} requests a second, {ROUNDS} rounds of '
        f'{ROUND_SECONDS} s, in ms'
    )
    for name, percentiles in medians.items():
        added_latencies = [
            value - direct
            for value, direct in zip(
                percentiles, medians['direct'], strict=True
            )
        ]
        columns = '  '.join(
            f'{percent}%: {value:.2f} (added {added_ms:.2f})'
            for percent, value, added_ms in zip(
                PERCENTILES,
                percentiles,
                added_latencies,
                strict=True,
            )
        )
        print(f'{name:8} {columns}  failed {generators[name].failed}')
    added_p99_ms = medians['daemon'][1] - medians['direct'][1]
    print(
        f'target: {P99_BUDGET_MS} ms added at 99%; measured '
        f'{added_p99_ms:.2f} ms'
    )
    for name, pid in pids.items():
        seconds_before = cpu_seconds(pid)
        count = await generators[name].run_closed_loop(CALLERS, ROUND_SECONDS)
        used_seconds = cpu_seconds(pid) - seconds_before
        print(
            f'{name:8} {CALLERS} callers: {count / ROUND_SECONDS:.0f} '
            f'requests a second, {count / used_seconds:.0f} a core second',
        )
    for generator in generators.values():
        generator.close()


def run(
    running_fleet: fleet.Fleet,
    target_port: int,
    naive_port: int,
    naive_pid: int,
) -> None:
    """Start a daemon and measure all paths."""
    running_fleet.start_platform()
    key = demonstration.operators_client.new_key()
    key_put = change.Put(
        kind='key',
        body={'name': key.digest, 'account': 'acc'},
    )
    running_fleet.commit_change([*configuration_objects(target_port), key_put])
    running_fleet.start_daemons('a', 1)
    running_fleet.wait_ready()
    running_fleet.wait_quota_owners()
    addresses = running_fleet.daemons['vm1']
    generators = {
        'direct': load_generator.LoadGenerator(
            '127.0.0.1', target_port, request('t')
        ),
        'naive': load_generator.LoadGenerator(
            '127.0.0.1', naive_port, request('t')
        ),
        'daemon': load_generator.LoadGenerator(
            addresses.host,
            addresses.callers_port,
            request('t', key.secret),
        ),
    }
    pids = {
        'naive': naive_pid,
        'daemon': running_fleet.programs['vm1'].process.pid,
    }
    asyncio.run(measure(generators, pids))


def main() -> None:
    """Start target and forwarders, measure, and stop them."""
    target_port = processes.free_port('127.0.0.1')
    naive_port = processes.free_port('127.0.0.1')
    started_processes = [
        start_module('forward_target', target_port),
        start_module('forward_naive', naive_port, target_port),
    ]
    with tempfile.TemporaryDirectory() as folder:
        running_fleet = fleet.Fleet(pathlib.Path(folder))
        try:
            run(
                running_fleet, target_port, naive_port, started_processes[1].pid
            )
        finally:
            running_fleet.kill()
            for process in started_processes:
                process.kill()
                process.wait()


if __name__ == '__main__':
    main()
