"""Capacity page: control costs at fleet size, extrapolated from slopes."""

import typing

import orjson

DAEMONS = 8900
INSTANCES = 200_000
SERVICES = 12_000
REQUESTS_PER_SECOND = 2_900_000
ROUTES = 77_000
ACCOUNTS = 1_000_000
ZONES = 20
REGIONS = 7
CHANGES_PER_DAY = 18_000
REPLACEMENTS_PER_DAY = 13_000
SECONDS_PER_DAY = 86_400
CONNECTIONS_PER_DAEMON = 26
"""Peer connections of a daemon on a ring of 8,900 daemons, 2 log2(n)."""

CORE_BUDGET_RATIO = 0.042
MEMORY_BUDGET_BYTES = 256e6
BYTES_PER_SECOND_BUDGET = 5000
WRITES_PER_SECOND_BUDGET = 300
READS_PER_SECOND_BUDGET = 2000
HEARTBEAT_SECONDS = 0.5
DIGEST_SECONDS = 1
STATUS_BYTES_SLOPE = 'bytes per status news'
ORDER_RATIO = 0.1
SHARDS = 8
COMMIT_SECONDS = 0.02


class Row(typing.NamedTuple):
    """Costs of one role of a daemon at the full fleet size.

    Attributes:
        role: Name of the role.
        state: State that the role holds.
        messages_per_second: Messages of one daemon with the role.
        core_ratio: Ratio of one core, from 0 to 1.
        memory_bytes: Memory of the state.
        bytes_per_second: Network traffic.
        mechanism: Mechanism of the present implementation.
        scaled_mechanism: Mechanism that would stay within the budgets where
            the present one exceeds one.
    """

    role: str
    state: str
    messages_per_second: float
    core_ratio: float
    memory_bytes: float
    bytes_per_second: float
    mechanism: str
    scaled_mechanism: str = ''


def mark_over_budget(value: float, budget: float, formatted: str) -> str:
    """Return a formatted value, marked if it exceeds its budget."""
    return f'**{formatted} over**' if value > budget else formatted


