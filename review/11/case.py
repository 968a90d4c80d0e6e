"""A key that was taken away after a drill of the store stays in force.

The store is away for 0.3 s and comes back from a copy that is 3 s old. Its
revision reaches the number that the daemons had read before they call again.
"""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import bed3  # noqa: E402

DAEMONS = 6
HOST = 'depot.example'
AWAY_SECONDS = 0.3
COPY_SECONDS = 3.0
CHECK_DELAY_SECONDS = 12.0
"""Bound of a change of the configuration, configApplyS (2 s), with the longest
stretch, maxStretchS (5 s), and stabilityWindowS (3 s), rounded up by 2 s."""
CHECK_SECONDS = 20.0
FIRST_KEY = 'first-key'
SECOND_KEY = 'second-key'


def configuration(
    version: int, services: list[str], keys: list[str]
) -> bed3.Fields:
    """Return a version of the configuration."""
    return bed3.configuration_fields(
        version,
        HOST,
        [
            bed3.route_fields(f'r-{service}', f'/{service}/', service)
            for service in services
        ],
        services,
        [bed3.tenant_fields('guild', keys)],
    )


FIRST = configuration(3, ['stock'], [FIRST_KEY, SECOND_KEY])
SECOND = configuration(5, ['stock', 'cards'], [FIRST_KEY, SECOND_KEY])
THIRD = configuration(9, ['stock', 'cards'], [FIRST_KEY])


async def send_all(bed: bed3.Bed, path: str, key: str) -> list[int]:
    """Send a request to each daemon; return the statuses."""
    replies = await asyncio.gather(
        *(bed.send(name, HOST, path, key) for name in bed.hosts)
    )
    return [reply.status for reply in replies]


async def play(bed: bed3.Bed, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    bed.store.put('config', 'main', FIRST)
    for zone in bed3.ZONES:
        bed.register(await bed.add_instance('stock', zone))
    for number in range(DAEMONS):
        bed.start_daemon(number)
    await asyncio.sleep(bed3.TRAFFIC_START_SECONDS)
    await bed.wait_until_ready()
    if await send_all(bed, '/stock/1', SECOND_KEY) != [200] * DAEMONS:
        raise bed3.CaseError('requests are not served before the drill')

    instance = await bed.add_instance('cards', bed3.ZONES[0])
    bed.register(instance)
    await asyncio.sleep(1)
    bed.record.write('operator: version 5 adds the route /cards/')
    bed.store.put('config', 'main', SECOND)
    await asyncio.sleep(1.5)
    if await send_all(bed, '/cards/1', SECOND_KEY) != [200] * DAEMONS:
        raise bed3.CaseError('version 5 is not in force')

    if has_trouble:
        bed.record.write('store: away')
        bed.store.close()
        await asyncio.sleep(AWAY_SECONDS)
        bed.store.go_back(COPY_SECONDS)
        await bed.store.open()
        bed.record.write('store: back')
        bed.record.write('operator: version 5 again')
        bed.store.put('config', 'main', SECOND)
    bed.record.write('operator: version 9 takes the second key away')
    bed.store.put('config', 'main', THIRD)
    acknowledged_at = bed.record.now()
    await asyncio.sleep(0.2)
    bed.register(instance)

    await asyncio.sleep(CHECK_DELAY_SECONDS)
    ends_at = bed.record.now() + CHECK_SECONDS
    statuses = []
    while bed.record.now() < ends_at:
        statuses.extend(await send_all(bed, '/stock/2', SECOND_KEY))
        await send_all(bed, '/cards/2', FIRST_KEY)
        await asyncio.sleep(0.5)
    late_ids = {
        reply.request_id
        for reply in bed.replies
        if reply.sent_at > acknowledged_at + CHECK_DELAY_SECONDS
    }
    served = [status for status in statuses if status == 200]
    run_ids = {run.request_id for run in bed.runs} & late_ids
    counts = {
        status: len(list(group))
        for status, group in itertools.groupby(sorted(statuses))
    }
    bed.record.write(
        f'check: answers to the second key, later than {CHECK_DELAY_SECONDS} s'
        f' after the ack: {counts}; {len(run_ids)} requests run in all'
    )
    print(f'answers to the key that was taken away: {counts}')
    return not served


if __name__ == '__main__':
    sys.exit(bed3.main(pathlib.Path(__file__).resolve().parent, play))
