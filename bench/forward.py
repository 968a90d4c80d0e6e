"""Added latency of one daemon beside a naive forwarder and no forwarder.

Run with python -m bench.forward. The target answers 1 KB at once. All
three ways are loaded in turn, several rounds, from this process.
"""

import asyncio
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile

from bench import load_generator as open_loop
from sapphirepaddle.objects import change
from sapphirepaddle.standins import demonstration, fleet, processes

RATE = 300
SECONDS = 5
ROUNDS = 5
CALLERS = 8
PERCENTS = (50, 99, 99.9)
P99_BUDGET_MS = 1.9
TICKS = os.sysconf('SC_CLK_TCK')


def start(module: str, *arguments: object) -> 'subprocess.Popen[bytes]':
    """Start a module of the benchmarks as a process."""
    return subprocess.Popen(
        [sys.executable, '-m', f'bench.{module}', *map(str, arguments)],
    )


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS


def objects(port: int) -> list[change.Put]:
    """Return a configuration with one target."""
    put = change.Put
    return [
        put(kind='availability_zone', body={'name': 'a', 'region': 'r'}),
        put(kind='service', body={'name': 's', 'slots': 100}),
        put(
            kind='target',
            body={
                'name': 't',
                'service': 's',
                'zone': 'a',
                'address': '127.0.0.1',
                'port': port,
            },
        ),
        put(
            kind='route',
            body={'name': 'x', 'prefix': '/', 'service': 's'},
        ),
        put(
            kind='client_account',
            body={'name': 'acc', 'rate': 100_000, 'burst': 100_000},
        ),
    ]


def request(host: str, key: str = '') -> bytes:
    """Return the bytes of a request."""
    given = f'Authorization: Bearer {key}\r\n' if key else ''
    return f'GET /x HTTP/1.1\r\nHost: {host}\r\n{given}\r\n'.encode()


async def measure(
    ways: dict[str, open_loop.LoadGenerator],
    pids: dict[str, int],
) -> None:
    """Load all ways in turn and print what was measured."""
    for way in ways.values():
        await way.run(RATE, 1)
        way.latencies.reset()
    rounds: dict[str, list[list[float]]] = {name: [] for name in ways}
    for _ in range(ROUNDS):
        for name, way in ways.items():
            way.latencies.reset()
            await way.run(RATE, SECONDS)
            rounds[name].append(
                [way.percentile_ms(percent) for percent in PERCENTS]
            )
    medians = {
        name: [
            statistics.median(column) for column in zip(*measured, strict=True)
        ]
        for name, measured in rounds.items()
    }
    print(f'{RATE} requests a second, {ROUNDS} rounds of {SECONDS} s, in ms')
    for name, times in medians.items():
        added = [
            value - direct
            for value, direct in zip(times, medians['direct'], strict=True)
        ]
        shown = '  '.join(
            f'{percent}%: {value:.2f} (added {extra:.2f})'
            for percent, value, extra in zip(
                PERCENTS,
                times,
                added,
                strict=True,
            )
        )
        print(f'{name:8} {shown}  failed {ways[name].failed}')
    worst = medians['daemon'][1] - medians['direct'][1]
    print(f'target: {P99_BUDGET_MS} ms added at 99%; measured {worst:.2f} ms')
    for name, pid in pids.items():
        before = cpu_seconds(pid)
        count = await ways[name].run_closed_loop(CALLERS, SECONDS)
        used = cpu_seconds(pid) - before
        print(
            f'{name:8} {CALLERS} callers: {count / SECONDS:.0f} requests a '
            f'second, {count / used:.0f} a core second',
        )
    for way in ways.values():
        way.close()


def run(
    running: fleet.Fleet,
    target_port: int,
    naive_port: int,
    naive_pid: int,
) -> None:
    """Start a daemon and measure."""
    running.start_platform()
    key = demonstration.operators_client.new_key()
    given = change.Put(
        kind='key',
        body={'name': key.digest, 'account': 'acc'},
    )
    running.commit_change([*objects(target_port), given])
    running.start_daemons('a', 1)
    running.wait_ready()
    running.wait_quota_owners()
    place = running.daemons['vm1']
    ways = {
        'direct': open_loop.LoadGenerator(
            '127.0.0.1', target_port, request('t')
        ),
        'naive': open_loop.LoadGenerator('127.0.0.1', naive_port, request('t')),
        'daemon': open_loop.LoadGenerator(
            place.host,
            place.callers_port,
            request('t', key.secret),
        ),
    }
    pids = {'naive': naive_pid, 'daemon': running.programs['vm1'].process.pid}
    asyncio.run(measure(ways, pids))


def main() -> None:
    """Start everything, measure, stop."""
    target_port = processes.free_port('127.0.0.1')
    naive_port = processes.free_port('127.0.0.1')
    started = [
        start('forward_target', target_port),
        start('forward_naive', naive_port, target_port),
    ]
    with tempfile.TemporaryDirectory() as folder:
        running = fleet.Fleet(pathlib.Path(folder))
        try:
            run(running, target_port, naive_port, started[1].pid)
        finally:
            running.kill()
            for process in started:
                process.kill()
                process.wait()


if __name__ == '__main__':
    main()