def build_rows(cost: dict[str, float]) -> list[Row]:
    """Return the costs of each role.

    Args:
        cost: Measured slopes by name, in bytes or microseconds.
    """
    requests_per_daemon = REQUESTS_PER_SECOND / DAEMONS
    seconds_per_us = 1e-6
    changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    vm_changes_per_second = 2 * REPLACEMENTS_PER_DAY / SECONDS_PER_DAY
    full_memory_bytes = (
        ROUTES * cost['memory per route']
        + INSTANCES * cost['memory per target']
        + ACCOUNTS * cost['memory per client account']
        + ACCOUNTS * cost['memory per key']
    )
    routing_memory_bytes = (
        ROUTES * cost['memory per route']
        + INSTANCES * cost['memory per target']
    )
    cached_accounts_bytes = 20_000 * (
        cost['memory per client account'] + cost['memory per key']
    )
    heartbeats_per_second = CONNECTIONS_PER_DAEMON / HEARTBEAT_SECONDS
    digests_per_second = CONNECTIONS_PER_DAEMON / DIGEST_SECONDS
    token_requests_per_second = requests_per_daemon * 0.9
    token_bytes_per_second = token_requests_per_second * (
        cost['bytes per tokens question'] + cost['bytes per tokens answer']
    )
    reports_per_second = 300 / 0.4
    statuses_per_second = DAEMONS * changes_per_second
    judged_targets = SERVICES / DAEMONS * 16
    return [
        Row(
            'configuration in memory',
            f'{ROUTES:,} routes, {INSTANCES:,} targets, {ACCOUNTS:,} accounts '
            'and keys',
            changes_per_second * CONNECTIONS_PER_DAEMON / 2,
            changes_per_second
            * CONNECTIONS_PER_DAEMON
            * cost['time per change']
            * seconds_per_us
            + changes_per_second
            * cost['time per change applied']
            * seconds_per_us,
            full_memory_bytes,
            changes_per_second
            * CONNECTIONS_PER_DAEMON
            / 2
            * cost['bytes per change'],
            'change log, passed on over the ring; whole copy in each daemon',
            'routes and targets whole, accounts and keys on first use from '
            'the owners of their partition, 20,000 kept: '
            f'{(routing_memory_bytes + cached_accounts_bytes) / 1e6:.0f} MB; a withdrawn key still reaches '
            'all as news',
        ),
        Row(
            'heartbeats and comparisons',
            f'{CONNECTIONS_PER_DAEMON} connections',
            heartbeats_per_second + digests_per_second,
            heartbeats_per_second * cost['time per heartbeat'] * seconds_per_us
            + digests_per_second * cost['time per sums'] * seconds_per_us,
            CONNECTIONS_PER_DAEMON * 200_000,
            heartbeats_per_second * cost['bytes per heartbeat']
            + digests_per_second * cost['bytes per sums'],
            'ring of 2 log2(n) connections',
            'heartbeat every 2 s and comparison every 10 s at this size '
            '(settings): '
            f'{CONNECTIONS_PER_DAEMON / 2 * cost["bytes per heartbeat"] + CONNECTIONS_PER_DAEMON / 10 * cost["bytes per sums"]:.0f} '
            'bytes a second',
        ),
        Row(
            'list of VMs',
            f'{DAEMONS:,} VMs',
            vm_changes_per_second * CONNECTIONS_PER_DAEMON / 2,
            vm_changes_per_second
            * (
                DAEMONS * cost['time per VM for a change of the list']
                + CONNECTIONS_PER_DAEMON * cost['time per VM news']
            )
            * seconds_per_us,
            DAEMONS * cost['memory per VM'],
            vm_changes_per_second
            * CONNECTIONS_PER_DAEMON
            / 2
            * cost['bytes per VM news'],
            'changes as news; the order of the ring once for each change',
        ),
        Row(
            'statuses, in force on n of N',
            f'{DAEMONS:,} statuses',
            statuses_per_second * CONNECTIONS_PER_DAEMON / 2,
            statuses_per_second
            * CONNECTIONS_PER_DAEMON
            * cost['time per status news']
            * seconds_per_us,
            DAEMONS * cost['memory per status'],
            statuses_per_second
            * CONNECTIONS_PER_DAEMON
            / 2
            * cost[STATUS_BYTES_SLOPE],
            'each status as news to all',
            'counts summed up along a tree in hash order, one message to the '
            'parent for each change: '
            f'{changes_per_second * 2 * cost[STATUS_BYTES_SLOPE]:.0f} bytes a second',
        ),
        Row(
            'quota, asking',
            '20,000 accounts in use',
            token_requests_per_second * 2,
            token_requests_per_second
            * (
                cost['time per tokens question']
                + cost['time per tokens answer']
            )
            * seconds_per_us
            / 2,
            20_000 * cost['memory per quota part'],
            token_bytes_per_second,
            'one question for each request whose part is owned elsewhere',
            "the request itself is handed to a daemon of its account's "
            'partition in the same zone, which owns the part: no question, '
            'one more hop of payload, no control bytes',
        ),
        Row(
            'quota, owning',
            '64 partitions, settings: 4,096',
            token_requests_per_second * 2,
            token_requests_per_second
            * (
                cost['time per lease at the owner']
                + (
                    cost['time per tokens question']
                    + cost['time per tokens answer']
                )
                / 2
            )
            * seconds_per_us,
            ACCOUNTS * 1.5 / DAEMONS * cost['memory per quota part'],
            token_bytes_per_second,
            'parts at owners; ownership is one object of the platform',
            'as above: with the request at its owner a lease costs '
            f'{token_requests_per_second * cost["time per lease at the owner"] * seconds_per_us:.4f} of a '
            'core and no bytes',
        ),
        Row(
            'evidence, reporting',
            'about 300 services a daemon',
            reports_per_second,
            reports_per_second
            * cost['time per report of 16 targets']
            * seconds_per_us
            / 2,
            300 * 16 * 1000,
            reports_per_second * cost['bytes per report of 16 targets'],
            'a report to the judge of each service with traffic',
            'services subset to daemons (16 services each by rendezvous '
            'hashing, requests handed on), bad results at once, good ones '
            'every 4 s: '
            f'{16 / 4 * cost["bytes per report of 16 targets"]:.0f} bytes a '
            'second',
        ),
        Row(
            'evidence, judging',
            f'{judged_targets:.0f} targets',
            reports_per_second,
            judged_targets
            / 0.2
            * cost['time per target judged']
            * seconds_per_us
            + reports_per_second
            * (
                cost['time per report of 16 targets'] / 2
                + 16 * cost['time per observation at the judge']
            )
            * seconds_per_us,
            judged_targets * 330 * 700,
            reports_per_second * cost['bytes per report of 16 targets'],
            'judge of each service by rendezvous hashing',
            'as above: reports of a service come from the daemons of its '
            'subset only, at most 330',
        ),
        Row(
            'probing',
            f'{judged_targets * 2:.0f} targets',
            judged_targets * 2 / 2,
            judged_targets * 2 / 2 * 400 * seconds_per_us,
            0,
            judged_targets * 2 / 2 * 300,
            'two probers for each service, every 2 s, 25 ms of a slot each',
            'probe every 4 s at this size (setting): '
            f'{judged_targets * 2 / 4 * 300:.0f} bytes a second',
        ),
        Row(
            'claims, owner of a shard',
            f'{SHARDS} shards',
            REQUESTS_PER_SECOND * ORDER_RATIO / 100 / SHARDS,
            REQUESTS_PER_SECOND
            * ORDER_RATIO
            / 100
            / SHARDS
            * cost['time per 10 claims']
            / 10
            * seconds_per_us,
            REQUESTS_PER_SECOND
            * ORDER_RATIO
            / 100
            / SHARDS
            * 3600
            * cost['memory per claim in the index'],
            REQUESTS_PER_SECOND
            * ORDER_RATIO
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
            200 * seconds_per_us,
            100_000,
            0.2 * 400,
            'one object a second at most, only when something happened',
        ),
    ]


