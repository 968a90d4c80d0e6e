"""Calls to the store at the start of a fleet and at a return from a copy.

Run with python -m bench.store_calls [DAEMONS ...]. All daemons run in one
process, idle, in three zones, with a source in memory; each has a loopback
address of its own. A read that may be stale costs a tenth of another call.
"""

import asyncio
import collections
import sys
import typing

from sapphirepaddle.directory import memory_source, source
from sapphirepaddle.edge import daemon
from sapphirepaddle.platform import adapter
from sapphirepaddle.settings import edge
from soak import network
from tests.support import platform_objects

ZONES = ('a', 'b', 'c')
TARGETS = 100
START_SECONDS = 12.0
RETURN_SECONDS = 6.0
STALE_PRICE = 0.1
PORTS = range(17201, 17206)


class CountingSource(memory_source.MemorySource):
    """Counts calls by kind of call and whether they may be stale."""

    def __init__(self) -> None:
        """Initialize without counts."""
        super().__init__()
        self.counts: collections.Counter[str] = collections.Counter()

    def record_call(self, is_stale_allowed: bool = False) -> None:
        """Count a read, or a write by its name."""
        super().record_call(is_stale_allowed)
        frame = sys._getframe(1).f_code.co_name
        suffix = ' stale' if is_stale_allowed else ''
        self.counts[frame.removeprefix('serve_') + suffix] += 1

    def take_counts(self) -> collections.Counter[str]:
        """Return the counts since the last time."""
        taken = self.counts
        self.counts = collections.Counter()
        return taken


def make_daemon(
    prefix: str, number: int, memory: memory_source.MemorySource
) -> daemon.EdgeDaemon:
    """Return a daemon of a fleet that starts for the first time."""
    host = f'{prefix}.{number // 200}.{number % 200 + 1}'
    callers, ready, metrics, peers, snapshots = (
        edge.Address(host, port) for port in PORTS
    )
    settings = edge.EdgeSettings(
        vm=f'vm-{number}',
        zone=ZONES[number % len(ZONES)],
        callers=callers,
        ready=ready,
        metrics=metrics,
        peers=peers,
        snapshots=snapshots,
        source_address=edge.Address(host, 1),
        seeds=(),
        memory_bytes=600000,
        bounds=edge.Bounds(stop=3),
        is_first_start=True,
    )
    platform = adapter.PlatformAdapter(settings.source_address)
    platform.source = memory
    return daemon.EdgeDaemon(settings, platform)


def show(title: str, counts: collections.Counter[str], daemons: int) -> None:
    """Print counts and the price in calls that are not stale."""
    price = sum(
        number * (STALE_PRICE if name.endswith(' stale') else 1)
        for name, number in counts.items()
    )
    listed = ', '.join(f'{number} {name}' for name, number in counts.items())
    print(
        f'{daemons} daemons, {title}: {price:.1f} calls'
        f' ({price / daemons:.2f} a daemon): {listed}',
        flush=True,
    )


async def measure(count: int) -> None:
    """Measure a fleet of some daemons."""
    memory = CountingSource()
    memory.served_era = 1
    await memory.apply_change(
        'config', source.Entry('main', platform_objects.configuration())
    )
    for number in range(TARGETS):
        entry = platform_objects.target('reads', 1000 + number)
        await memory.apply_change('servers', source.Entry(f't-{number}', entry))
    loopback = network.LoopbackNetwork()
    daemons = [
        make_daemon(loopback.prefix, number, memory) for number in range(count)
    ]
    tasks: list[asyncio.Task[typing.Any]] = [
        asyncio.create_task(one.run(asyncio.Event())) for one in daemons
    ]
    await asyncio.sleep(START_SECONDS)
    show('start', memory.take_counts(), count)
    known = [one.components.fleet.size for one in daemons]
    print(f'{count} daemons: each knows {min(known)} to {max(known)}')
    await asyncio.sleep(RETURN_SECONDS)
    show(f'{RETURN_SECONDS} s idle', memory.take_counts(), count)
    copy = memory.number
    entry = platform_objects.target('reads', 999)
    await memory.apply_change('servers', source.Entry('t-new', entry))
    await asyncio.sleep(RETURN_SECONDS)
    memory.take_counts()
    await memory.return_from_copy(copy)
    await memory.apply_change('servers', source.Entry('t-new', entry))
    await asyncio.sleep(RETURN_SECONDS)
    show(f'{RETURN_SECONDS} s from a return', memory.take_counts(), count)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for one in daemons:
        await one.close_sockets()
    loopback.release()


def main() -> None:
    """Measure fleets of the sizes on the command line."""
    for count in map(int, sys.argv[1:] or ('36', '112', '205', '292')):
        asyncio.run(measure(count))


if __name__ == '__main__':
    main()
