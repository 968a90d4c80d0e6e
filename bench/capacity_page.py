"""The page on size, worked out from measured slopes."""

import typing

import orjson

DAEMONS = 8900
INSTANCES = 200_000
SERVICES = 12_000
REQUESTS = 2_900_000
ROUTES = 77_000
ACCOUNTS = 1_000_000
ZONES = 20
REGIONS = 7
CHANGES_A_DAY = 18_000
REPLACEMENTS_A_DAY = 13_000
DAY = 86_400
CONNECTIONS_PER_DAEMON = 26
"""Connections of a daemon on the ring of 8,900: 2 log2(n)."""

CORE_BUDGET_RATIO = 0.042
MEMORY_BUDGET_BYTES = 256e6
BYTES_PER_SECOND_BUDGET = 5000
WRITES_BUDGET = 300
READS_BUDGET = 2000
HEARTBEAT_SECONDS = 0.5
DIGEST_SECONDS = 1
STATUS_BYTES_SLOPE = 'bytes per status news'
ORDER_SHARE = 0.1
SHARDS = 8
COMMIT_SECONDS = 0.02


class Row(typing.NamedTuple):
    """One role of a daemon at the size of the letter.

    Attributes:
        role: The role.
        state: What it holds.
        messages: Messages a second for one daemon that has it.
        core: Share of a core.
        memory: Bytes of memory.
        bytes: Bytes a second.
        mechanism: What carries it.
        next: What would carry it where today's build is over a budget.
    """

    role: str
    state: str
    messages_per_second: float
    core_ratio: float
    memory_bytes: float
    bytes_per_second: float
    mechanism: str
    scaled_mechanism: str = ''


def mark_over_budget(figure: float, budget: float, shown: str) -> str:
    """Return a figure, marked if it is over its budget."""
    return f'**{shown} over**' if figure > budget else shown


