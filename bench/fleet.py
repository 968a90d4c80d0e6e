"""What control costs in a fleet of 36 daemons as processes, at rest.

Run with python -m bench.fleet. All daemons run on this machine, before the
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
EACH = 12
SECONDS = 20
SETTLE_SECONDS = 10
CHANGES = 5
GAUGE = re.compile(r'paddle_state\{label="(\w+)".*\} (\S+)')


def gauges(url: str) -> dict[str, float]:
    """Return the gauges of a daemon."""
    text = http_call.call(f'{url}/metrics').body.decode()
    return {name: float(value) for name, value in GAUGE.findall(text)}


def memory_megabytes(pid: int) -> float:
    """Return the resident memory of a process."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    found = re.search(r'VmRSS:\s+(\d+) kB', status)
    return int(found.group(1)) / 1024 if found else 0


def read_usage(running: fleet.Fleet) -> list[tuple[float, float]]:
    """Return processor seconds and bytes sent of each daemon."""
    return [
        (
            forward.cpu_seconds(running.programs[name].process.pid),
            gauges(place.operators_url)['peer_bytes_sent'],
        )
        for name, place in running.daemons.items()
    ]


def in_force_seconds(running: fleet.Fleet) -> float:
    """Accept a change and return the time until all have it in force."""
    body = {'name': 'guild-coast', 'rate': 20 + running.revision, 'burst': 40}
    put = change.Put(kind='client_account', body=body)
    running.commit_change([put])
    accepted = time.time()
    revision = running.revision

    def reached() -> bool:
        held = running.status('vm1')
        return held['revision'] == revision and held['in_force'] == EACH * 3

    processes.wait_for(reached, 10, 'in force')
    return time.time() - accepted


def measure(running: fleet.Fleet) -> None:
    """Measure and print."""
    time.sleep(SETTLE_SECONDS)
    url = f'{running.platform_url}/control/calls'
    calls = sum(http_call.call(url).json().values())
    before = read_usage(running)
    started = time.monotonic()
    time.sleep(SECONDS)
    after = read_usage(running)
    elapsed = time.monotonic() - started
    made = sum(http_call.call(url).json().values()) - calls
    cores = [
        (end[0] - start[0]) / elapsed
        for start, end in zip(before, after, strict=True)
    ]
    sent = [
        (end[1] - start[1]) / elapsed
        for start, end in zip(before, after, strict=True)
    ]
    held = [
        memory_megabytes(running.programs[name].process.pid)
        for name in running.daemons
    ]
    print(f'{len(running.daemons)} daemons, {elapsed:.0f} s at rest')
    for name, unit, figures, budget in (
        ('core', '', cores, 0.042),
        ('bytes a second sent', '', sent, 5000),
        ('memory', ' MB', held, 256),
    ):
        print(
            f'{name}: median {statistics.median(figures):.4g}{unit}, most '
            f'{max(figures):.4g}{unit}, budget {budget}{unit}',
        )
    print(f'platform: {made / elapsed:.1f} calls a second')
    seconds = [in_force_seconds(running) for _ in range(CHANGES)]
    print(
        f'in force on all: {max(seconds):.2f} s at worst of {CHANGES} '
        'changes, budget 4 s',
    )


def main() -> int:
    """Start the fleet, measure, stop."""
    objects = demonstration.read_sample(ROOT / 'samples' / 'brimweave')
    with tempfile.TemporaryDirectory() as folder:
        running = fleet.Fleet(pathlib.Path(folder))
        try:
            demonstration.start(running, objects, EACH)
            measure(running)
        finally:
            running.kill()
    return 0


if __name__ == '__main__':
    sys.exit(main())
