"""Control costs per element, and the capacity page calculated from them.

Run with python -m bench.slopes: it measures and writes docs/CAPACITY.md.
With --check it only compares the page with the slopes in docs/slopes.json.
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
    frame_authentication,
    gossip_store,
    members,
    messages,
)
from sapphirepaddle.routing import (
    ejection_state,
    outlier_detector,
    result_counts,
    target_observation,
)
from sapphirepaddle.settings import entry

ROOT = pathlib.Path(__file__).parent.parent
SLOPES_PATH = ROOT / 'docs' / 'slopes.json'
PAGE_PATH = ROOT / 'docs' / 'CAPACITY.md'
MEASURED_SIZES = (2000, 8000, 20000)
REPEATS = 2000
US_PER_SECOND = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Slope of a straight line fitted through measured points.

    Attributes:
        name: Measured cost.
        unit: Unit of the slope.
        slope: Cost of one more element.
        residual: Largest distance of a point from the line, as a ratio of
            the measured cost.
    """

    name: str
    unit: str
    slope: float
    residual: float


def fit(name: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    """Fit a line through points of size and cost."""
    sizes = [size for size, _ in points]
    costs = [cost for _, cost in points]
    slope, intercept = statistics.linear_regression(sizes, costs)
    residual = max(
        abs(cost - (intercept + slope * size)) / max(cost, 1e-12)
        for size, cost in points
    )
    return Slope(name, unit, slope, round(residual, 4))


def constant_slope(name: str, unit: str, cost: float) -> Slope:
    """Return a cost that does not depend on a size, as a slope."""
    return Slope(name, unit, cost, 0)


def measure_memory(build: typing.Callable[[int], typing.Any], size: int) -> int:
    """Return the bytes of a structure with some number of elements."""
    tracemalloc.start()
    structure = build(size)
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del structure
    return traced_bytes


def memory_slope(name: str, build: typing.Callable[[int], typing.Any]) -> Slope:
    """Measure the memory of each element in bytes."""
    points = [
        (float(size), float(measure_memory(build, size)))
        for size in MEASURED_SIZES
    ]
    return fit(name, 'bytes', points)


def measure_seconds(
    call: typing.Callable[[], typing.Any], repeats: int
) -> float:
    """Return the CPU seconds of one call, the minimum of three runs."""

    def measure_once() -> float:
        started_at = time.process_time()
        for _ in range(repeats):
            call()
        return (time.process_time() - started_at) / repeats

    return min(measure_once() for _ in range(3))


def duration_slope(name: str, call: typing.Callable[[], typing.Any]) -> Slope:
    """Measure the CPU time of one call in microseconds."""
    return constant_slope(
        name, 'us', measure_seconds(call, REPEATS) * US_PER_SECOND
    )


def object_table_builder(
    kind: str, body: typing.Callable[[int], dict]
) -> typing.Any:
    """Return a function that builds a table of objects of some size."""

    def build(size: int) -> dict:
        table = {}
        for number in range(size):
            parsed = kinds.find(kind).parse(body(number))
            table[parsed.name] = parsed
        return table

    return build


def memory_slopes() -> list[Slope]:
    """Measure the memory of each kind of state."""
    return [
        memory_slope(
            'memory per route',
            object_table_builder(
                'route',
                lambda number: {
                    'name': f'route-{number}',
                    'prefix': f'/service-{number}/path',
                    'service': f'service-{number}',
                },
            ),
        ),
        memory_slope(
            'memory per target',
            object_table_builder(
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
        memory_slope(
            'memory per client account',
            object_table_builder(
                'client_account',
                lambda number: {
                    'name': f'account-{number}',
                    'rate': 10.5,
                    'burst': 20.5,
                },
            ),
        ),
        memory_slope(
            'memory per key',
            object_table_builder(
                'key',
                lambda number: {
                    'name': f'{number:064x}',
                    'account': f'account-{number}',
                },
            ),
        ),
        memory_slope('memory per VM', build_members),
        memory_slope('memory per status', build_gossip_items),
        memory_slope('memory per quota part', build_quota_shards),
        memory_slope('memory per claim in the index', build_claims),
    ]


def member_entry(number: int) -> members.MemberEntry:
    """Return the entry of a VM in the list of members."""
    return members.MemberEntry(
        zone=f'zone-{number % 20}',
        address=f'10.0.{number >> 8}.{number & 255}',
        port=7302,
        state='live',
    )


def build_members(size: int) -> members.Members:
    """Build a list of members."""
    member_list = members.Members('vm-0', 'zone-0')
    member_list.replace(
        {f'vm-{number}': member_entry(number) for number in range(size)}
    )
    return member_list


def build_gossip_items(size: int) -> gossip_store.GossipStore:
    """Build a gossip store with one status for each VM."""
    store = gossip_store.GossipStore()
    for number in range(size):
        store.store_if_newer(
            messages.GossipItem(
                'status', f'vm-{number}', number + 1, b'x' * 90
            ),
        )
    return store


def build_quota_shards(size: int) -> dict:
    """Build quota shards with one lease each."""
    shards = {}
    for number in range(size):
        shard = quota_shard.QuotaShard(1, 10, 0)
        request = quota_shard.LeaseRequest('vm-1', 1)
        shard.lease(request, 0.2, 10)
        shards[owner.ShardKey(f'account-{number}', number % 64)] = shard
    return shards


def build_claims(size: int) -> dict:
    """Build an index of claims as the log of a shard keeps it."""
    return {
        record.digest(str(number).encode()): shard_log.index_entry(
            claim_record(number),
            number // 100,
        )
        for number in range(size)
    }


def claim_record(number: int) -> record.Record:
    """Return the record of a claim."""
    return record.Record(
        key=record.digest(str(number).encode()),
        fingerprint=record.digest(b'f', str(number).encode()),
        state=record.State.CLAIMED,
        token=f'{number:024x}',
        at=1.0,
    )


def message_slopes() -> list[Slope]:
    """Measure size and CPU time of messages, at both ends together."""
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
    slopes = []
    for name, body in samples.items():
        frame = codec.Frame(body)
        encoded_frame = codec.encode(frame)
        size = len(encoded_frame) + frame_authentication.MAC_BYTES + 4
        slopes.append(constant_slope(f'bytes per {name}', 'bytes', size))

        def process_both_ends(frame: codec.Frame = frame) -> None:
            encoded = codec.encode(frame)
            frame_authentication.compute_mac(key, 1, encoded)
            frame_authentication.compute_mac(key, 1, encoded)
            codec.decode(encoded)

        slopes.append(duration_slope(f'time per {name}', process_both_ends))
    return slopes


def account_put(number: int) -> change.Put:
    """Return a change that puts a client account."""
    return change.Put(
        kind='client_account',
        body={'name': f'account-{number}', 'rate': 10, 'burst': 20},
    )


def configuration_slopes() -> list[Slope]:
    """Measure the CPU time of applying a configuration change."""
    current = active_configuration.ActiveConfiguration()
    numbers = itertools.count(1)

    def apply() -> None:
        number = next(numbers)
        account_change = change.Change(
            revision=number,
            author='bench',
            reason='bench',
            token='bench',
            at=1,
            puts=(account_put(number % 1000),),
        )
        current.apply(change.decode(account_change.encode()))

    return [duration_slope('time per change applied', apply)]


def member_slopes() -> list[Slope]:
    """Measure the CPU time of a membership change for each VM."""
    points = []
    for size in (1000, 4000, 8900):
        member_list = build_members(size)

        def rebuild_ring(member_list: members.Members = member_list) -> None:
            member_list.invalidate_cache()
            member_list.successors()
            member_list.neighbours()
            member_list.live_vms()

        points.append(
            (float(size), measure_seconds(rebuild_ring, 3) * US_PER_SECOND)
        )
    return [fit('time per VM for a change of the list', 'us', points)]


def decision_slopes() -> list[Slope]:
    """Measure the cost of leases, ejection decisions and claims."""
    settings = entry.LimitSettings()
    account = client_account.ClientAccount(name='a', rate=1e6, burst=1e6)
    quota_owner = owner.QuotaOwner('vm-1', settings, lambda name: account)
    owned = ownership.Ownership(dict.fromkeys(range(64), 'vm-1'))
    quota_owner.resume(clock.monotonic())
    quota_owner.apply_ownership(owned, 1, clock.monotonic() - 100)
    split = quota_split.split_quota(account, settings)
    key = owner.ShardKey('a', split.partitions[0])

    def lease() -> None:
        now = clock.monotonic()
        quota_owner.last_tick_at = now
        request = quota_shard.LeaseRequest('vm-2', 1, 1)
        quota_owner.lease(request, key, now)

    detector = outlier_detector.OutlierDetector('vm-1', entry.RoutingSettings())
    healthy = ejection_state.EjectionState(
        target='t',
        epoch=0,
        standing=ejection_state.Standing.HEALTHY,
    )

    def observe() -> None:
        detector.record_observation(
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
        detector.evaluate(clock.monotonic(), 36)

    def commit() -> None:
        segment.Segment(
            records=tuple(claim_record(number) for number in range(10))
        )

    return [
        duration_slope('time per lease at the owner', lease),
        duration_slope('time per observation at the judge', observe),
        duration_slope('time per target judged', decide),
        duration_slope('time per 10 claims', commit),
        constant_slope(
            'bytes per claim in the platform',
            'bytes',
            len(orjson.dumps(claim_record(1))),
        ),
    ]


def measure() -> list[Slope]:
    """Measure all slopes."""
    return [
        *memory_slopes(),
        *message_slopes(),
        *configuration_slopes(),
        *member_slopes(),
        *decision_slopes(),
    ]


def main() -> None:
    """Measure and write the page, or check with --check that it is current."""
    if '--check' not in sys.argv:
        slopes = measure()
        for slope in slopes:
            print(
                f'{slope.name}: {slope.slope:.2f} {slope.unit}, '
                f'residual {slope.residual:.1%}',
            )
        SLOPES_PATH.write_bytes(
            orjson.dumps(slopes, option=orjson.OPT_INDENT_2) + b'\n',
        )
        PAGE_PATH.write_text(capacity_page.render(SLOPES_PATH.read_bytes()))
        return
    is_current = (
        capacity_page.render(SLOPES_PATH.read_bytes()) == PAGE_PATH.read_text()
    )
    print(
        'docs/CAPACITY.md is current'
        if is_current
        else 'docs/CAPACITY.md is not current'
    )
    sys.exit(not is_current)


if __name__ == '__main__':
    main()
