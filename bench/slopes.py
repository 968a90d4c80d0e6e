"""Slopes of what control costs, and the page on size worked out from them.

Run with python -m bench.slopes: it measures and writes docs/CAPACITY.md.
With --check it only compares the page with the figures in docs/slopes.json.
"""

import dataclasses
import itertools
import pathlib
import statistics
import sys
import time
import tracemalloc
import typing

import orjson

from bench import capacity_page
from sapphirepaddle import clock
from sapphirepaddle.claims import record, segment, shard_log
from sapphirepaddle.gateway import active_configuration
from sapphirepaddle.limits import owner, ownership, quota_shard, quota_split
from sapphirepaddle.objects import change, client_account, kinds
from sapphirepaddle.peers import (
    codec,
    members,
    messages,
    gossip_store,
    frame_authentication,
)
from sapphirepaddle.routing import (
    outlier_detector,
    target_observation,
    result_counts,
    ejection_state,
)
from sapphirepaddle.settings import entry

ROOT = pathlib.Path(__file__).parent.parent
FIGURES = ROOT / 'docs' / 'slopes.json'
PAGE = ROOT / 'docs' / 'CAPACITY.md'
SIZES = (2000, 8000, 20000)
REPEATS = 2000
MICRO = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measured points.

    Attributes:
        name: What was measured.
        unit: Unit of the slope.
        slope: Cost of one more.
        residual: Largest distance of a point from the line, as a share.
    """

    name: str
    unit: str
    slope: float
    residual: float


def fit(name: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    """Fit a line through points of size and cost."""
    sizes = [size for size, _ in points]
    costs = [cost for _, cost in points]
    slope, start = statistics.linear_regression(sizes, costs)
    off = max(
        abs(cost - (start + slope * size)) / max(cost, 1e-12)
        for size, cost in points
    )
    return Slope(name, unit, slope, round(off, 4))


def single(name: str, unit: str, cost: float) -> Slope:
    """Return a cost that does not depend on a size."""
    return Slope(name, unit, cost, 0)


def memory_of(build: typing.Callable[[int], typing.Any], size: int) -> int:
    """Return the bytes that a structure of some size takes."""
    tracemalloc.start()
    kept = build(size)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return used


def memory(name: str, build: typing.Callable[[int], typing.Any]) -> Slope:
    """Measure bytes of memory for each element."""
    points = [(float(size), float(memory_of(build, size))) for size in SIZES]
    return fit(name, 'bytes', points)


def seconds_of(work: typing.Callable[[], typing.Any], times: int) -> float:
    """Return the processor seconds of one call, the least of three runs."""

    def once() -> float:
        started = time.process_time()
        for _ in range(times):
            work()
        return (time.process_time() - started) / times

    return min(once() for _ in range(3))


def duration(name: str, work: typing.Callable[[], typing.Any]) -> Slope:
    """Measure microseconds of processor time of one call."""
    return single(name, 'us', seconds_of(work, REPEATS) * MICRO)


def objects_of(kind: str, body: typing.Callable[[int], dict]) -> typing.Any:
    """Return a function that builds a table of objects."""

    def build(size: int) -> dict:
        found = {}
        for number in range(size):
            held = kinds.find(kind).parse(body(number))
            found[held.name] = held
        return found

    return build


def memory_slopes() -> list[Slope]:
    """Measure what state takes."""
    return [
        memory(
            'memory per route',
            objects_of(
                'route',
                lambda number: {
                    'name': f'route-{number}',
                    'prefix': f'/service-{number}/path',
                    'service': f'service-{number}',
                },
            ),
        ),
        memory(
            'memory per target',
            objects_of(
                'target',
                lambda number: {
                    'name': f'target-{number}',
                    'service': f'service-{number // 16}',
                    'zone': f'zone-{number % 20}',
                    'address': f'10.{number >> 16}.{number >> 8 & 255}.1',
                    'port': 8080,
                },
            ),
        ),
        memory(
            'memory per client account',
            objects_of(
                'client_account',
                lambda number: {
                    'name': f'account-{number}',
                    'rate': 10.5,
                    'burst': 20.5,
                },
            ),
        ),
        memory(
            'memory per key',
            objects_of(
                'key',
                lambda number: {
                    'name': f'{number:064x}',
                    'account': f'account-{number}',
                },
            ),
        ),
        memory('memory per VM', build_members),
        memory('memory per status', build_gossip_items),
        memory('memory per quota part', build_quota_shards),
        memory('memory per claim in the index', build_claims),
    ]


def listed(number: int) -> members.MemberEntry:
    """Return a VM."""
    return members.MemberEntry(
        zone=f'zone-{number % 20}',
        address=f'10.0.{number >> 8}.{number & 255}',
        port=7302,
        state='live',
    )


def build_members(size: int) -> members.Members:
    """Build a list of VMs."""
    known = members.Members('vm-0', 'zone-0')
    known.replace({f'vm-{number}': listed(number) for number in range(size)})
    return known


def build_gossip_items(size: int) -> gossip_store.GossipStore:
    """Build a store of statuses."""
    store = gossip_store.GossipStore()
    for number in range(size):
        store.store_if_newer(
            messages.GossipItem(
                'status', f'vm-{number}', number + 1, b'x' * 90
            ),
        )
    return store


def build_quota_shards(size: int) -> dict:
    """Build parts of quota in use."""
    parts = {}
    for number in range(size):
        held = quota_shard.QuotaShard(1, 10, 0)
        held.lease('vm-1', 1, 0.2, 10)
        parts[owner.ShardKey(f'account-{number}', number % 64)] = held
    return parts


def build_claims(size: int) -> dict:
    """Build an index of claims."""
    return {
        record.digest(str(number).encode()): shard_log.index_entry(
            claim(number),
            number // 100,
        )
        for number in range(size)
    }


def claim(number: int) -> record.Record:
    """Return a claim."""
    return record.Record(
        key=record.digest(str(number).encode()),
        fingerprint=record.digest(b'f', str(number).encode()),
        state=record.State.CLAIMED,
        token=f'{number:024x}',
        at=1.0,
    )


def message_slopes() -> list[Slope]:
    """Measure what messages cost, both ends together."""
    samples = {
        'heartbeat': messages.Heartbeat(1234, 0.5, False),
        'sums': messages.TopicSummaries(
            tuple(
                messages.TopicSummary(topic, 100, 2**60)
                for topic in ('vm', 'status', 'verdict', 'owners', 'draining')
            ),
        ),
        'status news': messages.GossipItems(
            (
                messages.GossipItem(
                    'status', 'vm-1234', 1_800_000_000_000, b'x' * 90
                ),
            ),
        ),
        'verdict news': messages.GossipItems(
            (messages.GossipItem('verdict', 'target-12345', 7, b'x' * 150),),
        ),
        'VM news': messages.GossipItems(
            (
                messages.GossipItem(
                    'vm', 'vm-1234', 1_800_000_000_000, b'x' * 70
                ),
            ),
        ),
        'change': messages.Changes((b'x' * 400,)),
        'tokens question': messages.TokenRequest('account-123456', 17, 1, 1),
        'tokens answer': messages.TokenGrant(1, 0, True),
        'report of 16 targets': messages.Report(
            tuple(
                messages.Observation(f'target-{number}', 5, 1, 0)
                for number in range(16)
            ),
        ),
    }
    key = b'k' * 64
    found = []
    for name, body in samples.items():
        frame = codec.Frame(body)
        raw = codec.encode(frame)
        size = len(raw) + frame_authentication.MAC_BYTES + 4
        found.append(single(f'bytes per {name}', 'bytes', size))

        def both(frame: codec.Frame = frame) -> None:
            encoded = codec.encode(frame)
            frame_authentication.compute_mac(key, 1, encoded)
            frame_authentication.compute_mac(key, 1, encoded)
            codec.decode(encoded)

        found.append(duration(f'time per {name}', both))
    return found


def put(number: int) -> change.Put:
    """Return a change of an account."""
    return change.Put(
        kind='client_account',
        body={'name': f'account-{number}', 'rate': 10, 'burst': 20},
    )


def configuration_slopes() -> list[Slope]:
    """Measure what configuration changes cost."""
    current = active_configuration.ActiveConfiguration()
    numbers = itertools.count(1)

    def apply() -> None:
        number = next(numbers)
        entry_ = change.Change(
            revision=number,
            author='bench',
            reason='bench',
            token='bench',
            at=1,
            puts=(put(number % 1000),),
        )
        current.apply(change.decode(entry_.encode()))

    return [duration('time per change applied', apply)]


def member_slopes() -> list[Slope]:
    """Measure what the size of the fleet costs."""
    points = []
    for size in (1000, 4000, 8900):
        known = build_members(size)

        def again(known: members.Members = known) -> None:
            known.invalidate_cache()
            known.successors()
            known.neighbours()
            known.live_vms()

        points.append((float(size), seconds_of(again, 3) * MICRO))
    return [fit('time per VM for a change of the list', 'us', points)]


def decision_slopes() -> list[Slope]:
    """Measure what decisions cost."""
    settings = entry.LimitSettings()
    account = client_account.ClientAccount(name='a', rate=1e6, burst=1e6)
    own = owner.QuotaOwner('vm-1', settings, lambda name: account)
    held = ownership.Ownership(dict.fromkeys(range(64), 'vm-1'))
    own.resume(clock.monotonic())
    own.apply_ownership(held, 1, clock.monotonic() - 100)
    share = quota_split.split_quota(account, settings)
    key = owner.ShardKey('a', share.partitions[0])

    def lease() -> None:
        now = clock.monotonic()
        own.last_tick_at = now
        own.lease('vm-2', key, 1, 1, now)

    judging = outlier_detector.OutlierDetector('vm-1', entry.RoutingSettings())
    healthy = ejection_state.EjectionState(
        target='t',
        epoch=0,
        standing=ejection_state.Standing.HEALTHY,
    )

    def observe() -> None:
        judging.record_observation(
            target_observation.TargetObservation(
                target='t',
                service='s',
                reporter='vm-2',
                zone='z',
                counts=result_counts.ResultCounts(5, 0, 0),
            ),
            healthy,
            clock.monotonic(),
        )

    def decide() -> None:
        judging.evaluate(clock.monotonic(), 36)

    def commit() -> None:
        segment.Segment(records=tuple(claim(number) for number in range(10)))

    return [
        duration('time per lease at the owner', lease),
        duration('time per observation at the judge', observe),
        duration('time per target judged', decide),
        duration('time per 10 claims', commit),
        single(
            'bytes per claim in the platform',
            'bytes',
            len(orjson.dumps(claim(1))),
        ),
    ]


def measure() -> list[Slope]:
    """Measure everything."""
    return [
        *memory_slopes(),
        *message_slopes(),
        *configuration_slopes(),
        *member_slopes(),
        *decision_slopes(),
    ]


def main() -> None:
    """Measure and write the page, or check it."""
    if '--check' not in sys.argv:
        found = measure()
        for slope in found:
            print(
                f'{slope.name}: {slope.slope:.2f} {slope.unit}, '
                f'residual {slope.residual:.1%}',
            )
        FIGURES.write_bytes(
            orjson.dumps(found, option=orjson.OPT_INDENT_2) + b'\n',
        )
        PAGE.write_text(capacity_page.render(FIGURES.read_bytes()))
        return
    current = capacity_page.render(FIGURES.read_bytes()) == PAGE.read_text()
    print('docs/CAPACITY.md is current' if current else 'it is not current')
    sys.exit(not current)


if __name__ == '__main__':
    main()