def rows(cost: dict[str, float]) -> list[Row]:
    """Work out each role."""
    per_daemon = REQUESTS / DAEMONS
    micro = 1e-6
    changes = CHANGES_A_DAY / DAY
    moves = 2 * REPLACEMENTS_A_DAY / DAY
    full = (
        ROUTES * cost['memory per route']
        + INSTANCES * cost['memory per target']
        + ACCOUNTS * cost['memory per client account']
        + ACCOUNTS * cost['memory per key']
    )
    slim = (
        ROUTES * cost['memory per route']
        + INSTANCES * cost['memory per target']
    )
    working = 20_000 * (
        cost['memory per client account'] + cost['memory per key']
    )
    beats = CONNECTIONS_PER_DAEMON / HEARTBEAT_SECONDS
    sums = CONNECTIONS_PER_DAEMON / DIGEST_SECONDS
    asks = per_daemon * 0.9
    leases = asks * (
        cost['bytes per tokens question'] + cost['bytes per tokens answer']
    )
    reports = 300 / 0.4
    statuses = DAEMONS * changes
    judged = SERVICES / DAEMONS * 16
    return [
        Row(
            'configuration in memory',
            f'{ROUTES:,} routes, {INSTANCES:,} targets, {ACCOUNTS:,} accounts '
            'and keys',
            changes * CONNECTIONS_PER_DAEMON / 2,
            changes * CONNECTIONS_PER_DAEMON * cost['time per change'] * micro
            + changes * cost['time per change applied'] * micro,
            full,
            changes * CONNECTIONS_PER_DAEMON / 2 * cost['bytes per change'],
            'change log, passed on over the ring; whole copy in each daemon',
            'routes and targets whole, accounts and keys on first use from '
            'the owners of their partition, 20,000 kept: '
            f'{(slim + working) / 1e6:.0f} MB; a withdrawn key still reaches '
            'all as news',
        ),
        Row(
            'heartbeats and comparisons',
            f'{CONNECTIONS_PER_DAEMON} connections',
            beats + sums,
            beats * cost['time per heartbeat'] * micro
            + sums * cost['time per sums'] * micro,
            CONNECTIONS_PER_DAEMON * 200_000,
            beats * cost['bytes per heartbeat'] + sums * cost['bytes per sums'],
            'ring of 2 log2(n) connections',
            'heartbeat every 2 s and comparison every 10 s at this size '
            '(settings): '
            f'{CONNECTIONS_PER_DAEMON / 2 * cost["bytes per heartbeat"] + CONNECTIONS_PER_DAEMON / 10 * cost["bytes per sums"]:.0f} '
            'bytes a second',
        ),
        Row(
            'list of VMs',
            f'{DAEMONS:,} VMs',
            moves * CONNECTIONS_PER_DAEMON / 2,
            moves
            * (
                DAEMONS * cost['time per VM for a change of the list']
                + CONNECTIONS_PER_DAEMON * cost['time per VM news']
            )
            * micro,
            DAEMONS * cost['memory per VM'],
            moves * CONNECTIONS_PER_DAEMON / 2 * cost['bytes per VM news'],
            'changes as news; the order of the ring once for each change',
        ),
        Row(
            'statuses, in force on n of N',
            f'{DAEMONS:,} statuses',
            statuses * CONNECTIONS_PER_DAEMON / 2,
            statuses
            * CONNECTIONS_PER_DAEMON
            * cost['time per status news']
            * micro,
            DAEMONS * cost['memory per status'],
            statuses * CONNECTIONS_PER_DAEMON / 2 * cost[STATUS_BYTES_SLOPE],
            'each status as news to all',
            'counts summed up along a tree in hash order, one message to the '
            'parent for each change: '
            f'{changes * 2 * cost[STATUS_BYTES_SLOPE]:.0f} bytes a second',
        ),
        Row(
            'quota, asking',
            '20,000 accounts in use',
            asks * 2,
            asks
            * (
                cost['time per tokens question']
                + cost['time per tokens answer']
            )
            * micro
            / 2,
            20_000 * cost['memory per quota part'],
            leases,
            'one question for each request whose part is owned elsewhere',
            "the request itself is handed to a daemon of its account's "
            'partition in the same zone, which owns the part: no question, '
            'one more hop of payload, no control bytes',
        ),
        Row(
            'quota, owning',
            '64 partitions, settings: 4,096',
            asks * 2,
            asks
            * (
                cost['time per lease at the owner']
                + (
                    cost['time per tokens question']
                    + cost['time per tokens answer']
                )
                / 2
            )
            * micro,
            ACCOUNTS * 1.5 / DAEMONS * cost['memory per quota part'],
            leases,
            'parts at owners; ownership is one object of the platform',
            'as above: with the request at its owner a lease costs '
            f'{asks * cost["time per lease at the owner"] * micro:.4f} of a '
            'core and no bytes',
        ),
        Row(
            'evidence, reporting',
            'about 300 services a daemon',
            reports,
            reports * cost['time per report of 16 targets'] * micro / 2,
            300 * 16 * 1000,
            reports * cost['bytes per report of 16 targets'],
            'a report to the judge of each service with traffic',
            'services subset to daemons (16 services each by rendezvous '
            'hashing, requests handed on), bad results at once, good ones '
            'every 4 s: '
            f'{16 / 4 * cost["bytes per report of 16 targets"]:.0f} bytes a '
            'second',
        ),
        Row(
            'evidence, judging',
            f'{judged:.0f} targets',
            reports,
            judged / 0.2 * cost['time per target judged'] * micro
            + reports
            * (
                cost['time per report of 16 targets'] / 2
                + 16 * cost['time per observation at the judge']
            )
            * micro,
            judged * 330 * 700,
            reports * cost['bytes per report of 16 targets'],
            'judge of each service by rendezvous hashing',
            'as above: reports of a service come from the daemons of its '
            'subset only, at most 330',
        ),
        Row(
            'probing',
            f'{judged * 2:.0f} targets',
            judged * 2 / 2,
            judged * 2 / 2 * 400 * micro,
            0,
            judged * 2 / 2 * 300,
            'two probers for each service, every 2 s, 25 ms of a slot each',
            'probe every 4 s at this size (setting): '
            f'{judged * 2 / 4 * 300:.0f} bytes a second',
        ),
        Row(
            'claims, owner of a shard',
            f'{SHARDS} shards',
            REQUESTS * ORDER_SHARE / 100 / SHARDS,
            REQUESTS
            * ORDER_SHARE
            / 100
            / SHARDS
            * cost['time per 10 claims']
            / 10
            * micro,
            REQUESTS
            * ORDER_SHARE
            / 100
            / SHARDS
            * 3600
            * cost['memory per claim in the index'],
            REQUESTS
            * ORDER_SHARE
            / 100
            / SHARDS
            * cost['bytes per claim in the platform']
            * 2,
            'group commit: one write for all claims of 20 ms; figures for one '
            'order in 1,000 requests and an hour of memory',
            'shards in proportion to orders, index by time with older keys '
            'read from the platform; writes stay at shards / commit time',
        ),
        Row(
            'audit',
            'entries of one second',
            1,
            200 * micro,
            100_000,
            0.2 * 400,
            'one object a second at most, only when something happened',
        ),
    ]


HEAD = """# Size

Written by `python -m bench.slopes` from slopes measured on one machine
(`docs/slopes.json`); `python -m bench.slopes --check` tells whether page and
figures agree. The size is that of the letter: {daemons:,} daemons before
{instances:,} instances in {services:,} services, {requests:,} requests a
second, {routes:,} routes, {accounts:,} client accounts, {zones} availability
zones in {regions} regions, {changes:,} changes of configuration and
{moves:,} replacements a day. A daemon may spend on control 4.2% of a core,
256 MB and 5 KB a second.

Today's 36 VMs were measured as processes and are inside every budget
([figures](design/todays-size.md)). At the letter's size, rows
marked **over** are over a budget in today's build; the last column names the
mechanism that would carry them, with its own figures. That mechanism is not
built. Not measured but assumed: 200 kB for a connection, 1 kB for a target's
view, 700 bytes for an observer's window, 0.4 ms and 300 bytes for a probe,
0.2 ms for an audit entry, 150 ms for a step between regions, one order in
1,000 requests, 90% of parts owned elsewhere.

| role | state | messages a second | core | memory | bytes a second | mechanism today | where over |
|---|---|---|---|---|---|---|---|
"""