PAGE_HEAD = """# Size

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


def format_row(row: Row) -> str:
    """Return the table row of a role in Markdown."""
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
    """Return whether a role exceeds a budget."""
    return (
        row.core_ratio > CORE_BUDGET_RATIO
        or row.memory_bytes > MEMORY_BUDGET_BYTES
        or row.bytes_per_second > BYTES_PER_SECOND_BUDGET
    )


PAGE_TAIL = """
## The platform

It takes several hundred writes and about 2,000 reads a second, each waiting
watch one.

| calls | a second | from |
|---|---|---|
| list of VMs | {list_calls:.1f} | one watcher in each of {zones} zones, every 2 s |
| watches | {watch_calls:.1f} | the same, each at most 2 s, {zones} waiting at a time |
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

## Calls of `paddle-edge` to its store

Measured by `python -m bench.store_calls`: idle daemons in one process, three
zones, a source in memory. A read that may be stale counts as a tenth.

| daemons | start, 12 s | of these fresh lists, entries created | idle, 6 s | return from a copy, 6 s | of these fresh lists |
|---|---|---|---|---|---|
| 36 | 230.4 | 108, 36 | 33.0 | 60.7 | 12 |
| 112 | 873.2 | 336, 112 | 92.2 | 153.9 | 12 |
| 205 | 2516.6 | 615, 205 | 688.5 | 1162.2 | 226 |
| 292 | 3121.5 | 876, 292 | 591.4 | 2088.1 | 449 |

A daemon that starts makes three fresh lists (configuration, targets, members),
creates one entry and makes two stale lists; the rest are watches. At a return the
readers make 12 fresh lists for all. With 205 and 292 daemons the one process is
overloaded: even idle daemons make several times the calls of 112, and daemons that
wait for the readers give up and list by themselves. What as many processes would do
was not measured.

## Bytes within a zone of `paddle-edge`

Measured by `python -m bench.zone_bytes`: payload of datagrams on virtual time, two
results a second at each daemon, nothing from other zones. With three hubs whatever the
size (6098433), and with a hub for each six daemons:

| daemons of the zone | busiest hub before, kB/s | now | datagrams received per second before | now | relay of one change by a reader, kB |
|---|---|---|---|---|---|
| 16 | 33 | 23 | 27 | 25 | 6.1 |
| 33 | 118 | 51 | 40 | 43 | 13.1 |
| 69 | 451 | 109 | 57 | 90 | 27.7 |
| 98 | 850 | 162 | 59 | 130 | 39.6 |

A link of 10 Mbit/s carries 1,250 kB/s. Digests of other zones, several counts in a
digest and headers come on top. What a reader sends to relay changes still grows with
the zone: 35 changes a second in a zone of 69 are 970 kB/s.
"""


def render(slopes_json: bytes) -> str:
    """Return the page in Markdown.

    Args:
        slopes_json: Measured slopes in JSON.
    """
    slopes = orjson.loads(slopes_json)
    cost = {slope['name']: slope['slope'] for slope in slopes}
    starts_per_second = REPLACEMENTS_PER_DAY / SECONDS_PER_DAY
    page_parts = [
        PAGE_HEAD.format(
            daemons=DAEMONS,
            instances=INSTANCES,
            services=SERVICES,
            requests=REQUESTS_PER_SECOND,
            routes=ROUTES,
            accounts=ACCOUNTS,
            zones=ZONES,
            regions=REGIONS,
            changes=CHANGES_PER_DAY,
            moves=REPLACEMENTS_PER_DAY,
        ).rstrip(),
        *map(format_row, build_rows(cost)),
        PAGE_TAIL.format(
            zones=ZONES,
            list_calls=ZONES / 2,
            watch_calls=ZONES / 2 + CHANGES_PER_DAY / SECONDS_PER_DAY * ZONES,
            start_calls=starts_per_second * 5,
            moves=REPLACEMENTS_PER_DAY,
            claim_calls=SHARDS / COMMIT_SECONDS,
            shards=SHARDS,
            most_shards=int(WRITES_PER_SECOND_BUDGET * COMMIT_SECONDS) + 1,
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
    return '\n'.join(page_parts)
