"""Control costs of an idle fleet of 36 daemon processes.

Run with python -m bench.fleet. All daemons run on one machine, with the
platform stand-in and the sample configuration of Brimweave, without requests.
"""

import pathlib
import re
import statistics
import sys
import tempfile
import time

from bench import forward
from sapphirepaddle.objects import change
from sapphirepaddle.standins import (
    demonstration,
    fleet,
    http_call,
    processes,
)

ROOT = pathlib.Path(__file__).parent.parent
DAEMONS_PER_ZONE = 12
MEASURE_SECONDS = 20
SETTLE_SECONDS = 10
CHANGE_COUNT = 5
GAUGE_PATTERN = re.compile(r'paddle_state\{label="(\w+)".*\} (\S+)')


def read_gauges(url: str) -> dict[str, float]:
    """Return the gauges of a daemon by label."""
    text = http_call.call(f'{url}/metrics').body.decode()
    return {name: float(value) for name, value in GAUGE_PATTERN.findall(text)}


def memory_megabytes(pid: int) -> float:
    """Return the resident memory of a process in MB; 0 if unknown."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    match = re.search(r'VmRSS:\s+(\d+) kB', status)
    return int(match.group(1)) / 1024 if match else 0


def read_usage(running_fleet: fleet.Fleet) -> list[tuple[float, float]]:
    """Return CPU seconds and bytes sent to peers for each daemon."""
    return [
        (
            forward.cpu_seconds(running_fleet.programs[name].process.pid),
            read_gauges(addresses.operators_url)['peer_bytes_sent'],
        )
        for name, addresses in running_fleet.daemons.items()
    ]


def measure_change_seconds(running_fleet: fleet.Fleet) -> float:
    """Commit a change and return the seconds until all have it in force."""
    body = {
        'name': 'guild-coast',
        'rate': 20 + running_fleet.revision,
        'burst': 40,
    }
    account_put = change.Put(kind='client_account', body=body)
    running_fleet.commit_change([account_put])
    accepted_at = time.time()
    revision = running_fleet.revision

    def is_in_force() -> bool:
        status = running_fleet.status('vm1')
        return (
            status['revision'] == revision
            and status['in_force'] == DAEMONS_PER_ZONE * 3
        )

    processes.wait_for(is_in_force, 10, 'the change to be in force')
    return time.time() - accepted_at


def measure(running_fleet: fleet.Fleet) -> None:
    """Measure an idle fleet and print the results."""
    time.sleep(SETTLE_SECONDS)
    calls_url = f'{running_fleet.platform_url}/control/calls'
    calls_before = sum(http_call.call(calls_url).json().values())
    before = read_usage(running_fleet)
    started_at = time.monotonic()
    time.sleep(MEASURE_SECONDS)
    after = read_usage(running_fleet)
    elapsed = time.monotonic() - started_at
    platform_calls = (
        sum(http_call.call(calls_url).json().values()) - calls_before
    )
    cores = [
        (end[0] - start[0]) / elapsed
        for start, end in zip(before, after, strict=True)
    ]
    sent_bytes_per_second = [
        (end[1] - start[1]) / elapsed
        for start, end in zip(before, after, strict=True)
    ]
    megabytes = [
        memory_megabytes(running_fleet.programs[name].process.pid)
        for name in running_fleet.daemons
    ]
    print(f'{len(running_fleet.daemons)} daemons, {elapsed:.0f} s idle')
    for name, unit, values, budget in (
        ('core', '', cores, 0.042),
        ('bytes a second sent', '', sent_bytes_per_second, 5000),
        ('memory', ' MB', megabytes, 256),
    ):
        print(
            f'{name}: median {statistics.median(values):.4g}{unit}, most '
            f'{max(values):.4g}{unit}, budget {budget}{unit}',
        )
    print(f'platform: {platform_calls / elapsed:.1f} calls a second')
    change_seconds = [
        measure_change_seconds(running_fleet) for _ in range(CHANGE_COUNT)
    ]
    print(
        f'in force on all: {max(change_seconds):.2f} s at worst of '
        f'{CHANGE_COUNT} changes, budget 4 s',
    )


def main() -> int:
    """Start the fleet, measure it and stop it."""
    objects = demonstration.read_sample(ROOT / 'samples' / 'brimweave')
    with tempfile.TemporaryDirectory() as folder:
        running_fleet = fleet.Fleet(pathlib.Path(folder))
        try:
            demonstration.start(running_fleet, objects, DAEMONS_PER_ZONE)
            measure(running_fleet)
        finally:
            running_fleet.kill()
    return 0


if __name__ == '__main__':
    sys.exit(main())
