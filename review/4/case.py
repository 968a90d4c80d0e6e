"""One odd entry of another writer stops all daemons for seconds."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import testbed as testbeds

VALUE_BYTES = 1000000
"""Size of the odd entry; `valueBytes` is 1,048,576."""
TIMEOUT_SECONDS = 1.2
"""`timeoutS` of the route."""
LATE_SECONDS = 0.5
WRITES = 10
WRITE_PERIOD_SECONDS = 0.75
"""Half of `heartbeatS`."""
REQUEST_PERIOD_SECONDS = 0.05
WORK_SECONDS = 0.3
MIN_LATE = 8
MIN_LATE_SHARE = 0.25


def nested(size, turn):
    """Return the JSON text of lists nested in each other."""
    return f'{{"turn":{turn},"list":{"[" * (size // 2)}{"]" * (size // 2)}}}'


async def play(testbed, has_trouble):
    record = testbed.record
    routes = [
        testbeds.route(
            'read',
            '/read/',
            'idempotent',
            'profiles',
            timeoutS=TIMEOUT_SECONDS,
            targetLatencyS=0.8,
        )
    ]
    await testbed.store.put(
        'config', 'main', testbeds.configuration(7, routes, ['profiles'])
    )
    for number in range(6):
        await testbed.add_instance(
            f'i-{number}', 'profiles', 6, lambda request: WORK_SECONDS
        )
    testbed.add_daemons()
    for daemon in testbed.daemons:
        await daemon.wait_until_ready()
    await asyncio.sleep(6)
    endings = []

    async def send(number):
        daemon = testbed.daemons[number % len(testbed.daemons)]
        client = testbeds.Client(testbed, daemon)
        sent_at = record.now()
        await client.request(f'read-{number}', 'GET', '/read/profile')
        client.close()
        endings.append((sent_at, record.now() - sent_at))

    async def write_odd_entry():
        for turn in range(WRITES):
            size = VALUE_BYTES if has_trouble else 1000
            await testbed.store.put_raw('servers', 'odd', nested(size, turn))
            record.write(f'other writer: entry of {size} bytes, turn {turn}')
            await asyncio.sleep(WRITE_PERIOD_SECONDS)

    writer = asyncio.create_task(write_odd_entry())
    requests = []
    number = 0
    while not writer.done():
        requests.append(asyncio.create_task(send(number)))
        number += 1
        await asyncio.sleep(REQUEST_PERIOD_SECONDS)
    await asyncio.gather(*requests)
    # A request counts as long if it was not answered within the timeout.
    long = [seconds for _, seconds in endings if seconds > TIMEOUT_SECONDS]
    late = [
        seconds for seconds in long if seconds > TIMEOUT_SECONDS + LATE_SECONDS
    ]
    record.write(
        f'requests {len(endings)}, longer than the timeout {len(long)}, '
        f'unanswered {LATE_SECONDS} s after it {len(late)}, '
        f'longest {max(seconds for _, seconds in endings):.2f} s'
    )
    return len(late) < MIN_LATE or len(late) <= MIN_LATE_SHARE * len(long)


HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

testbeds.main(__file__, play, daemon_count=3, has_trouble=HAS_TROUBLE)