def line(row: Row) -> str:
    """Return the line of a role."""
    cells = (
        row.role,
        row.state,
        f'{row.messages_per_second:.1f}',
        mark_over_budget(
            row.core_ratio, CORE_BUDGET_RATIO, f'{row.core_ratio:.2%}'
        ),
        mark_over_budget(
            row.memory_bytes,
            MEMORY_BUDGET_BYTES,
            f'{row.memory_bytes / 1e6:.1f} MB',
        ),
        mark_over_budget(
            row.bytes_per_second,
            BYTES_PER_SECOND_BUDGET,
            f'{row.bytes_per_second:.0f}',
        ),
        row.mechanism,
        row.scaled_mechanism if is_over(row) else '-',
    )
    return f'| {" | ".join(cells)} |'


def is_over(row: Row) -> bool:
    """Tell whether a role is over a budget."""
    return (
        row.core_ratio > CORE_BUDGET_RATIO
        or row.memory_bytes > MEMORY_BUDGET_BYTES
        or row.bytes_per_second > BYTES_PER_SECOND_BUDGET
    )


TAIL = """
## The platform

It takes several hundred writes and about 2,000 reads a second, each waiting
watch one.

| calls | a second | from |
|---|---|---|
| list of VMs | {list_calls:.1f} | one watcher in each of {zones} zones, every 2 s |
| watches | {watch_calls:.1f} | the same, each at most 10 s, {zones} waiting at a time |
| start of a daemon | {start_calls:.2f} | list, ownership, snapshot and newest changes, for {moves:,} replacements a day; today a snapshot of everything is read in parts of 1,000 objects, 2,300 at this size, too many for each start: the peers' pages serve instead when routes and targets only are whole |
| claims | {claim_calls:.0f} at most | {shards} shards, one write in 20 ms each; more than several hundred writes a second would be reached at {most_shards} shards |
| audit | {audit_calls:.1f} | a verdict or change now and then |
| while nobody hears the platform | 100 at most | reads are spread over the fleet: each daemon waits n / 100 s |

## In force within 4 s

A change is written (milliseconds), seen by a waiting watch (one round), and
passed on over the ring in at most {steps} steps (measured: 7 rounds at 8,900
daemons, `docs/design/spreading-news.md`). At 150 ms a step between regions
that is about {in_force:.1f} s. A daemon that missed it is told by the next
heartbeat of a neighbour.

## When much goes at once

| event | what happens |
|---|---|
| a rack (about 40 VMs) | their quota parts lapse until the list drops them and {reclaim} s pass: {rack:.2%} of all quota for that time; judges and claim owners move with the list; claims in between are written by the asking daemon itself |
| an availability zone (445 VMs) | {zone:.0%} of quota for that time; the ring keeps {degree} neighbours spread over all zones, so that no daemon loses more than about {zone:.0%} of its connections |
| regions lose each other for an hour | the side that reaches the platform goes on; on the other side the platform is silent: configuration and verdicts stay, quota owned there stays served, quota owned across is refused, orders with an idempotency key are refused as not run, and a daemon that hears less than half its neighbours refuses keyed routes. A region of {region:.0%} of the VMs hears about {region:.0%} of its neighbours, so it would refuse. A ring for each region with a few links between them is the mechanism for that size; it is not built |

## Slopes

| what | slope | residual |
|---|---|---|
"""


def render(figures: bytes) -> str:
    """Return the page.

    Args:
        figures: The measured slopes in JSON.
    """
    slopes = orjson.loads(figures)
    cost = {slope['name']: slope['slope'] for slope in slopes}
    starts = REPLACEMENTS_A_DAY / DAY
    parts = [
        HEAD.format(
            daemons=DAEMONS,
            instances=INSTANCES,
            services=SERVICES,
            requests=REQUESTS,
            routes=ROUTES,
            accounts=ACCOUNTS,
            zones=ZONES,
            regions=REGIONS,
            changes=CHANGES_A_DAY,
            moves=REPLACEMENTS_A_DAY,
        ).rstrip(),
        *map(line, rows(cost)),
        TAIL.format(
            zones=ZONES,
            list_calls=ZONES / 2,
            watch_calls=ZONES / 10 + CHANGES_A_DAY / DAY * ZONES,
            start_calls=starts * 5,
            moves=REPLACEMENTS_A_DAY,
            claim_calls=SHARDS / COMMIT_SECONDS,
            shards=SHARDS,
            most_shards=int(WRITES_BUDGET * COMMIT_SECONDS) + 1,
            audit_calls=1.0,
            steps=DAEMONS.bit_length(),
            in_force=7 * 0.15 + 0.2,
            reclaim=5,
            rack=40 / DAEMONS,
            zone=1 / ZONES,
            degree=CONNECTIONS_PER_DAEMON,
            region=1 / REGIONS,
        ).rstrip(),
        *(
            f'| {slope["name"]} | {slope["slope"]:.1f} {slope["unit"]} '
            f'| {slope["residual"]:.1%} |'
            for slope in slopes
        ),
        '',
    ]
    return '\n'.join(parts)
